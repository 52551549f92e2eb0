package host

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/body"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/relay"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// maxRelayTries is how many hosts a request is offered to.
	maxRelayTries = 4
	// relayPause is how long a host that has no path either, or does not respond, is passed
	// over.
	relayPause = 400 * time.Millisecond
	// targetPause is how long a target that no other host reaches is not tried through one.
	targetPause = 100 * time.Millisecond
	// relayCheckAge is how recently a host must have responded to get a request without a
	// check, and relayCheckTimeout how long its response to a check may take. A request that
	// is passed to a host beyond a network partition has an unknown outcome.
	relayCheckAge     = 300 * time.Millisecond
	relayCheckTimeout = 150 * time.Millisecond
	// relayGrace is how long past the deadline the result of another host is awaited.
	relayGrace = 50 * time.Millisecond
)

// reasonNoPath is the reason with which a host refuses a request of another host. It is
// never sent to callers.
const reasonNoPath outcome.Reason = "no-path"

// relayer passes requests for targets to which this host has no path to hosts that reach
// them, and serves the requests that other hosts pass on. A request is passed on once at
// most. Safe for concurrent use.
type relayer struct {
	host *Host
	// serving counts the requests of other hosts that are being served.
	serving atomic.Int64

	mu sync.Mutex
	// respondedAt is when a host last responded.
	respondedAt map[place.Host]time.Time
	// hostsUntil and targetsUntil are the ends of pauses.
	hostsUntil   map[relayRoute]time.Time
	targetsUntil map[place.Target]time.Time
	// servedAt is when a target of a service last served a request through another host.
	servedAt map[key.Service]time.Time
}

// relayRoute is a way to a service through another host. An empty service stands for all.
type relayRoute struct {
	host    place.Host
	service key.Service
}

func newRelayer(h *Host) *relayer {
	return &relayer{
		host: h, respondedAt: make(map[place.Host]time.Time), hostsUntil: make(map[relayRoute]time.Time),
		targetsUntil: make(map[place.Target]time.Time), servedAt: make(map[key.Service]time.Time),
	}
}

// candidates returns the hosts that a request is offered to: hosts of this zone first, each
// time in another order.
func (r *relayer) candidates(now time.Time, j *job) []member.Host {
	var near, far []member.Host
	for _, m := range r.host.reachableHosts() {
		switch {
		case r.paused(now, m.Name, j.service.Name), !j.mayPass(m):
		case m.Zone == r.host.site.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), maxRelayTries)]
}

// reachableHosts returns the other hosts that are neither silent nor stopping, each time in
// another order.
func (h *Host) reachableHosts() []member.Host {
	out := slices.Clone(h.views.view().members.Hosts)
	out = slices.DeleteFunc(out, func(m member.Host) bool { return m.Name == h.site.Host || !h.dispatcher.reachable(m.Name) })
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

func (r *relayer) paused(now time.Time, host place.Host, service key.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.hostsUntil[relayRoute{host, service}]) || now.Before(r.hostsUntil[relayRoute{host: host}])
}

// pause passes over a way for relayPause.
func (r *relayer) pause(now time.Time, route relayRoute) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.hostsUntil, func(_ relayRoute, until time.Time) bool { return !now.Before(until) })
	r.hostsUntil[route] = now.Add(relayPause)
}

// targetPaused reports whether no other host could reach a target a moment ago.
func (r *relayer) targetPaused(now time.Time, name place.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.targetsUntil[name])
}

func (r *relayer) pauseTarget(now time.Time, name place.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.targetsUntil, func(_ place.Target, until time.Time) bool { return !now.Before(until) })
	r.targetsUntil[name] = now.Add(targetPause)
}

// responded records that a host responded, and whether a target served the request.
func (r *relayer) responded(now time.Time, host place.Host, service key.Service, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.respondedAt, func(_ place.Host, at time.Time) bool { return now.Sub(at) >= relayCheckAge })
	r.respondedAt[host] = now
	if served {
		r.servedAt[service] = now
	}
}

// lastServed returns when a target of a service last served a request through another host.
func (r *relayer) lastServed(service key.Service) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servedAt[service]
}

