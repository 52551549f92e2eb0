package entry

import (
	"context"
	"errors"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/relay"
)

// Sharing is how the entry hosts share a target's slots.
type Sharing uint8

const (
	// ShareMixed sends requests directly to the target while it has free slots, and
	// relays them to its home while requests wait for one.
	ShareMixed Sharing = iota
	// ShareHome relays all requests to the target's home, the one entry host that holds
	// the target's queue.
	ShareHome
	// ShareAdaptive sends requests directly to the target from all entry hosts, with an
	// adaptive concurrency limit. The target refuses requests in excess of its slots.
	// Requests with an idempotency key are still relayed to the home of their key.
	ShareAdaptive
)

const (
	// homeResponseGrace is how long past the deadline a home's response is awaited.
	// Without the response the outcome is unknown, although the request may have ended as
	// not run.
	homeResponseGrace = 100 * time.Millisecond
	// relayLinger is how long a stopping host still responds to other entry hosts after
	// the end of the last request that they relayed.
	relayLinger = 500 * time.Millisecond
)

// handle serves a request that a caller sent to this entry host. One with an idempotency
// key is served at the home of its key, this host or another.
func (e *Entry) handle(ctx context.Context, j *job) outcome.Result {
	if j.idempotencyKey == "" {
		return e.serveOrRelay(ctx, j)
	}
	for {
		v := e.view.Load()
		home, ok := v.homeOfKey(j.request.Service, j.hash)
		if !ok || home.Host == e.cfg.Host || e.cfg.Transport == nil {
			return e.serveOnce(ctx, j)
		}
		if result := e.relay(ctx, v, nil, home, j); result != nil {
			return result
		}
	}
}

// serveOrRelay serves the request, or relays it to the home of its target.
func (e *Entry) serveOrRelay(ctx context.Context, j *job) outcome.Result {
	if e.cfg.Transport == nil || e.cfg.Sharing == ShareAdaptive {
		return e.serve(ctx, j)
	}
	for {
		v := e.view.Load()
		ts := e.ownerOf(v, j)
		if ts == nil {
			if failure := e.park(ctx, v, j, outcome.NoOwner); failure != nil {
				return j.finalResult(failure)
			}
			continue
		}
		home, self := e.homeOfTarget(ts)
		if self {
			return e.serve(ctx, j)
		}
		if e.cfg.Sharing == ShareMixed && ts.uncontended(time.Now()) {
			if result := e.tryDirect(ctx, j); result != nil {
				return result
			}
			continue
		}
		if result := e.relay(ctx, v, ts, home, j); result != nil {
			return j.finalResult(result)
		}
	}
}

// tryDirect serves the request without the home of its target. It returns nil if the
// target had no free slot, so that the request must be relayed to the home.
func (e *Entry) tryDirect(ctx context.Context, j *job) outcome.Result {
	j.direct = true
	defer func() { j.direct = false }()
	return e.serve(ctx, j)
}

// ownerOf returns the target that owns the request's key, or nil.
func (e *Entry) ownerOf(v *view, j *job) *targetState {
	s := v.services[j.request.Service]
	if s == nil {
		return nil
	}
	_, o := s.find(j.hash)
	return o.target
}

// homeOfTarget returns the home of a target: the first candidate that is not suspected.
// self reports whether the home is this host, which it also is if there is no such
// candidate.
func (e *Entry) homeOfTarget(ts *targetState) (home place.HostRow, self bool) {
	ranked := ts.homes.Load()
	if ranked == nil {
		return place.HostRow{}, true
	}
	for _, h := range *ranked {
		if h.Host == e.cfg.Host {
			return h, true
		}
		if !e.homes.suspected(h.Host) {
			return h, false
		}
	}
	return place.HostRow{}, true
}

// relay sends the request to its home and returns the result. ts is the target whose
// home it is, or nil for the home of an idempotency key. relay returns nil if the request
// must be tried again: the home did not accept it, or an idempotent request had an
// uncertain result.
func (e *Entry) relay(ctx context.Context, v *view, ts *targetState, home place.HostRow, j *job) outcome.Result {
	now := time.Now()
	if !j.deadline.After(now) {
		return notRun(outcome.Deadline, defaultRetryAfter)
	}
	body, err := encodeJob(now, j)
	if err != nil {
		return outcome.NotRunFailure{Reason: outcome.BadHeader}
	}
	response, err := e.callHome(ctx, home, j, body)
	switch {
	case err == nil:
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrRefused):
		return e.homeNotAccepted(ctx, v, home.Host, j)
	case errors.Is(err, peer.ErrTooLarge):
		return outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	default:
		e.log.Debug("No response from the home of a relayed request.", "home", string(home.Host), "error", err)
		return e.homeUncertain(ctx, home.Host, j)
	}
	result, waited, err := decodeResult(response)
	if waited && ts != nil {
		ts.markContended(time.Now())
	}
	if err != nil {
		return outcome.UnknownFailure{Reason: outcome.AnswerBad}
	}
	if f, ok := result.(outcome.NotRunFailure); ok && f.Reason == reasonNotHome {
		return e.homeNotAccepted(ctx, v, home.Host, j)
	}
	if f, ok := result.(outcome.UnknownFailure); ok && j.idempotencyKey == "" && e.mayRetry(ctx, j, f.Reason) {
		j.uncertainReason = f.Reason
		return nil
	}
	return result
}

