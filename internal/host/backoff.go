package host

import (
	"log/slog"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

// drainSafetyMargin is how long before the end of its notice a target that leaves gets no
// more requests: they wait here for a slot, and are on their way.
const drainSafetyMargin = 300 * time.Millisecond

// checkBackoff returns what to do with a request whose owner wants none of this host now:
// it waits for a short pause to end, or is told to come back then. One that has said
// that it leaves is still its keys' owner until they have moved, or must be done.
func (j *job) checkBackoff(now time.Time, owner place.TargetRow) step {
	leaving, pause := j.host.dispatcher.backoff(now, owner)
	switch {
	case !leaving.IsZero() && now.Sub(leaving) >= j.host.bounds.Load().Drain-drainSafetyMargin:
		return finishStep{outcome.NotRunFailure{Reason: outcome.NoOwner, RetryAfter: defaultRetryAfter}}
	case pause > 0 && now.Add(pause).Sub(j.arrived) > time.Duration(maxParkShare*float64(j.deadline.Sub(j.arrived))):
		return finishStep{outcome.NotRunFailure{Reason: outcome.Refused, RetryAfter: pause}}
	case pause > 0:
		return retryStep{pause}
	}
	return nil
}

// checkSlot returns what to do in place of using a slot of a target that leaves, or
// wants no requests of this host now; nil where the slot may be used.
func (j *job) checkSlot(m dispatch.Assigned, owner place.Target) step {
	now, v := time.Now(), j.host.views.view()
	row := v.targets[m.Target]
	if owner != "" {
		return j.checkBackoff(now, row)
	}
	leaving, pause := j.host.dispatcher.backoff(now, row)
	switch {
	case leaving.IsZero() && pause == 0 && !v.isLeaving(m.Target):
		return nil
	case slices.Contains(j.tried, m.Target):
		return finishStep{outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: max(pause, defaultRetryAfter)}}
	}
	j.tried = append(j.tried, m.Target)
	return retryStep{}
}

// applySignal follows what a target asks of this host beside its answer.
func (j *job) applySignal(t ticket, result forward.Result) {
	var signal target.Signal
	switch r := result.(type) {
	case forward.Completed:
		signal = r.Signal
	case forward.Refused:
		signal = r.Signal
	case forward.NotSent, forward.Uncertain:
		return
	}
	now := time.Now()
	row, ok := j.host.views.view().targets[t.target]
	if !ok {
		return // it is gone already
	}
	pool := dispatch.PoolID{Service: j.service.Name, Target: t.target}
	if j.service.Keys == traffic.Keyless {
		pool = j.host.views.view().pool(j.service.Name, j.host.site.Zone)
	}
	if j.host.dispatcher.recordSignal(now, pool, row, signal) {
		j.host.log.Info("Target says that it leaves.", slog.String("request", j.request.ID),
			slog.String("service", string(j.service.Name)), slog.String("target", string(t.target)))
	}
	if signal.Pause > 0 {
		j.host.log.Info("Target wants no requests for a while.", slog.String("request", j.request.ID),
			slog.String("service", string(j.service.Name)), slog.String("target", string(t.target)), millisAttr("pause", signal.Pause))
	}
}
