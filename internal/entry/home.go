package entry

import (
	"context"
	"errors"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

// Sharing is how the entry hosts share a target's slots.
type Sharing uint8

const (
	// ShareMixed sends directly while the target has free slots and hands
	// over to its home while requests wait for one.
	ShareMixed Sharing = iota
	// ShareHome hands every request to the target's home, the one entry host
	// that holds the target's queue.
	ShareHome
	// ShareAdaptive lets each entry host send by itself; the target refuses
	// what is too much. Requests with an idempotency key still go home.
	ShareAdaptive
)

const (
	// homeResponseGrace is how long past the deadline the home's last word is
	// waited for: it tells not-run from unknown.
	homeResponseGrace = 100 * time.Millisecond
	// relayLinger is how long a host that stops answers others after the
	// last work that they handed over.
	relayLinger = 500 * time.Millisecond
)

// handle runs a request that came to this entry host. One with an
// idempotency key goes to the home of its key first.
func (e *Entry) handle(ctx context.Context, w *job) outcome.Result {
	if w.idempotencyKey == "" {
		return e.serveOrRelay(ctx, w)
	}
	for {
		v := e.view.Load()
		home, ok := v.homeOfKey(w.request.Service, w.hash)
		if !ok || home.Host == e.cfg.Host || e.cfg.Transport == nil {
			return e.serveOnce(ctx, w)
		}
		if result := e.relay(ctx, v, nil, home, w); result != nil {
			return result
		}
	}
}

// serveOrRelay runs the request here or at the home of its target.
func (e *Entry) serveOrRelay(ctx context.Context, w *job) outcome.Result {
	if e.cfg.Transport == nil || e.cfg.Sharing == ShareAdaptive {
		return e.serve(ctx, w)
	}
	for {
		v := e.view.Load()
		l := e.ownerOf(v, w)
		if l == nil {
			if failure := e.park(ctx, v, w, outcome.NoOwner); failure != nil {
				return w.finalResult(failure)
			}
			continue
		}
		home, self := e.homeOfTarget(l)
		if self {
			return e.serve(ctx, w)
		}
		if e.cfg.Sharing == ShareMixed && l.uncontended(time.Now()) {
			if result := e.tryDirect(ctx, w); result != nil {
				return result
			}
			continue
		}
		if result := e.relay(ctx, v, l, home, w); result != nil {
			return w.finalResult(result)
		}
	}
}

// tryDirect tries the target without its home. It returns nil where the target
// has no free slot; the request did not run then.
func (e *Entry) tryDirect(ctx context.Context, w *job) outcome.Result {
	w.direct = true
	defer func() { w.direct = false }()
	return e.serve(ctx, w)
}

// ownerOf returns the lane of the request's owner, or nil.
func (e *Entry) ownerOf(v *view, w *job) *targetState {
	s := v.services[w.request.Service]
	if s == nil {
		return nil
	}
	_, o := s.find(w.hash)
	return o.target
}

// homeOfTarget returns the home of a lane's target; self is true for this
// host. Homes that are suspected are passed over.
func (e *Entry) homeOfTarget(l *targetState) (home place.HostRow, self bool) {
	ranked := l.homes.Load()
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

// relay asks the home to run the request. It returns nil where the home
// certainly did not take it.
func (e *Entry) relay(ctx context.Context, v *view, l *targetState, home place.HostRow, w *job) outcome.Result {
	now := time.Now()
	if !w.deadline.After(now) {
		return notRun(outcome.Deadline, defaultRetryAfter)
	}
	body, err := encodeJob(now, w)
	if err != nil {
		return outcome.NotRunFailure{Reason: outcome.BadHeader}
	}
	answer, err := e.callHome(ctx, home, w, body)
	switch {
	case err == nil:
	case errors.Is(err, peer.ErrUnreachable), errors.Is(err, peer.ErrRefused):
		return e.homeNotAccepted(ctx, v, home.Host, w)
	case errors.Is(err, peer.ErrTooLarge):
		return outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	default:
		e.log.Debug("Answer of a home lost.", "home", string(home.Host), "error", err)
		return e.homeUncertain(ctx, home.Host, w)
	}
	result, waited, err := decodeResult(answer)
	if waited && l != nil {
		l.markContended(time.Now())
	}
	if err != nil {
		return outcome.UnknownFailure{Reason: outcome.AnswerBad}
	}
	if f, ok := result.(outcome.NotRunFailure); ok && f.Reason == reasonNotHome {
		return e.homeNotAccepted(ctx, v, home.Host, w)
	}
	if f, ok := result.(outcome.UnknownFailure); ok && w.idempotencyKey == "" && e.mayRetry(ctx, w, f.Reason) {
		w.uncertainReason = f.Reason
		return nil
	}
	return result
}

// homeUncertain ends a request that the home may have run. A look-up is run once
// more elsewhere.
func (e *Entry) homeUncertain(ctx context.Context, host place.Host, w *job) outcome.Result {
	e.homes.suspect(host)
	if ctx.Err() != nil || !w.deadline.After(time.Now()) {
		return outcome.UnknownFailure{Reason: outcome.AnswerLate}
	}
	if w.idempotencyKey != "" || !e.mayRetry(ctx, w, outcome.AnswerCut) {
		return outcome.UnknownFailure{Reason: outcome.AnswerCut}
	}
	w.uncertainReason = outcome.AnswerCut
	return nil
}

// mayRetry takes the right to run a look-up once more after an uncertain
// try. Only one entry host does so, the first or the home of its idempotency
// key: else it would run more than twice.
func (e *Entry) mayRetry(ctx context.Context, w *job, reason outcome.Reason) bool {
	if !w.idempotent || w.uncertainReason != "" || w.relayed {
		return false
	}
	return reason != outcome.AnswerLate && ctx.Err() == nil && e.withdrawRetry()
}

// callHome carries the request over the peer link. Work that may not be
// broken off goes on at the home when the caller hangs up or the home is
// suspected.
func (e *Entry) callHome(ctx context.Context, home place.HostRow, w *job, body []byte) ([]byte, error) {
	gone := e.homes.recordUse(time.Now(), home)
	if !w.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, w.deadline.Add(homeResponseGrace))
	defer cancel()
	if w.idempotent && w.idempotencyKey == "" {
		stop := context.AfterFunc(gone, cancel)
		defer stop()
	}
	return e.cfg.Transport.Call(ctx, home.EntryAddr, peer.KindRelay, body)
}

// homeNotAccepted passes over a home that did not take the request. With an
// idempotency key it waits for that home or another list of hosts instead.
func (e *Entry) homeNotAccepted(ctx context.Context, v *view, host place.Host, w *job) outcome.Result {
	e.homes.suspect(host)
	if ctx.Err() != nil {
		return notRun(outcome.CallerGone, defaultRetryAfter)
	}
	if w.idempotencyKey == "" {
		return nil
	}
	return e.park(ctx, v, w, outcome.Unreachable)
}

// HandleRelayed answers a request that another entry host handed over.
func (e *Entry) HandleRelayed(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, nil // a ping
	}
	e.relayed.Add(1)
	defer e.relayed.Add(-1)
	now := time.Now()
	w, err := decodeJob(now, body)
	if err != nil {
		return nil, err
	}
	w.request.ID = e.requestIDs.next()
	w.relayed = true
	if !e.acceptsRelayed(w) {
		return encodeResult(outcome.NotRunFailure{Reason: reasonNotHome}, false)
	}
	size := int64(len(w.request.Body))
	if !e.bodyMemory.reserve(size) {
		return encodeResult(notRun(outcome.Overload, defaultRetryAfter), true)
	}
	defer e.bodyMemory.release(size)
	if w.idempotencyKey != "" {
		return encodeResult(e.serveOnce(ctx, w), false)
	}
	result := e.serve(ctx, w)
	return encodeResult(result, w.waited)
}

// drainRelayed ends the work that other hosts hand over: what runs here ends,
// what comes is refused as not run. The link stays open a while longer, for the
// last answers to arrive and for the other hosts to learn that this one is no
// home now; a message on its way when the link closes would end as unknown.
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

// acceptsRelayed reports whether this host runs a request that was handed to it:
// not while it stops, nor before it has the service's table. One with an
// idempotency key runs nowhere but at the home of its key, which takes it until
// the end of its stop.
func (e *Entry) acceptsRelayed(w *job) bool {
	if e.refuseRelayed.Load() {
		return false
	}
	v := e.view.Load()
	if w.idempotencyKey == "" {
		return !e.draining.Load() && v.services[w.request.Service] != nil
	}
	home, ok := v.homeOfKey(w.request.Service, w.hash)
	return ok && home.Host == e.cfg.Host
}
