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

// StatusHandler serves what this entry knows of settings, targets and callers.
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

// inForce tells which settings this entry acts on.
func (e *Entry) inForce() status.Settings {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	out := status.Settings{Revision: e.settingsVersion.Major, Since: e.settingsSince}
	if s := e.view.Load().settings; s != nil {
		out.Number = s.Number
	}
	return out
}

// targetRows returns the work that this entry sent to each target.
func (e *Entry) targetRows(now time.Time) []status.Target {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	out := make([]status.Target, 0, len(e.targetStates))
	for _, l := range e.targetStates {
		out = append(out, l.status(now))
	}
	slices.SortFunc(out, func(a, b status.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// status returns the work of one lane.
func (l *targetState) status(now time.Time) status.Target {
	f := l.meter.stats(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return status.Target{
		Service: string(l.service), Target: string(l.target),
		PerSecond: f.perSecond, Waiting: l.queue.Len(), Running: l.inFlight, P99: f.p99,
	}
}

// explain tells where this entry sends a key.
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
