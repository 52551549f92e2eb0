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
	// minParkWait is how long a request that a target refused as not its owner
	// waits for a newer table before the target is asked again: the target
	// may get its grant after the table is out.
	// The wait doubles each time, up to parkDoublings times.
	minParkWait      = 40 * time.Millisecond
	maxParkDoublings = 4
	// defaultRetryAfter is the hint where nothing better is known.
	defaultRetryAfter = time.Second
)

// job is one request on its way to the owner of its key.
type job struct {
	caller     settings.Caller
	class      settings.Class
	route      string
	idempotent bool
	request    forward.Request
	hash       key.Hash
	deadline   time.Time
	// idempotencyKey is the idempotency key, or empty; digest tells requests apart
	// that misuse the same one.
	idempotencyKey string
	fingerprint    fingerprint
	// parkUntil bounds the waiting for an owner.
	parkUntil   time.Time
	wake        chan slotEvent
	queueHandle queue.Handle
	// direct tells that the request goes to its home where the target has no
	// free slot; waited that it waited for one.
	direct, waited bool
	// ownerMoved tells that the owner changed while the request ran.
	ownerMoved atomic.Bool
	// relayed tells that another entry host handed the request over.
	relayed bool
	// requeue tells that the request held a slot before and did not run.
	requeue bool
	// uncertainReason is the reason of an uncertain try, after which the request
	// was sent again; it can no longer end as not-run.
	uncertainReason outcome.Reason
	// refusedBy is the owner that said it does not own the shard; parks
	// counts the waits for a newer table.
	refusedBy owner
	parkCount int
}

// step is what to do after one try.
type step interface{ step() }

// finish ends the request; again tries it at once; park waits for a newer
// table first.
type (
	finish   struct{ result outcome.Result }
	retryNow struct{}
	park     struct{ reason outcome.Reason }
)

func (finish) step()   {}
func (retryNow) step() {}
func (park) step()     {}

// serve takes one request to its end. ctx ends when nobody waits for the
// answer any more.
func (e *Entry) serve(ctx context.Context, w *job) outcome.Result {
	e.countForRetries()
	for {
		v := e.view.Load()
		switch s := e.tryOwner(ctx, v, w).(type) {
		case finish:
			return w.finalResult(s.result)
		case park:
			if failure := e.park(ctx, v, w, s.reason); failure != nil {
				return w.finalResult(failure)
			}
		case retryNow:
		}
	}
}

// finalResult keeps not-run true: a look-up that was cut once and then found no
// owner may have run the first time.
func (w *job) finalResult(r outcome.Result) outcome.Result {
	if _, ok := r.(outcome.NotRunFailure); ok && w.uncertainReason != "" {
		return outcome.UnknownFailure{Reason: w.uncertainReason}
	}
	return r
}

// tryOwner sends the request to the owner that the view names.
func (e *Entry) tryOwner(ctx context.Context, v *view, w *job) step {
	s := v.services[w.request.Service]
	if s == nil {
		return park{outcome.NoOwner}
	}
	shard, o := s.find(w.hash)
	if o.target == nil || o == w.refusedBy && !e.withdrawRetry() {
		return park{outcome.NoOwner}
	}
	switch sig := e.awaitSlot(ctx, o.target, w).(type) {
	case ownerMoved:
		return retryNow{}
	case contended:
		return finish{nil}
	case dropped:
		return finish{sig.failure}
	}
	w.request.Shard, w.request.Epoch = shard, o.epoch
	if now, stale := time.Now(), e.ownerChanged(w, o); stale {
		o.target.release(now, w, 0, forward.NotSent{Err: context.Canceled})
		return retryNow{}
	}
	return e.send(ctx, s, o, w)
}

// ownerChanged reports whether the owner changed while the request waited.
func (e *Entry) ownerChanged(w *job, o owner) bool {
	s := e.view.Load().services[w.request.Service]
	if s == nil {
		return true
	}
	shard, newest := s.find(w.hash)
	return newest != o || shard != w.request.Shard
}

