package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/table"
)

const (
	// dialTimeout bounds one attempt to connect to a target.
	dialTimeout = 500 * time.Millisecond
	// minConnectBackoff and downMost bound the pause before the next try of a target
	// that took no connection.
	minConnectBackoff = 20 * time.Millisecond
	maxConnectBackoff = time.Second
	// minBusyBackoff is the first pause of a lane after a refusal for want of a
	// slot. Each refusal in a row doubles it, up to busyDoublings times and to
	// half of the target's service time: a slot frees no sooner.
	minBusyBackoff   = 2 * time.Millisecond
	maxBusyDoublings = 5
	// contentionTime is how long after the last wait for a slot requests go to the
	// target's home.
	contentionTime = 100 * time.Millisecond
	// waitMarginPercent is what the estimate of a wait is multiplied by before a
	// request is taken in, in percent: queues do not run evenly.
	waitMarginPercent = 130
	// interactiveReserveTime is how long after the newest interactive request a slot is
	// kept free of bulk work.
	interactiveReserveTime = time.Second
	// initialServiceTime is the service time assumed before the first answer.
	initialServiceTime = 2 * time.Millisecond
)

// targetState is the work of this entry host for one target: its queue, its free
// slots, its connections and what results tell of its health.
type targetState struct {
	entry   *Entry
	service key.Service
	target  place.Target
	zone    place.Zone
	addr    string
	pool    *forward.Pool
	// homes are the entry hosts that hold the target's queue, best first.
	homes atomic.Pointer[[]place.HostRow]

	mu          sync.Mutex
	queue       *queue.Queue[*job]
	concurrency concurrencyLimit
	warmupStart time.Time
	warmUp      time.Duration
	inFlight    int
	// bulkInFlight is how many of them are of the bulk class; interactive is when
	// the newest request of that class came.
	bulkInFlight    int
	lastInteractive time.Time
	serviceTime     serviceTime
	backlog         backlogInterval
	// busyRefusals counts the refusals in a row for want of a slot.
	busyRefusals int
	// cancelable are the look-ups that run, with what breaks each off.
	cancelable map[*job]context.CancelFunc
	meter      *meter
	// connectFailures counts failed connects in a row; until resume nothing is sent.
	connectFailures int
	pausedUntil     time.Time
	timer           *time.Timer
	closed          bool
	// contendedUntil is how long requests go to the target's home.
	contendedUntil time.Time
}

// slotEvent is what a waiting request hears from its lane.
type slotEvent interface{ event() }

// granted: the request holds a slot. moved: its shard has another owner.
// dropped: it left the queue and did not run. contended: there is no free slot
// for a request that does not queue here.
type (
	assigned   struct{}
	ownerMoved struct{}
	dropped    struct{ failure outcome.NotRunFailure }

	contended struct{}
)

func (assigned) event()   {}
func (ownerMoved) event() {}
func (dropped) event()    {}
func (contended) event()  {}

func newTargetState(e *Entry, zone place.Zone, row *table.Target, cfg *settings.Service) *targetState {
	limit := max(cfg.Connections/max(e.cfg.Hosts, 1), cfg.Slots, 1)
	l := &targetState{
		meter:       newMeter(),
		entry:       e,
		service:     cfg.Name,
		target:      row.Name,
		zone:        zone,
		addr:        row.Addr.String(),
		queue:       queue.New[*job](e.cfg.Queue),
		cancelable:  make(map[*job]context.CancelFunc),
		concurrency: newConcurrencyLimit(max(cfg.Slots, 1)),
		serviceTime: serviceTime{mean: initialServiceTime},
	}
	l.pool = forward.New(forward.Config{
		Addr:        row.Addr,
		MaxOpen:     limit,
		MinOpen:     max(cfg.Slots, 1),
		Dial:        e.cfg.Dial,
		DialTimeout: dialTimeout,
	})
	return l
}

// configure takes over what tables and settings say now.
func (l *targetState) configure(row *table.Target, cfg *settings.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmupStart, l.warmUp = row.WarmupStart, cfg.WarmUp
	if l.concurrency.slots != cfg.Slots && cfg.Slots > 0 {
		l.concurrency = newConcurrencyLimit(cfg.Slots)
	}
}