// homeUncertain suspects a home that did not respond but may have run the request. It
// returns nil if the request must be retried elsewhere.
func (e *Entry) homeUncertain(ctx context.Context, host place.Host, j *job) outcome.Result {
	e.homes.suspect(host)
	if ctx.Err() != nil || !j.deadline.After(time.Now()) {
		return outcome.UnknownFailure{Reason: outcome.AnswerLate}
	}
	if j.idempotencyKey != "" || !e.mayRetry(ctx, j, outcome.AnswerCut) {
		return outcome.UnknownFailure{Reason: outcome.AnswerCut}
	}
	j.uncertainReason = outcome.AnswerCut
	return nil
}

// mayRetry reports whether an idempotent request is retried after an uncertain attempt,
// and then withdraws the retry from the budget. Only the entry host that received the
// request, or the home of its idempotency key, retries it; otherwise it could run more
// than twice.
func (e *Entry) mayRetry(ctx context.Context, j *job, reason outcome.Reason) bool {
	if !j.idempotent || j.uncertainReason != "" || j.relayed {
		return false
	}
	return reason != outcome.AnswerLate && ctx.Err() == nil && e.withdrawRetry()
}

// callHome sends the request to its home. A request that is not idempotent is not
// canceled when the caller disconnects. Only an idempotent one without an idempotency key
// is canceled when the home becomes suspected.
func (e *Entry) callHome(ctx context.Context, home place.HostRow, j *job, body []byte) ([]byte, error) {
	reachable := e.homes.recordUse(time.Now(), home)
	if !j.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline.Add(homeResponseGrace))
	defer cancel()
	if j.idempotent && j.idempotencyKey == "" {
		stop := context.AfterFunc(reachable, cancel)
		defer stop()
	}
	return e.cfg.Transport.Call(ctx, home.EntryAddr, peer.KindRelay, body)
}

// homeNotAccepted suspects a home that did not accept the request, and returns nil to try
// the next one. A request with an idempotency key has only one home; it is parked until
// that home accepts it or the list of hosts changes.
func (e *Entry) homeNotAccepted(ctx context.Context, v *view, host place.Host, j *job) outcome.Result {
	e.homes.suspect(host)
	if ctx.Err() != nil {
		return notRun(outcome.CallerGone, defaultRetryAfter)
	}
	if j.idempotencyKey == "" {
		return nil
	}
	return e.park(ctx, v, j, outcome.Unreachable)
}

// HandleRelayed serves a request that another entry host relayed.
func (e *Entry) HandleRelayed(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, nil // a ping
	}
	e.relayed.Add(1)
	defer e.relayed.Add(-1)
	now := time.Now()
	j, err := decodeJob(now, body)
	if err != nil {
		return nil, err
	}
	j.request.ID = e.requestIDs.next()
	j.relayed = true
	if !e.acceptsRelayed(j) {
		return relay.EncodeResult(outcome.NotRunFailure{Reason: reasonNotHome}, false)
	}
	size := int64(len(j.request.Body))
	if !e.bodyMemory.reserve(size) {
		return relay.EncodeResult(notRun(outcome.Overload, defaultRetryAfter), true)
	}
	defer e.bodyMemory.release(size)
	if j.idempotencyKey != "" {
		return relay.EncodeResult(e.serveOnce(ctx, j), false)
	}
	result := e.serve(ctx, j)
	return relay.EncodeResult(result, j.waited)
}

// drainRelayed refuses further relayed requests as not run and waits for those in
// flight. Then it waits for relayLinger before the transport may close, so that the last
// responses arrive and other hosts learn that this one is no home any more. A request on
// its way when the transport closes would have an unknown outcome.
func (e *Entry) drainRelayed(ctx context.Context) {
	e.refuseRelayed.Store(true)
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for e.relayed.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	sleep(ctx, relayLinger)
}

// acceptsRelayed reports whether this host serves a relayed request. Without an
// idempotency key, it does not while it drains or has no routing table of the service.
// With one, it does if it is the home of the key, until drainRelayed starts.
func (e *Entry) acceptsRelayed(j *job) bool {
	if e.refuseRelayed.Load() {
		return false
	}
	v := e.view.Load()
	if j.idempotencyKey == "" {
		return !e.draining.Load() && v.services[j.request.Service] != nil
	}
	home, ok := v.homeOfKey(j.request.Service, j.hash)
	return ok && home.Host == e.cfg.Host
}
