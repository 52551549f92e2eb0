package host

import (
	"context"
	"time"

	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
)

// minSharedTargets is the number of targets of a service from which hosts share their
// connections to the owners of keys. With fewer, each host meets a target again before the
// idle connection to it is closed.
const minSharedTargets = 100

// connectionHost returns the host whose connections to a target other hosts use.
func (v *view) connectionHost(name place.Target) (member.Host, bool) {
	v.rankCache.mu.Lock()
	defer v.rankCache.mu.Unlock()
	host, ok := v.rankCache.connections[name]
	if !ok {
		host = member.ConnectionHost(string(name), v.targets[name].Zone, v.members.Hosts)
		v.rankCache.connections[name] = host
	}
	return v.members.Host(host)
}

// shareConnection passes an idempotent request to the host that keeps connections to the
// owner of the key. It returns nil if this host is to send the request itself. Only idempotent
// requests are passed on, as one without a result from the other host is sent again.
func (j *job) shareConnection(ctx, wait context.Context, now time.Time, v *view, owner place.Target) step {
	if owner == "" || j.shared || j.relayed || j.arrivals > 0 || !j.host.site.Pressure || !j.route.Idempotent || j.route.Large {
		return nil
	}
	if len(v.services[j.service.Name]) < j.host.minSharedTargets {
		return nil
	}
	if !j.sendUntil(now, v, owner).IsZero() {
		return nil // the other host may not have read yet that it is leaving
	}
	m, ok := v.connectionHost(owner)
	if !ok || m.Name == j.host.site.Host || !j.mayPass(m) || !j.host.dispatcher.reachable(m.Name) || j.host.relayer.paused(now, m.Name, j.service.Name) {
		return nil
	}
	j.shared = true
	if !j.host.relayer.responds(ctx, now, m) || wait.Err() != nil {
		return retryStep{}
	}
	result, reported := j.relayTo(ctx, time.Now(), m)
	switch r := result.(type) {
	case nil:
		return retryStep{} // the other host did not take it
	case outcome.UnknownFailure:
		if reported || ctx.Err() != nil || r.Reason == outcome.AnswerLate {
			return finishStep{r}
		}
		j.host.metrics.countRelay(j.service.Name, "unknown")
		j.uncertainReason = r.Reason
		j.arrivals++
		j.attempts++
		if j.attempts >= j.route.MaxAttempts {
			return finishStep{r}
		}
		return retryStep{}
	case outcome.NotRunFailure:
		switch r.Reason {
		case outcome.Unreachable:
			return retryStep{} // this host may have a path
		case outcome.Refused:
			// The other host's part of the retry budget may be spent, and this one's not.
			j.arrivals++
			j.refusals++
			return retryStep{}
		}
	}
	j.host.metrics.countRelay(j.service.Name, "shared")
	return finishStep{result}
}
