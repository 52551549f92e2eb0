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

// Limits of the completed runs that are kept for later requests with the same
// idempotency key.
const (
	dedupRetention = 2 * time.Minute
	maxDedupBytes  = 8 << 20
	maxDedupRuns   = 20_000
	// dedupRunOverheadBytes is counted for each run besides its response body.
	dedupRunOverheadBytes = 512
)

// dedupKey identifies the requests that share one run. It includes the caller, so that
// requests of different callers never share one.
type dedupKey struct {
	caller settings.Caller
	route  string
	key    string
}

// fingerprint is a hash of a request, to detect different requests with the same
// idempotency key.
type fingerprint [sha256.Size]byte

func fingerprintOf(j *job) fingerprint {
	h := sha256.New()
	for _, text := range []string{j.request.Method, "\x00", j.request.URI, "\x00"} {
		_, _ = io.WriteString(h, text)
	}
	_, _ = h.Write(j.request.Body)
	return fingerprint(h.Sum(nil))
}

// dedupRun is the one run of all requests with the same dedupKey.
type dedupRun struct {
	fingerprint fingerprint
	done        chan struct{}
	result      outcome.Result
	completedAt time.Time
	size        int
	// waiters counts the requests that wait for the result. When it reaches zero, cancel
	// ends the run, except for an attempt in flight that is not idempotent.
	waiters int
	cancel  context.CancelFunc
	element *list.Element // in dedupCache.completed
}

// dedupCache holds the runs in progress and the newest completed ones. It is safe for
// concurrent use.
type dedupCache struct {
	mu        sync.Mutex
	runs      map[dedupKey]*dedupRun
	completed *list.List // of dedupKey, oldest first
	bytes     int        // total size of the completed runs
}

func newDedupCache() *dedupCache {
	return &dedupCache{runs: make(map[dedupKey]*dedupRun), completed: list.New()}
}

// begin returns the run of id. first reports whether it is new, so that the caller of
// begin must execute it. ok is false if the key was used for a different request.
func (c *dedupCache) begin(now time.Time, id dedupKey, sum fingerprint, cancel context.CancelFunc) (run *dedupRun, first, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(now)
	if run := c.runs[id]; run != nil {
		if run.fingerprint != sum {
			return nil, false, false
		}
		run.waiters++
		return run, false, true
	}
	run = &dedupRun{fingerprint: sum, done: make(chan struct{}), waiters: 1, cancel: cancel}
	c.runs[id] = run
	return run, true, true
}

// complete records the result and wakes all waiters. If the request did not run, the
// run is removed, so that a retry executes it. Otherwise the run is kept, since a retry
// must not execute it again.
func (c *dedupCache) complete(now time.Time, id dedupKey, run *dedupRun, result outcome.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.result, run.completedAt = result, now
	close(run.done)
	run.cancel()
	if _, ok := result.(outcome.NotRunFailure); ok {
		delete(c.runs, id)
		return
	}
	run.size = dedupRunOverheadBytes
	if response, ok := result.(outcome.Response); ok {
		run.size += len(response.Body)
	}
	c.bytes += run.size
	run.element = c.completed.PushBack(id)
	c.evict(now)
}

// leave removes one waiter.
func (c *dedupCache) leave(run *dedupRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.waiters--
	if run.waiters == 0 {
		run.cancel()
	}
}

// evict removes completed runs past their retention, and the oldest ones in excess of
// the limits.
func (c *dedupCache) evict(now time.Time) {
	for front := c.completed.Front(); front != nil; front = c.completed.Front() {
		id := front.Value.(dedupKey)
		run := c.runs[id]
		if now.Sub(run.completedAt) < dedupRetention && c.bytes <= maxDedupBytes && c.completed.Len() <= maxDedupRuns {
			return
		}
		c.bytes -= run.size
		c.completed.Remove(front)
		delete(c.runs, id)
	}
}

// serveOnce executes the request, or waits for the run of an earlier request with the
// same idempotency key.
func (e *Entry) serveOnce(ctx context.Context, j *job) outcome.Result {
	id := dedupKey{j.caller, j.route, j.idempotencyKey}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	run, first, ok := e.dedup.begin(time.Now(), id, j.fingerprint, cancel)
	if !ok {
		cancel()
		return outcome.NotRunFailure{Reason: outcome.KeyReused}
	}
	if !first {
		cancel()
		return e.awaitRun(ctx, j, run)
	}
	stop := context.AfterFunc(ctx, func() { e.dedup.leave(run) })
	result := e.serveOrRelay(runCtx, j.withoutKey())
	e.dedup.complete(time.Now(), id, run, result)
	if stop() {
		e.dedup.leave(run)
	}
	return result
}

// withoutKey returns a copy for the one run, without the idempotency key, since requests
// with the key wait for that run. The copy is not marked as relayed, since the home of
// the key may retry it.
func (j *job) withoutKey() *job {
	return &job{
		caller: j.caller, class: j.class, route: j.route, idempotent: j.idempotent,
		request: j.request, hash: j.hash, deadline: j.deadline, wake: make(chan slotEvent, 1),
	}
}

// awaitRun waits for the run of another request. If its own request reaches its deadline
// or is canceled first, the outcome is unknown, since that run may have been executed.
func (e *Entry) awaitRun(ctx context.Context, j *job, run *dedupRun) outcome.Result {
	defer e.dedup.leave(run)
	timer := time.NewTimer(time.Until(j.deadline))
	defer timer.Stop()
	select {
	case <-run.done:
		return run.result
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcome.UnknownFailure{Reason: outcome.AnswerLate}
}
