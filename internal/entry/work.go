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
	// parkStep is how long a request that a target refused as not its owner
	// waits for a newer table before the target is asked again: the target
	// may get its grant after the table is out.
	// The wait doubles each time, up to parkDoublings times.
	parkStep      = 40 * time.Millisecond
	parkDoublings = 4
	// retryAfter is the hint where nothing better is known.
	retryAfter = time.Second
)

// work is one request on its way to the owner of its key.
type work struct {
	caller     settings.Caller
	class      settings.Class
	route      string
	idempotent bool
	request    forward.Request
	hash       key.Hash
	deadline   time.Time
	// join is the idempotency key, or empty; digest tells requests apart
	// that misuse the same one.
	join   string
	digest digest
	// parkUntil bounds the waiting for an owner.
	parkUntil time.Time
	wake      chan event
	ticket    queue.Ticket
	// direct tells that the request goes to its home where the target has no
	// free slot; waited that it waited for one.
	direct, waited bool
	// moved tells that the owner changed while the request ran.
	moved atomic.Bool
	// handed tells that another entry host handed the request over.
	handed bool
	// returned tells that the request held a slot before and did not run.
	returned bool
	// uncertain is the reason of an uncertain try, after which the request
	// was sent again; it can no longer end as not-run.
	uncertain outcome.Reason
	// refusedBy is the owner that said it does not own the shard; parks
	// counts the waits for a newer table.
	refusedBy owner
	parks     int
}

// step is what to do after one try.
type step interface{ step() }

// finish ends the request; again tries it at once; park waits for a newer
// table first.
type (
	finish struct{ result outcome.Result }
	again  struct{}
	park   struct{ reason outcome.Reason }
)

func (finish) step() {}
func (again) step()  {}
func (park) step()   {}

// serve takes one request to its end. ctx ends when nobody waits for the
// answer any more.
func (e *Entry) serve(ctx context.Context, w *work) outcome.Result {
	e.earn()
	for {
		v := e.view.Load()
		switch s := e.try(ctx, v, w).(type) {
		case finish:
			return w.final(s.result)
		case park:
			if failure := e.park(ctx, v, w, s.reason); failure != nil {
				return w.final(failure)
			}
		case again:
		}
	}
}

// final keeps not-run true: a look-up that was cut once and then found no
// owner may have run the first time.
func (w *work) final(r outcome.Result) outcome.Result {
	if _, ok := r.(outcome.NotRunFailure); ok && w.uncertain != "" {
		return outcome.UnknownFailure{Reason: w.uncertain}
	}
	return r
}

// try sends the request to the owner that the view names.
func (e *Entry) try(ctx context.Context, v *view, w *work) step {
	s := v.services[w.request.Service]
	if s == nil {
		return park{outcome.NoOwner}
	}
	shard, o := s.find(w.hash)
	if o.lane == nil || o == w.refusedBy && !e.spend() {
		return park{outcome.NoOwner}
	}
	switch sig := e.await(ctx, o.lane, w).(type) {
	case moved:
		return again{}
	case contended:
		return finish{nil}
	case dropped:
		return finish{sig.failure}
	}
	w.request.Shard, w.request.Epoch = shard, o.epoch
	if now, stale := time.Now(), e.stale(w, o); stale {
		o.lane.release(now, w, 0, forward.NotSent{Err: context.Canceled})
		return again{}
	}
	return e.send(ctx, s, o, w)
}

// stale reports whether the owner changed while the request waited.
func (e *Entry) stale(w *work, o owner) bool {
	s := e.view.Load().services[w.request.Service]
	if s == nil {
		return true
	}
	shard, newest := s.find(w.hash)
	return newest != o || shard != w.request.Shard
}

// await waits for a slot of the lane. On every way out but granted the
// request is out of the queue and did not run.
func (e *Entry) await(ctx context.Context, l *lane, w *work) event {
	now := time.Now()
	if !w.deadline.After(now) {
		return dropped{notRun(outcome.Deadline, retryAfter)}
	}
	if sig := l.enter(now, w); sig != nil {
		return sig
	}
	w.waited = true
	select {
	case sig := <-w.wake:
		return sig
	case <-ctx.Done():
	}
	if !l.leave(w) {
		if _, ok := (<-w.wake).(granted); ok {
			l.release(time.Now(), w, 0, forward.NotSent{Err: context.Canceled})
		}
	}
	return dropped{notRun(outcome.CallerGone, retryAfter)}
}