// responds reports whether a host is there to take a request. It asks the host unless that
// has responded a moment ago.
func (r *relayer) responds(ctx context.Context, now time.Time, m member.Host) bool {
	r.mu.Lock()
	recent := now.Sub(r.respondedAt[m.Name]) < relayCheckAge
	r.mu.Unlock()
	if recent {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, relayCheckTimeout)
	defer cancel()
	if _, err := r.host.transport.Call(ctx, m.PeerAddr, peer.KindRelay, nil); err != nil {
		r.host.log.Info("Host does not take requests of this one.", slog.String("to", string(m.Name)), slog.Any("error", err))
		r.pause(time.Now(), relayRoute{host: m.Name})
		return false
	}
	r.responded(time.Now(), m.Name, "", false)
	return true
}

// needsRelay reports whether a request has to be passed to another host: this one has no
// path to the owner of its key, or to any target of a keyless service.
func (j *job) needsRelay(v *view, owner place.Target) bool {
	if owner != "" {
		return j.host.paths.lost(v, owner)
	}
	rows := v.allowedRows(j.route, j.service.Name)
	return j.noPath || len(rows) > 0 && len(j.host.paths.lostTargets(rows)) == len(rows)
}

// relay passes the request to another host and returns its result. target is the owner of
// the key, empty for a keyless service.
func (j *job) relay(ctx, wait context.Context, now time.Time, target place.Target) step {
	unreachable := finishStep{outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: relayPause}}
	r, v := j.host.relayer, j.host.views.view()
	switch {
	case j.relayed:
		return finishStep{outcome.NotRunFailure{Reason: reasonNoPath}}
	case target != "" && !j.sendUntil(now, v, target).IsZero():
		return j.ownerLeaving(v, target) // the other host may not have read yet that it is leaving
	case target != "" && r.targetPaused(now, target):
		return unreachable
	}
	if !j.route.Idempotent {
		// Work that is not idempotent must not be aborted when its client disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	for _, m := range r.candidates(now, j) {
		if now = time.Now(); j.deadline.Sub(now) < minSendTime {
			return finishStep{j.deadlineExceeded()}
		}
		if !r.responds(ctx, now, m) {
			continue
		}
		if wait.Err() != nil {
			return j.cutShort(wait)
		}
		if result, _ := j.relayTo(ctx, now, m); result != nil {
			if f, ok := result.(outcome.NotRunFailure); ok && target != "" && f.Reason == outcome.Unreachable {
				r.pauseTarget(time.Now(), target)
			}
			j.host.metrics.countRelay(j.service.Name, string(outcome.Of(result)))
			return finishStep{result}
		}
	}
	if wait.Err() != nil {
		return j.cutShort(wait)
	}
	j.host.metrics.countRelay(j.service.Name, "none")
	if target != "" {
		r.pauseTarget(time.Now(), target)
	}
	return unreachable
}

// relayTo passes the request to a host. It returns nil if that host certainly did not take
// it, and whether the result is the one that the host reported.
func (j *job) relayTo(ctx context.Context, now time.Time, m member.Host) (_ outcome.Result, reported bool) {
	r := j.host.relayer
	out := relay.Request{
		ID: j.request.ID, Method: j.request.Method, URI: j.request.URI, Host: j.request.Host, Header: j.request.Header, Body: j.request.Body,
		Config: j.config, Service: j.service.Name, Point: j.point, Timeout: j.deadline.Sub(now), SoftTimeout: j.softDeadline.Sub(now),
		Attempts: j.attempts, Arrivals: j.arrivals,
	}
	message, err := out.Encode()
	if err != nil {
		j.host.log.Error("Request not encoded.", slog.String("request", j.request.ID), slog.Any("error", err))
		return nil, false
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline.Add(relayGrace))
	defer cancel()
	j.relayedTo = m.Name
	response, err := j.host.transport.CallReserving(ctx, m.PeerAddr, peer.KindRelay, message, j.reserveMemory)
	if err != nil {
		return j.relayFailed(ctx, m, err), false
	}
	result, _, err := relay.DecodeResult(response)
	if err != nil {
		j.host.log.Error("Result of another host not decodable.", slog.String("request", j.request.ID), slog.String("to", string(m.Name)), slog.Any("error", err))
		return outcome.UnknownFailure{Reason: outcome.AnswerBad}, false
	}
	_, served := result.(outcome.Response)
	// A shared request shows nothing of this host's own paths.
	r.responded(time.Now(), m.Name, j.service.Name, served && !j.shared)
	if f, ok := result.(outcome.NotRunFailure); ok && f.Reason == reasonNoPath {
		r.pause(time.Now(), relayRoute{m.Name, j.service.Name})
		return nil, false
	}
	if _, ok := result.(outcome.NotRunFailure); ok {
		j.proof = proofRelayed
	}
	return result, true
}