// warmUpPool warms the connections of a new lane: a new one costs a millisecond.
func (l *targetState) warmUpPool(ctx context.Context, now time.Time) {
	if err := l.pool.Warm(ctx, now); err != nil {
		l.entry.log.Debug("Target takes no connection.", "target", string(l.target), "error", err)
	}
}

// acquire gives the request a slot, or queues it, or drops it.
func (l *targetState) acquire(now time.Time, w *job) slotEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ownerMoved{}
	}
	if w.class == settings.Interactive {
		l.lastInteractive = now
	}
	if l.queue.Len() == 0 && l.mayStart(now) && w.class != l.excludedClass(now) {
		l.takeSlot(w)
		return assigned{}
	}
	if w.direct {
		l.contendedUntil = now.Add(contentionTime)
		return contended{}
	}
	e := queue.Item[*job]{Caller: w.caller, Class: w.class, Deadline: w.deadline, Value: w}
	if w.requeue {
		w.queueHandle = l.queue.Requeue(e)
		l.startQueued(now)
		return nil
	}
	ticket, verdict, out, pushed := l.queue.Push(now.Add(l.serviceTime.upper()), e, l.serveInterval()*waitMarginPercent/100)
	if verdict != queue.Queued {
		return dropped{l.overloadFailure()}
	}
	if pushed {
		out.wake <- dropped{l.overloadFailure()}
	}
	w.queueHandle = ticket
	l.startQueued(now)
	return nil
}

// uncontended reports whether requests may try the target without its home.
func (l *targetState) uncontended(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.contendedUntil)
}

// markContended sends requests to the target's home for a while.
func (l *targetState) markContended(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contendedUntil = now.Add(contentionTime)
}

// overloadFailure tells the caller when the queue as it is will be worked off.
func (l *targetState) overloadFailure() outcome.NotRunFailure {
	wait := time.Duration(l.queue.Len()+1) * l.serveInterval()
	return outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: max(wait, time.Second)}
}

// serveInterval returns the mean time between two requests served. Other entry hosts use
// the target's slots as well, so while requests wait it is what was seen.
func (l *targetState) serveInterval() time.Duration {
	alone := l.serviceTime.mean / time.Duration(max(int(l.concurrency.limit), 1))
	return max(alone, l.backlog.estimate())
}

func (l *targetState) mayStart(now time.Time) bool {
	if now.Before(l.pausedUntil) {
		return false
	}
	if l.connectFailures > 0 {
		return l.inFlight == 0
	}
	return l.inFlight < l.concurrency.current(now, l.warmupStart, l.warmUp)
}

// excludedClass returns the class that may not start now: bulk work leaves one slot
// free while interactive requests come, since each would wait for a whole run
// of bulk work otherwise.
func (l *targetState) excludedClass(now time.Time) settings.Class {
	slots := l.concurrency.current(now, l.warmupStart, l.warmUp)
	if slots > 1 && l.bulkInFlight >= slots-1 && now.Sub(l.lastInteractive) < interactiveReserveTime {
		return settings.Bulk
	}
	return ""
}

// takeSlot counts a request that starts.
func (l *targetState) takeSlot(w *job) {
	l.inFlight++
	if w.class == settings.Bulk {
		l.bulkInFlight++
	}
}

// startQueued hands free slots to waiting requests.
func (l *targetState) startQueued(now time.Time) {
	for l.queue.Len() > 0 && l.mayStart(now) {
		// A request that has not the time to be served any more would run
		// in vain and end as unknown.
		e, ok := l.queue.Pop(now.Add(l.serviceTime.upper()), l.excludedClass(now))
		if !ok {
			break
		}
		l.takeSlot(e.Value)
		e.Value.wake <- assigned{}
	}
	l.armTimer(now)
}

// armTimer sets the timer where waiting work depends on the passing of time.
func (l *targetState) armTimer(now time.Time) {
	if l.queue.Len() == 0 || !now.Before(l.pausedUntil) {
		return
	}
	wait := l.pausedUntil.Sub(now)
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.handleTimer)
		return
	}
	l.timer.Reset(wait)
}

