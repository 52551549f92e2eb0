package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/target"
)

const refusalBusy = target.RefusalBusy

const (
	// minParkWait is how long a parked request waits for a newer routing table before
	// the next attempt at the same owner, which may receive its grant after the table is
	// published. The wait doubles each time, up to maxParkDoublings times.
	minParkWait      = 40 * time.Millisecond
	maxParkDoublings = 4
	// defaultRetryAfter is the Retry-After hint where nothing better is known.
	defaultRetryAfter = time.Second
)

// job is one request on its way to the target that owns its key.
type job struct {
	caller     settings.Caller
	class      settings.Class
	route      string
	idempotent bool
	request    forward.Request
	hash       key.Hash
	deadline   time.Time
	// idempotencyKey is empty if the request has none. fingerprint is set only with it.
	idempotencyKey string
	fingerprint    fingerprint
	// parkUntil is when the request must no longer be parked, however often it was.
	parkUntil time.Time
	// wake receives the event that ends the wait for a slot.
	wake        chan slotEvent
	queueHandle queue.Handle
	// direct is set while the request must not queue on this host: without a free slot
	// it is relayed to the target's home. waited is set once it has queued for a slot.
	direct, waited bool
	// ownerMoved is set if the request was canceled because its key has a new owner.
	ownerMoved atomic.Bool
	// relayed is set if another entry host relayed the request to this one.
	relayed bool
	// requeue is set after an attempt that did not end the request. The request then
	// queues at the head of its flow.
	requeue bool
	// uncertainReason is why an earlier attempt may have run. Once set, the request
	// can't end as not run.
	uncertainReason outcome.Reason
	// refusedBy is the owner that refused the request because it does not own the shard
	// or is draining.
	refusedBy owner
	// parkCount is how often the request was parked.
	parkCount int
}

// step is the next action after an attempt.
type step interface{ step() }

// finish ends the request or, with a nil result, has it relayed to its target's home.
// retryNow tries again immediately. park waits for a newer view first.
type (
	finish   struct{ result outcome.Result }
	retryNow struct{}
	park     struct{ reason outcome.Reason }
)

func (finish) step()   {}
func (retryNow) step() {}
func (park) step()     {}

// serve sends the request to the owner of its key, with retries, until it ends. ctx is
// canceled when no caller waits for the response any more.
func (e *Entry) serve(ctx context.Context, j *job) outcome.Result {
	e.countForRetries()
	for {
		v := e.view.Load()
		switch s := e.tryOwner(ctx, v, j).(type) {
		case finish:
			return j.finalResult(s.result)
		case park:
			if failure := e.park(ctx, v, j, s.reason); failure != nil {
				return j.finalResult(failure)
			}
		case retryNow:
		}
	}
}

// finalResult returns the result to report. A request that did not run in its last
// attempt has an unknown outcome if an earlier attempt may have run.
func (j *job) finalResult(r outcome.Result) outcome.Result {
	if _, ok := r.(outcome.NotRunFailure); ok && j.uncertainReason != "" {
		return outcome.UnknownFailure{Reason: j.uncertainReason}
	}
	return r
}

// tryOwner waits for a slot of the owner in the view and sends the request to it.
func (e *Entry) tryOwner(ctx context.Context, v *view, j *job) step {
	s := v.services[j.request.Service]
	if s == nil {
		return park{outcome.NoOwner}
	}
	shard, o := s.find(j.hash)
	if o.target == nil || o == j.refusedBy && !e.withdrawRetry() {
		return park{outcome.NoOwner}
	}
	switch event := e.awaitSlot(ctx, o.target, j).(type) {
	case ownerMoved:
		return retryNow{}
	case contended:
		return finish{nil}
	case dropped:
		return finish{event.failure}
	}
	j.request.Shard, j.request.Epoch = shard, o.epoch
	if now, stale := time.Now(), e.ownerChanged(j, o); stale {
		o.target.release(now, j, 0, forward.NotSent{Err: context.Canceled})
		return retryNow{}
	}
	return e.send(ctx, s, o, j)
}

// ownerChanged reports whether the newest view has another owner, epoch or shard for the
// key than o and the request have.
func (e *Entry) ownerChanged(j *job, o owner) bool {
	s := e.view.Load().services[j.request.Service]
	if s == nil {
		return true
	}
	shard, newest := s.find(j.hash)
	return newest != o || shard != j.request.Shard
}

// awaitSlot waits for a slot of the target. Unless it returns assigned, the request is
// not queued any more and was not sent.
func (e *Entry) awaitSlot(ctx context.Context, ts *targetState, j *job) slotEvent {
	now := time.Now()
	if !j.deadline.After(now) {
		return dropped{notRun(outcome.Deadline, defaultRetryAfter)}
	}
	if event := ts.acquire(now, j); event != nil {
		return event
	}
	j.waited = true
	select {
	case event := <-j.wake:
		return event
	case <-ctx.Done():
	}
	if !ts.dequeue(j) {
		if _, ok := (<-j.wake).(assigned); ok {
			ts.release(time.Now(), j, 0, forward.NotSent{Err: context.Canceled})
		}
	}
	return dropped{notRun(outcome.CallerGone, defaultRetryAfter)}
}

