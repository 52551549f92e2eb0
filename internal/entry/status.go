package entry

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/route"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/version"
)

// usage counts what passed here, for the view of operators.
type usage struct {
	targets status.Usage[targetUsage]
	callers status.Usage[callerUsage]
}

type targetUsage struct {
	service key.Service
	target  place.Target
}

type callerUsage struct {
	caller settings.Caller
	class  settings.Class
}

// ended counts the end of a caller's request.
func (u *usage) ended(now time.Time, m route.Match, result outcome.Result, took time.Duration) {
	id := callerUsage{m.Caller.Name, m.Route.Class}
	u.callers.Add(now, id, took, outcome.Of(result) == outcome.NotRun)
}

// released counts one try at a target.
func (u *usage) released(now time.Time, l *lane, took time.Duration, refused bool) {
	u.targets.Add(now, targetUsage{l.service, l.target}, took, refused)
}

// StatusHandler serves what this entry knows of settings, targets and callers.
func (e *Entry) StatusHandler() http.Handler { return status.Handler(e) }

// Report implements status.Source.
func (e *Entry) Report(now time.Time, q status.Query) status.Report {
	out := status.Report{
		Host: string(e.cfg.Host), Zone: string(e.cfg.Zone), Role: string(peer.RoleEntry),
		Version: version.String(), Started: e.started, Ready: e.Ready(),
		Settings: e.inForce(), Targets: e.targetReports(now), Callers: e.callerReports(now),
	}
	if q.Asked() {
		out.Key = e.explain(q)
	}
	return out
}

// inForce tells which settings this entry acts on.
func (e *Entry) inForce() status.Settings {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	s := e.view.Load().settings
	if s == nil {
		return status.Settings{}
	}
	return status.Settings{Number: s.Number, Revision: e.settingsVersion.Major, Since: e.settingsSince}
}

// targetReports returns a row for each target, sorted by name.
func (e *Entry) targetReports(now time.Time) []status.Target {
	loads := e.usage.targets.Loads(now)
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	out := make([]status.Target, 0, len(e.lanes))
	for _, l := range e.lanes {
		load := loads[targetUsage{l.service, l.target}]
		waiting, running := l.busy()
		out = append(out, status.Target{
			Service: string(l.service), Target: string(l.target), PerSecond: load.PerSecond,
			Waiting: waiting, Running: running, P99: load.P99,
		})
	}
	slices.SortFunc(out, func(a, b status.Target) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// busy returns the requests that wait for the target and that run there.
func (l *lane) busy() (waiting, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len(), l.running
}

// callerReports returns a row for each caller and class, sorted by name.
func (e *Entry) callerReports(now time.Time) []status.Caller {
	loads := e.usage.callers.Loads(now)
	out := make([]status.Caller, 0, len(loads))
	for id, load := range loads {
		out = append(out, status.Caller{
			Caller: string(id.caller), Class: string(id.class),
			PerSecond: load.PerSecond, Refused: load.Refused, P99: load.P99,
		})
	}
	slices.SortFunc(out, func(a, b status.Caller) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// explain tells where this entry would send a key now.
func (e *Entry) explain(q status.Query) *status.Key {
	s := e.view.Load().services[q.Service]
	if s == nil {
		return nil
	}
	hash := key.HashOf(q.Key)
	shard, owner := s.find(hash)
	_, solo := s.solos[hash]
	out := &status.Key{
		Service: string(q.Service), Key: q.Key, Shard: uint32(shard), Solo: solo,
		Epoch: uint64(owner.epoch), Why: "no table names an owner",
	}
	if owner.lane != nil {
		out.Owner, out.Zone, out.Why = string(owner.lane.target), string(owner.lane.zone), ""
	}
	return out
}
