package entry

import (
	"container/list"
	"context"
	"crypto/sha256"
	"io"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/settings"
)

// Bounds of what is remembered of finished requests with an idempotency key.
const (
	joinKeep  = 2 * time.Minute
	joinBytes = 8 << 20
	joinRows  = 20_000
	// joinOverhead is counted for each row besides its answer's body.
	joinOverhead = 512
)

// joinID names a request by the caller that sent it and its idempotency key:
// no request of one caller joins that of another.
type joinID struct {
	caller settings.Caller
	route  string
	key    string
}

// digest tells different requests with the same idempotency key apart.
type digest [sha256.Size]byte

func digestOf(w *work) digest {
	h := sha256.New()
	for _, text := range []string{w.request.Method, "\x00", w.request.URI, "\x00"} {
		_, _ = io.WriteString(h, text)
	}
	_, _ = h.Write(w.request.Body)
	return digest(h.Sum(nil))
}

// flight is the one run of all requests with the same joinID.
type flight struct {
	digest digest
	done   chan struct{}
	result outcome.Result
	ended  time.Time
	size   int
	// waiting counts the callers; at none, cancel takes it out of the queue.
	waiting int
	cancel  context.CancelFunc
	row     *list.Element
}

// joins keeps the flights under way and the newest finished ones.
type joins struct {
	mu      sync.Mutex
	flights map[joinID]*flight
	ended   *list.List // of joinID, oldest first
	bytes   int
}

func newJoins() *joins {
	return &joins{flights: make(map[joinID]*flight), ended: list.New()}
}

// enter returns the flight of id and whether the caller has to run it. ok is
// false where the key was used for a different request.
func (j *joins) enter(now time.Time, id joinID, digest digest, cancel context.CancelFunc) (f *flight, first, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expire(now)
	if f := j.flights[id]; f != nil {
		if f.digest != digest {
			return nil, false, false
		}
		f.waiting++
		return f, false, true
	}
	f = &flight{digest: digest, done: make(chan struct{}), waiting: 1, cancel: cancel}
	j.flights[id] = f
	return f, true, true
}

// end records the result and wakes all that joined. A request that did not
// run is forgotten, so that its repetition runs. One that may have run is
// remembered: its repetition must not run again.
func (j *joins) end(now time.Time, id joinID, f *flight, result outcome.Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.result, f.ended = result, now
	close(f.done)
	f.cancel()
	if _, ok := result.(outcome.NotRunFailure); ok {
		delete(j.flights, id)
		return
	}
	f.size = joinOverhead
	if a, ok := result.(outcome.Response); ok {
		f.size += len(a.Body)
	}
	j.bytes += f.size
	f.row = j.ended.PushBack(id)
	j.expire(now)
}

// leave tells that one caller no longer waits.
func (j *joins) leave(f *flight) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.waiting--
	if f.waiting == 0 {
		f.cancel()
	}
}

// expire forgets the oldest finished flights past the bounds.
func (j *joins) expire(now time.Time) {
	for front := j.ended.Front(); front != nil; front = j.ended.Front() {
		id := front.Value.(joinID)
		f := j.flights[id]
		if now.Sub(f.ended) < joinKeep && j.bytes <= joinBytes && j.ended.Len() <= joinRows {
			return
		}
		j.bytes -= f.size
		j.ended.Remove(front)
		delete(j.flights, id)
	}
}

// join runs the request, or waits for the run of the same request that came
// before.
func (e *Entry) join(ctx context.Context, w *work) outcome.Result {
	id := joinID{w.caller, w.route, w.join}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f, first, ok := e.joins.enter(time.Now(), id, w.digest, cancel)
	if !ok {
		cancel()
		return outcome.NotRunFailure{Reason: outcome.KeyReused}
	}
	if !first {
		cancel()
		return e.follow(ctx, w, f)
	}
	stop := context.AfterFunc(ctx, func() { e.joins.leave(f) })
	result := e.route(runCtx, w.single())
	e.joins.end(time.Now(), id, f, result)
	if stop() {
		e.joins.leave(f)
	}
	return result
}

// single returns a copy that runs by itself: what joins it waits for the
// flight.
func (w *work) single() *work {
	return &work{
		caller: w.caller, class: w.class, route: w.route, idempotent: w.idempotent,
		request: w.request, hash: w.hash, deadline: w.deadline, wake: make(chan event, 1),
	}
}

// follow waits for another request's run. It may have run already, so a
// caller whose time is up learns that the outcome is unknown.
func (e *Entry) follow(ctx context.Context, w *work, f *flight) outcome.Result {
	defer e.joins.leave(f)
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case <-f.done:
		return f.result
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcome.UnknownFailure{Reason: outcome.AnswerLate}
}