// send makes one attempt and then releases the slot.
func (e *Entry) send(ctx context.Context, s *service, o owner, j *job) step {
	ts := o.target
	start := time.Now()
	if !j.deadline.After(start) {
		ts.release(start, j, 0, forward.NotSent{Err: context.Canceled})
		return finish{notRun(outcome.Deadline, defaultRetryAfter)}
	}
	result := ts.attempt(j.sendContext(ctx), j, start)
	end := time.Now()
	took := end.Sub(start)
	ts.release(end, j, took, result)
	s.load.add(j.request.Shard, j.hash, took)
	e.metrics.countAttempt(result)
	return e.afterAttempt(ctx, o, j, result)
}

// attempt makes one attempt. An idempotent request is canceled if its key gets another
// owner.
func (ts *targetState) attempt(ctx context.Context, j *job, now time.Time) forward.Result {
	if !j.idempotent {
		return ts.pool.Do(ctx, &j.request, now)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ts.track(j, cancel)
	defer ts.untrack(j)
	return ts.pool.Do(ctx, &j.request, now)
}

// sendContext returns the context of an attempt. A caller that disconnects cancels an
// idempotent request in flight. Other requests run to their end, since canceling them
// would leave their outcome unknown.
func (j *job) sendContext(ctx context.Context) context.Context {
	if j.idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// afterAttempt returns the step after an attempt.
func (e *Entry) afterAttempt(ctx context.Context, o owner, j *job, result forward.Result) step {
	switch r := result.(type) {
	case forward.Completed:
		return finish{r.Response}
	case forward.Refused:
		return e.afterRefused(o, j, r.Refusal)
	case forward.NotSent:
		return e.afterNotSent(ctx, j, r.Err)
	case forward.Uncertain:
		if j.ownerMoved.Swap(false) {
			r.Reason = outcome.AnswerCut
		}
		if e.mayRetry(ctx, j, r.Reason) {
			j.uncertainReason, j.requeue = r.Reason, true
			return retryNow{}
		}
		return finish{outcome.UnknownFailure{Reason: r.Reason}}
	}
	return finish{outcome.UnknownFailure{Reason: outcome.AnswerBad}}
}

// afterRefused returns the step after a target refused the request without running it.
func (e *Entry) afterRefused(o owner, j *job, refusal target.Refusal) step {
	j.requeue = true
	switch refusal {
	case target.RefusalBusy:
		if j.direct {
			o.target.markContended(time.Now())
			return finish{nil}
		}
		return retryNow{}
	case target.RefusalDeadline:
		return finish{notRun(outcome.Deadline, defaultRetryAfter)}
	case target.RefusalOwner, target.RefusalDraining:
		j.refusedBy = o
		return park{outcome.NoOwner}
	}
	return finish{notRun(outcome.Refused, defaultRetryAfter)}
}

// afterNotSent returns the step after an attempt that sent nothing.
func (e *Entry) afterNotSent(ctx context.Context, j *job, err error) step {
	j.requeue = true
	if ctx.Err() != nil {
		return finish{notRun(outcome.CallerGone, defaultRetryAfter)}
	}
	if errors.Is(err, forward.ErrClosed) || errors.Is(err, forward.ErrFull) || e.withdrawRetry() {
		return park{outcome.Unreachable}
	}
	return finish{notRun(outcome.Unreachable, defaultRetryAfter)}
}

// park waits for a newer view, or for a backoff that grows with parkCount. It returns a
// failure if the request must end instead.
func (e *Entry) park(ctx context.Context, v *view, j *job, reason outcome.Reason) outcome.Result {
	now := time.Now()
	if j.parkUntil.IsZero() {
		j.parkUntil = now.Add(e.cfg.ParkTimeout)
	}
	end := j.parkUntil
	if j.deadline.Before(end) {
		end = j.deadline
	}
	if !end.After(now) || !e.parked.tryAcquire() {
		return notRun(reason, defaultRetryAfter)
	}
	defer e.parked.release()
	pause := minParkWait << min(j.parkCount, maxParkDoublings)
	j.parkCount++
	wait := min(end.Sub(now), pause/2+rand.N(pause))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-v.replaced:
	case <-timer.C:
		if !end.After(time.Now()) {
			return notRun(reason, defaultRetryAfter)
		}
	case <-ctx.Done():
		return notRun(outcome.CallerGone, defaultRetryAfter)
	case <-e.stopping:
		return notRun(outcome.Stopping, defaultRetryAfter)
	}
	return nil
}

func notRun(reason outcome.Reason, after time.Duration) outcome.NotRunFailure {
	return outcome.NotRunFailure{Reason: reason, RetryAfter: after}
}
