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

const (
	// drainSafetyMargin is how long before the end of its drain time a leaving target gets
	// no more requests. It covers the transit.
	drainSafetyMargin = 300 * time.Millisecond
	// listLag is the longest time from a change in the store until hosts have read it: the
	// time between two reads of the watchers, and the way to the hosts.
	listLag = pollInterval + pollJitter + 200*time.Millisecond
	// successionTime is the time from the last table of a leader that was lost until its
	// successor has moved the ranges of a leaving target.
	successionTime = leaseTTL + candidateDelay + 300*time.Millisecond
)

// sendUntil returns until when requests for its keys may be sent to a target, zero if this
// host does not know that it is leaving or that its zone is evacuated. It owns its keys until
// they have moved, but the leader that moves them may be lost, so this holds whatever the
// routing table says. The drain time counts from when the platform knew of it, which is up
// to listLag before this host did, or from the target's signal.
func (j *job) sendUntil(now time.Time, v *view, owner place.Target) time.Time {
	if gone, ok := v.departed[owner]; ok {
		return gone.removedAt
	}
	drain := j.host.bounds.Load().Drain
	var until time.Time
	if at, ok := v.leaving[owner]; ok {
		until = at.Add(drain - listLag - drainSafetyMargin)
	}
	if signaled, _ := j.host.dispatcher.backoff(now, v.targets[owner]); !signaled.IsZero() {
		if at := signaled.Add(drain - drainSafetyMargin); until.IsZero() || at.Before(until) {
			until = at
		}
	}
	if at, evacuated := v.evacuation.SendUntil(v.targets[owner].Zone); evacuated && (until.IsZero() || at.Before(until)) {
		until = at
	}
	return until
}

// ownerLeaving refuses a request for a key whose owner is leaving, or in an evacuated zone,
// and gets no more requests.
func (j *job) ownerLeaving(v *view, owner place.Target) step {
	if v.evacuation.Contains(v.targets[owner].Zone) {
		return j.refuseEvacuated(v, owner)
	}
	j.host.metrics.countLeavingRefusal(j.service.Name)
	j.host.log.Info("Owner of the key is leaving, request not sent.", slog.String("request", j.request.ID),
		slog.String("service", string(j.service.Name)), slog.String("target", string(owner)), millisAttr("table", j.tableAge))
	return finishStep{outcome.NotRunFailure{Reason: outcome.NoOwner, RetryAfter: j.successionWait()}}
}

// successionWait returns the time until the key probably has moved off an owner that gets no
// more requests.
func (j *job) successionWait() time.Duration {
	if j.tableAge > maxPublishInterval {
		return max(defaultRetryAfter, successionTime-j.tableAge)
	}
	return defaultRetryAfter
}

// checkBackoff returns the step to take instead of sending a request to its owner, nil
// if it may be sent. The request waits for a short pause to end; for a longer one it is
// refused with the pause as Retry-After.
func (j *job) checkBackoff(now time.Time, v *view, owner place.Target) step {
	if until := j.sendUntil(now, v, owner); !until.IsZero() && !now.Before(until) {
		return j.ownerLeaving(v, owner)
	}
	_, pause := j.host.dispatcher.backoff(now, v.targets[owner])
	switch {
	case pause > 0 && j.waitsBeyondStop(now, now.Add(pause)):
		return j.stopped()
	case pause > 0 && now.Add(pause).Sub(j.arrived) > time.Duration(maxParkShare*float64(j.deadline.Sub(j.arrived))):
		return finishStep{outcome.NotRunFailure{Reason: outcome.Refused, RetryAfter: pause}}
	case pause > 0:
		return retryStep{pause}
	}
	return nil
}

// excluded returns the targets among rows, all those of a service, that should get no request
// from this host: they are leaving or paused, or it has no path to them.
func (j *job) excluded(now time.Time, rows []place.TargetRow) []place.Target {
	out := append(j.host.dispatcher.excluded(now, rows), j.host.paths.lostTargets(rows)...)
	return out[:min(len(out), dispatch.MaxExcluded)]
}

// checkSlot returns the step to take instead of using a slot of a target that is
// leaving or paused, or not one for this request, nil if the slot may be used.
func (j *job) checkSlot(m dispatch.Assigned, owner place.Target) step {
	now, v := time.Now(), j.host.views.view()
	row, listed := v.targets[m.Target]
	if owner != "" && m.Target != owner || listed && row.Service != string(j.service.Name) {
		return retryStep{}
	}
	if !j.mayReach(v, m.Target) {
		return j.outsideRegions(m.Target)
	}
	if owner != "" {
		return j.checkBackoff(now, v, m.Target)
	}
	leaving, pause := j.host.dispatcher.backoff(now, row)
	lost := j.host.paths.lost(v, m.Target)
	switch {
	case leaving.IsZero() && pause == 0 && !lost && !v.isLeaving(m.Target):
		return nil
	case lost && slices.Contains(j.tried, m.Target):
		j.noPath = true
		return retryStep{}
	case slices.Contains(j.tried, m.Target):
		return finishStep{outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: max(pause, defaultRetryAfter)}}
	}
	j.tried = append(j.tried, m.Target)
	return retryStep{}
}

// signalOf returns the signal in the response of an attempt, empty if there was none.
func signalOf(result forward.Result) target.Signal {
	switch r := result.(type) {
	case forward.Completed:
		return r.Signal
	case forward.Refused:
		return r.Signal
	case forward.NotSent, forward.Uncertain:
	}
	return target.Signal{}
}

// poolOf returns the pool of a target of the job's service.
func (j *job) poolOf(name place.Target) dispatch.PoolID {
	if j.service.KeySpace == traffic.Keyless {
		return j.pool
	}
	return dispatch.PoolID{Service: j.service.Name, Target: name}
}

// applySignal applies the signal that a target sent with its response.
func (j *job) applySignal(t ticket, signal target.Signal) {
	row, ok := j.host.views.view().targets[t.target]
	if !ok {
		return // removed meanwhile
	}
	if j.host.dispatcher.recordSignal(time.Now(), j.poolOf(t.target), row, signal) {
		j.host.log.Info("Target signaled that it is leaving.", slog.String("request", j.request.ID),
			slog.String("service", string(j.service.Name)), slog.String("target", string(t.target)))
	}
	if signal.Pause > 0 {
		j.host.log.Info("Target asked for a pause.", slog.String("request", j.request.ID),
			slog.String("service", string(j.service.Name)), slog.String("target", string(t.target)), millisAttr("pause", signal.Pause))
	}
}
