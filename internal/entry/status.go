package entry

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/version"
)

// StatusHandler serves the settings in force, the targets and the callers.
func (e *Entry) StatusHandler() http.Handler { return status.Handler(e) }

// Report implements status.Source.
func (e *Entry) Report(now time.Time, q status.Query) status.Report {
	out := status.Report{
		Host: string(e.cfg.Host), Zone: string(e.cfg.Zone), Role: string(peer.RoleEntry),
		Version: version.String(), Started: e.started, Ready: e.Ready(),
		Settings: e.inForce(),
		Targets:  e.targetRows(now),
		Callers:  e.meters.callerRows(now),
	}
	if q.HasKey() {
		out.Key = e.explain(q)
	}
	return out
}

// inForce returns the settings in force.
func (e *Entry) inForce() status.Settings {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	out := status.Settings{Revision: e.settingsVersion.Major, Since: e.settingsSince}
	if s := e.view.Load().settings; s != nil {
		out.Number = s.Number
	}
	return out
}

// targetRows returns the load that this entry host sends to each target, sorted by
// service and target.
func (e *Entry) targetRows(now time.Time) []status.Target {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	out := make([]status.Target, 0, len(e.targetStates))
	for _, ts := range e.targetStates {
		out = append(out, ts.status(now))
	}
	slices.SortFunc(out, func(a, b status.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// status returns the row of one target.
func (ts *targetState) status(now time.Time) status.Target {
	s := ts.meter.stats(now)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return status.Target{
		Service: string(ts.service), Target: string(ts.target),
		PerSecond: s.perSecond, Waiting: ts.queue.Len(), Running: ts.inFlight, P99: s.p99,
	}
}

// explain returns where this entry host sends requests for a key, or nil if it has no
// routing table of the service.
func (e *Entry) explain(q status.Query) *status.Key {
	s := e.view.Load().services[q.Service]
	if s == nil {
		return nil
	}
	shard, o := s.find(key.HashOf(q.Key))
	out := &status.Key{
		Service: string(q.Service), Key: q.Key, Shard: uint32(shard),
		SingleKey: shard >= key.Shard(s.shards), Epoch: uint64(o.epoch),
	}
	if o.target == nil {
		out.Reason = "no table names an owner"
		return out
	}
	out.Zone, out.Owner = string(o.target.zone), string(o.target.target)
	return out
}