// handleTimer is one turn of the lane's timer.
func (l *targetState) handleTimer() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startQueued(now)
}

// dequeue takes a request out of the queue; it reports false where the request
// was handed an event before.
func (l *targetState) dequeue(w *job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Remove(w.queueHandle)
}

// release gives back a slot and draws the conclusions from the result.
func (l *targetState) release(now time.Time, w *job, took time.Duration, r forward.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if w.class == settings.Bulk {
		l.bulkInFlight--
	}
	switch r := r.(type) {
	case forward.Completed:
		l.meter.record(now, took, false)
		l.recordCompleted(now, took)
	case forward.Refused:
		l.connectFailures = 0
		if r.Refusal == refusalBusy {
			l.backOffBusy(now)
		}
	case forward.NotSent:
		if !errors.Is(r.Err, context.Canceled) && !errors.Is(r.Err, forward.ErrFull) {
			l.connectFailed(now)
		}
	}
	l.startQueued(now)
}

func (l *targetState) recordCompleted(now time.Time, took time.Duration) {
	l.connectFailures, l.busyRefusals = 0, 0
	l.backlog.add(now, l.queue.Len() > 0)
	l.concurrency.increase()
	l.serviceTime.add(took)
}

// backOffBusy makes way for others that use the target's slots. A home keeps its
// limit: those that go past it are few.
func (l *targetState) backOffBusy(now time.Time) {
	if l.entry.cfg.Sharing == ShareAdaptive {
		l.concurrency.decrease()
	}
	most := max(l.serviceTime.mean/2, minBusyBackoff)
	l.pause(now, min(minBusyBackoff<<min(l.busyRefusals, maxBusyDoublings), most))
	l.busyRefusals++
}

// connectFailed backs off from a target that takes no connection: one request tries
// it at a time, however many wait.
func (l *targetState) connectFailed(now time.Time) {
	l.connectFailures++
	l.pause(now, min(minConnectBackoff<<min(l.connectFailures-1, 10), maxConnectBackoff))
}

// pause lets nothing start for about d, spread so that entry hosts do not
// come back together.
func (l *targetState) pause(now time.Time, d time.Duration) {
	l.pausedUntil = now.Add(d/2 + rand.N(d))
}

// tick drops what waited past its deadline and starts what may start.
func (l *targetState) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.queue.Expire(now.Add(l.serviceTime.upper())) {
		w.wake <- dropped{outcome.NotRunFailure{Reason: outcome.Deadline, RetryAfter: time.Second}}
	}
	l.startQueued(now)
}

// track notes a look-up that runs; untrack forgets it.
func (l *targetState) track(w *job, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelable[w] = cancel
}

func (l *targetState) untrack(w *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cancelable, w)
}

// wakeMoved wakes the waiting requests whose shard the view gives to another
// target. Look-ups that still run here are broken off and run at the new
// owner: in a planned move they have ended before, so this target is frozen or
// lost and they would wait for their deadline.
func (l *targetState) wakeMoved(v *view) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.queue.RemoveWhere(func(e queue.Item[*job]) bool { return !l.owns(v, e.Value) })
	for _, w := range out {
		w.wake <- ownerMoved{}
	}
	for w, cancel := range l.cancelable {
		if !l.owns(v, w) {
			w.ownerMoved.Store(true)
			cancel()
		}
	}
}

// owns reports whether a view gives the request's key to the lane's target.
func (l *targetState) owns(v *view, w *job) bool {
	s := v.services[l.service]
	if s == nil {
		return false
	}
	_, o := s.find(w.hash)
	return o.target == l
}

// dropQueued drops all that waits: the entry host stops.
func (l *targetState) dropQueued(reason outcome.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.queue.RemoveWhere(func(queue.Item[*job]) bool { return true }) {
		w.wake <- dropped{outcome.NotRunFailure{Reason: reason, RetryAfter: time.Second}}
	}
}

func (l *targetState) close() {
	l.mu.Lock()
	l.closed = true
	for _, w := range l.queue.RemoveWhere(func(queue.Item[*job]) bool { return true }) {
		w.wake <- ownerMoved{}
	}
	l.mu.Unlock()
	l.pool.Close()
}