// send makes one try with the slot held, and gives the slot back.
func (e *Entry) send(ctx context.Context, s *service, o owner, w *work) step {
	l := o.lane
	start := time.Now()
	if !w.deadline.After(start) {
		l.release(start, w, 0, forward.NotSent{Err: context.Canceled})
		return finish{notRun(outcome.Deadline, retryAfter)}
	}
	result := l.do(w.sendContext(ctx), w, start)
	end := time.Now()
	took := end.Sub(start)
	l.release(end, w, took, result)
	s.load.add(w.request.Shard, w.hash, took)
	e.metrics.tried(result)
	return e.judge(ctx, o, w, result)
}

// do makes one try; a look-up is broken off where its owner changes.
func (l *lane) do(ctx context.Context, w *work, now time.Time) forward.Result {
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
func (w *work) sendContext(ctx context.Context) context.Context {
	if w.idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// judge decides what follows one try.
func (e *Entry) judge(ctx context.Context, o owner, w *work, result forward.Result) step {
	switch r := result.(type) {
	case forward.Completed:
		return finish{r.Response}
	case forward.Refused:
		return e.judgeRefused(o, w, r.Refusal)
	case forward.NotSent:
		return e.judgeNotSent(ctx, w, r.Err)
	case forward.Uncertain:
		if w.moved.Swap(false) {
			r.Reason = outcome.AnswerCut
		}
		if e.mayResend(ctx, w, r.Reason) {
			w.uncertain, w.returned = r.Reason, true
			return again{}
		}
		return finish{outcome.UnknownFailure{Reason: r.Reason}}
	}
	return finish{outcome.UnknownFailure{Reason: outcome.AnswerBad}}
}

// judgeRefused follows a target's word that nothing ran.
func (e *Entry) judgeRefused(o owner, w *work, refusal target.Refusal) step {
	w.returned = true
	switch refusal {
	case target.RefusalBusy:
		if w.direct {
			o.lane.contend(time.Now())
			return finish{nil}
		}
		return again{}
	case target.RefusalDeadline:
		return finish{notRun(outcome.Deadline, retryAfter)}
	case target.RefusalOwner, target.RefusalDraining:
		w.refusedBy = o
		return park{outcome.NoOwner}
	}
	return finish{notRun(outcome.Refused, retryAfter)}
}

// judgeNotSent follows a try of which no byte left.
func (e *Entry) judgeNotSent(ctx context.Context, w *work, err error) step {
	w.returned = true
	if ctx.Err() != nil {
		return finish{notRun(outcome.CallerGone, retryAfter)}
	}
	if errors.Is(err, forward.ErrClosed) || errors.Is(err, forward.ErrFull) || e.spend() {
		return park{outcome.Unreachable}
	}
	return finish{notRun(outcome.Unreachable, retryAfter)}
}

// park waits for a newer view, or parkStep if the view names an owner. It
// returns the failure where the request is given up instead.
func (e *Entry) park(ctx context.Context, v *view, w *work, reason outcome.Reason) outcome.Result {
	now := time.Now()
	if w.parkUntil.IsZero() {
		w.parkUntil = now.Add(e.cfg.Park)
	}
	end := w.parkUntil
	if w.deadline.Before(end) {
		end = w.deadline
	}
	if !end.After(now) || !e.parked.enter() {
		return notRun(reason, retryAfter)
	}
	defer e.parked.leave()
	pause := parkStep << min(w.parks, parkDoublings)
	w.parks++
	wait := min(end.Sub(now), pause/2+rand.N(pause))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-v.replaced:
	case <-timer.C:
		if !end.After(time.Now()) {
			return notRun(reason, retryAfter)
		}
	case <-ctx.Done():
		return notRun(outcome.CallerGone, retryAfter)
	case <-e.stopping:
		return notRun(outcome.Stopping, retryAfter)
	}
	return nil
}

func notRun(reason outcome.Reason, after time.Duration) outcome.NotRunFailure {
	return outcome.NotRunFailure{Reason: reason, RetryAfter: after}
}