// relayFailed returns the result of a request after a call to another host failed, nil if it
// certainly did not arrive there.
func (j *job) relayFailed(ctx context.Context, m member.Host, err error) outcome.Result {
	j.host.log.Info("No result from another host.", slog.String("request", j.request.ID), slog.String("to", string(m.Name)), slog.Any("error", err))
	switch {
	case errors.Is(err, body.ErrNoMemory):
		return outcome.UnknownFailure{Reason: outcome.AnswerTooBig}
	case errors.Is(err, peer.ErrTooLarge):
		// Nothing was sent, and the configuration allows such a body.
		return outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter}
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrRefused):
		j.host.relayer.pause(time.Now(), relayRoute{host: m.Name})
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		j.host.relayer.pause(time.Now(), relayRoute{host: m.Name})
		return outcome.UnknownFailure{Reason: outcome.AnswerLate}
	}
	if ctx.Err() == nil {
		j.host.relayer.pause(time.Now(), relayRoute{host: m.Name})
	}
	return outcome.UnknownFailure{Reason: outcome.AnswerCut}
}

// serve serves a request that another host passed on. An empty message only asks whether
// this host is there.
func (r *relayer) serve(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, nil
	}
	r.serving.Add(1)
	defer r.serving.Add(-1)
	start := time.Now()
	in, err := relay.DecodeRequest(body)
	if err != nil {
		r.host.log.Warn("Request of another host not decodable.", slog.String("from", string(from.Host)), slog.Any("error", err))
		return nil, err
	}
	j, result := r.newJob(&in, from.Host, start)
	if result == nil {
		defer j.releaseMemory()
		result = j.run(ctx)
	}
	attrs := []any{
		slog.String("request", in.ID), slog.String("from", string(from.Host)), slog.String("outcome", string(outcome.Of(result))),
		slog.String("reason", string(outcome.ReasonOf(result))), slog.Int("status", outcome.Status(result)), millisAttr("took", time.Since(start)),
	}
	if j != nil {
		attrs = append(attrs, j.logAttrs()...)
	}
	attrs = append(attrs, proofFor(j, result).attrs()...)
	r.host.log.Info("Request of another host ended.", attrs...)
	return relay.EncodeResult(result, false)
}

// newJob returns the job of a request that another host passed on. It returns a result if
// the request ends here. Requests are counted by the host that got them from their clients.
func (r *relayer) newJob(in *relay.Request, from place.Host, now time.Time) (*job, outcome.Result) {
	h, v := r.host, r.host.views.view()
	if h.stopping.Load() || v.routes == nil || v.awaitsEvacuations || v.routes.Config().Version < in.Config {
		return nil, outcome.NotRunFailure{Reason: reasonNoPath}
	}
	route := v.routes.Find(in.Host, pathOfURI(in.URI))
	if route == nil {
		return nil, outcome.NotRunFailure{Reason: outcome.NoRoute}
	}
	name := in.Service
	if v.routes.Config().Version > in.Config {
		name = h.splitter.Next(route).Service
	}
	service := v.routes.Service(name)
	if service == nil {
		return nil, outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter}
	}
	if !h.bodyMemory.TryAcquire(int64(len(in.Body))) {
		return nil, outcome.NotRunFailure{Reason: reasonNoPath}
	}
	j := &job{
		host: h, route: route, service: service, arrived: now, config: v.routes.Config().Version, relayed: true, from: from, reservedBytes: int64(len(in.Body)),
		deadline: now.Add(in.Timeout), softDeadline: now.Add(in.SoftTimeout), attempts: in.Attempts, arrivals: in.Arrivals,
		refusals: in.Arrivals, // the passing host corrects the result by its own attempts
	}
	if service.KeySpace == traffic.Ranged {
		j.point = in.Point
	}
	j.request = forward.Request{
		ID: in.ID, Method: in.Method, URI: in.URI, Header: in.Header, Body: in.Body,
		Deadline: j.deadline, MaxBody: maxBodyBytes, HeaderNames: h.names, Host: in.Host, Reserve: j.reserveMemory,
		AtMostOnce: !route.Idempotent,
	}
	j.fingerprint = h.quarantine.fingerprint(&j.request, in.Header.Get(h.names.Key))
	return j, nil
}

// awaitServed waits until no request of another host is being served or ctx ends.
func (r *relayer) awaitServed(ctx context.Context) {
	const pause = 20 * time.Millisecond
	for r.serving.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, pause)
	}
}
