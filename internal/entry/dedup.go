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
	dedupRetention = 2 * time.Minute
	maxDedupBytes  = 8 << 20
	maxDedupRuns   = 20_000
	// dedupRunOverheadBytes is counted for each row besides its answer's body.
	dedupRunOverheadBytes = 512
)

// dedupKey names a request by the caller that sent it and its idempotency key:
// no request of one caller joins that of another.
type dedupKey struct {
	caller settings.Caller
	route  string
	key    string
}

// fingerprint tells different requests with the same idempotency key apart.
type fingerprint [sha256.Size]byte

func fingerprintOf(w *job) fingerprint {
	h := sha256.New()
	for _, text := range []string{w.request.Method, "\x00", w.request.URI, "\x00"} {
		_, _ = io.WriteString(h, text)
	}
	_, _ = h.Write(w.request.Body)
	return fingerprint(h.Sum(nil))
}

// dedupRun is the one run of all requests with the same joinID.
type dedupRun struct {
	fingerprint fingerprint
	done        chan struct{}
	result      outcome.Result
	completedAt time.Time
	size        int
	// waiters counts the callers; at none, cancel takes it out of the queue.
	waiters int
	cancel  context.CancelFunc
	element *list.Element
}

// dedupCache keeps the flights under way and the newest finished ones.
type dedupCache struct {
	mu        sync.Mutex
	runs      map[dedupKey]*dedupRun
	completed *list.List // of joinID, oldest first
	bytes     int
}

func newDedupCache() *dedupCache {
	return &dedupCache{runs: make(map[dedupKey]*dedupRun), completed: list.New()}
}

// begin returns the flight of id and whether the caller has to run it. ok is
// false where the key was used for a different request.
func (j *dedupCache) begin(now time.Time, id dedupKey, digest fingerprint, cancel context.CancelFunc) (f *dedupRun, first, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evict(now)
	if f := j.runs[id]; f != nil {
		if f.fingerprint != digest {
			return nil, false, false
		}
		f.waiters++
		return f, false, true
	}
	f = &dedupRun{fingerprint: digest, done: make(chan struct{}), waiters: 1, cancel: cancel}
	j.runs[id] = f
	return f, true, true
}

// complete records the result and wakes all that joined. A request that did not
// run is forgotten, so that its repetition runs. One that may have run is
// remembered: its repetition must not run again.
func (j *dedupCache) complete(now time.Time, id dedupKey, f *dedupRun, result outcome.Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.result, f.completedAt = result, now
	close(f.done)
	f.cancel()
	if _, ok := result.(outcome.NotRunFailure); ok {
		delete(j.runs, id)
		return
	}
	f.size = dedupRunOverheadBytes
	if a, ok := result.(outcome.Response); ok {
		f.size += len(a.Body)
	}
	j.bytes += f.size
	f.element = j.completed.PushBack(id)
	j.evict(now)
}

// leave tells that one caller no longer waits.
func (j *dedupCache) leave(f *dedupRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f.waiters--
	if f.waiters == 0 {
		f.cancel()
	}
}

// evict forgets the oldest finished flights past the bounds.
func (j *dedupCache) evict(now time.Time) {
	for front := j.completed.Front(); front != nil; front = j.completed.Front() {
		id := front.Value.(dedupKey)
		f := j.runs[id]
		if now.Sub(f.completedAt) < dedupRetention && j.bytes <= maxDedupBytes && j.completed.Len() <= maxDedupRuns {
			return
		}
		j.bytes -= f.size
		j.completed.Remove(front)
		delete(j.runs, id)
	}
}

// serveOnce runs the request, or waits for the run of the same request that came
// before.
func (e *Entry) serveOnce(ctx context.Context, w *job) outcome.Result {
	id := dedupKey{w.caller, w.route, w.idempotencyKey}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f, first, ok := e.dedup.begin(time.Now(), id, w.fingerprint, cancel)
	if !ok {
		cancel()
		return outcome.NotRunFailure{Reason: outcome.KeyReused}
	}
	if !first {
		cancel()
		return e.awaitRun(ctx, w, f)
	}
	stop := context.AfterFunc(ctx, func() { e.dedup.leave(f) })
	result := e.serveOrRelay(runCtx, w.withoutKey())
	e.dedup.complete(time.Now(), id, f, result)
	if stop() {
		e.dedup.leave(f)
	}
	return result
}

// withoutKey returns a copy that runs by itself: what joins it waits for the
// flight.
func (w *job) withoutKey() *job {
	return &job{
		caller: w.caller, class: w.class, route: w.route, idempotent: w.idempotent,
		request: w.request, hash: w.hash, deadline: w.deadline, wake: make(chan slotEvent, 1),
	}
}

// awaitRun waits for another request's run. It may have run already, so a
// caller whose time is up learns that the outcome is unknown.
func (e *Entry) awaitRun(ctx context.Context, w *job, f *dedupRun) outcome.Result {
	defer e.dedup.leave(f)
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