// awaitSlot waits for a slot of the lane. On every way out but granted the
// request is out of the queue and did not run.
func (e *Entry) awaitSlot(ctx context.Context, l *targetState, w *job) slotEvent {
	now := time.Now()
	if !w.deadline.After(now) {
		return dropped{notRun(outcome.Deadline, defaultRetryAfter)}
	}
	if sig := l.acquire(now, w); sig != nil {
		return sig
	}
	w.waited = true
	select {
	case sig := <-w.wake:
		return sig
	case <-ctx.Done():
	}
	if !l.dequeue(w) {
		if _, ok := (<-w.wake).(assigned); ok {
			l.release(time.Now(), w, 0, forward.NotSent{Err: context.Canceled})
		}
	}
	return dropped{notRun(outcome.CallerGone, defaultRetryAfter)}
}

// send makes one try with the slot held, and gives the slot back.
func (e *Entry) send(ctx context.Context, s *service, o owner, w *job) step {
	l := o.target
	start := time.Now()
	if !w.deadline.After(start) {
		l.release(start, w, 0, forward.NotSent{Err: context.Canceled})
		return finish{notRun(outcome.Deadline, defaultRetryAfter)}
	}
	result := l.attempt(w.sendContext(ctx), w, start)
	end := time.Now()
	took := end.Sub(start)
	l.release(end, w, took, result)
	s.load.add(w.request.Shard, w.hash, took)
	e.metrics.countAttempt(result)
	return e.afterAttempt(ctx, o, w, result)
}

// attempt makes one try; a look-up is broken off where its owner changes.
func (l *targetState) attempt(ctx context.Context, w *job, now time.Time) forward.Result {
	if !w.idempotent {
		return l.pool.Do(ctx, &w.request, now)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.track(w, cancel)
	defer l.untrack(w)
	return l.pool.Do(ctx, &w.request, now)
}

// sendContext lets a caller that hung up cancel a look-up that runs. Other
// work runs to its end: breaking it off would leave its outcome unknown.
func (w *job) sendContext(ctx context.Context) context.Context {
	if w.idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// afterAttempt decides what follows one try.
func (e *Entry) afterAttempt(ctx context.Context, o owner, w *job, result forward.Result) step {
	switch r := result.(type) {
	case forward.Completed:
		return finish{r.Response}
	case forward.Refused:
		return e.afterRefused(o, w, r.Refusal)
	case forward.NotSent:
		return e.afterNotSent(ctx, w, r.Err)
	case forward.Uncertain:
		if w.ownerMoved.Swap(false) {
			r.Reason = outcome.AnswerCut
		}
		if e.mayRetry(ctx, w, r.Reason) {
			w.uncertainReason, w.requeue = r.Reason, true
			return retryNow{}
		}
		return finish{outcome.UnknownFailure{Reason: r.Reason}}
	}
	return finish{outcome.UnknownFailure{Reason: outcome.AnswerBad}}
}

// afterRefused follows a target's word that nothing ran.
func (e *Entry) afterRefused(o owner, w *job, refusal target.Refusal) step {
	w.requeue = true
	switch refusal {
	case target.RefusalBusy:
		if w.direct {
			o.target.markContended(time.Now())
			return finish{nil}
		}
		return retryNow{}
	case target.RefusalDeadline:
		return finish{notRun(outcome.Deadline, defaultRetryAfter)}
	case target.RefusalOwner, target.RefusalDraining:
		w.refusedBy = o
		return park{outcome.NoOwner}
	}
	return finish{notRun(outcome.Refused, defaultRetryAfter)}
}

// afterNotSent follows a try of which no byte left.
func (e *Entry) afterNotSent(ctx context.Context, w *job, err error) step {
	w.requeue = true
	if ctx.Err() != nil {
		return finish{notRun(outcome.CallerGone, defaultRetryAfter)}
	}
	if errors.Is(err, forward.ErrClosed) || errors.Is(err, forward.ErrFull) || e.withdrawRetry() {
		return park{outcome.Unreachable}
	}
	return finish{notRun(outcome.Unreachable, defaultRetryAfter)}
}

// park waits for a newer view, or parkStep if the view names an owner. It
// returns the failure where the request is given up instead.
func (e *Entry) park(ctx context.Context, v *view, w *job, reason outcome.Reason) outcome.Result {
	now := time.Now()
	if w.parkUntil.IsZero() {
		w.parkUntil = now.Add(e.cfg.ParkTimeout)
	}
	end := w.parkUntil
	if w.deadline.Before(end) {
		end = w.deadline
	}
	if !end.After(now) || !e.parked.tryAcquire() {
		return notRun(reason, defaultRetryAfter)
	}
	defer e.parked.release()
	pause := minParkWait << min(w.parkCount, maxParkDoublings)
	w.parkCount++
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
