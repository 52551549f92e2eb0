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
	dialTimeout = 500 * time.Millisecond
	// minConnectBackoff and maxConnectBackoff limit the exponential backoff after failed
	// connects to a target.
	minConnectBackoff = 20 * time.Millisecond
	maxConnectBackoff = time.Second
	// minBusyBackoff is the backoff after a target refused a request because it had no
	// free slot. Each further refusal in a row doubles it, up to maxBusyDoublings times
	// and up to half of the target's service time, before which no slot is expected to
	// become free.
	minBusyBackoff   = 2 * time.Millisecond
	maxBusyDoublings = 5
	// contentionTime is how long after a request found no free slot at the target
	// requests are relayed to the target's home.
	contentionTime = 100 * time.Millisecond
	// waitMarginPercent scales the estimated wait in the queue for admission control,
	// since queues do not advance evenly.
	waitMarginPercent = 130
	// interactiveReserveTime is how long after the last interactive request one slot is
	// reserved, so that bulk requests don't use it.
	interactiveReserveTime = time.Second
	// initialServiceTime is the estimate before the first response.
	initialServiceTime = 2 * time.Millisecond
)

// targetState is this entry host's state of one target: the queue, the concurrency limit,
// the connections, and estimates from past results.
type targetState struct {
	entry   *Entry
	service key.Service
	target  place.Target
	zone    place.Zone
	addr    string
	pool    *forward.Pool
	// homes are the candidates for the target's home, in order of preference.
	homes atomic.Pointer[[]place.HostRow]

	mu          sync.Mutex
	queue       *queue.Queue[*job]
	concurrency concurrencyLimit
	warmupStart time.Time
	warmUp      time.Duration
	inFlight    int
	// bulkInFlight is the number of bulk requests among inFlight.
	bulkInFlight int
	// lastInteractive is when the last interactive request arrived.
	lastInteractive time.Time
	serviceTime     serviceTime
	backlog         backlogInterval
	// busyRefusals counts the refusals in a row because the target had no free slot.
	busyRefusals int
	// cancelable holds the cancel functions of the idempotent requests in flight.
	cancelable map[*job]context.CancelFunc
	meter      *meter
	// connectFailures counts the failed connects since the target's last response.
	connectFailures int
	// pausedUntil is the end of the current backoff, until which no request starts.
	pausedUntil time.Time
	// timer starts queued requests at pausedUntil.
	timer  *time.Timer
	closed bool
	// contendedUntil is until when requests are relayed to the target's home.
	contendedUntil time.Time
}

// slotEvent is the result of waiting for a slot.
type slotEvent interface{ event() }

// assigned: the request holds a slot. ownerMoved: its key has another owner. dropped: the
// request left the queue or was not queued, and ends as not run. contended: no slot is
// free, and the request must not queue on this host.
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
	maxOpen := max(cfg.Connections/max(e.cfg.Hosts, 1), cfg.Slots, 1)
	ts := &targetState{
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
	ts.pool = forward.New(forward.Config{
		Addr:        row.Addr,
		MaxOpen:     maxOpen,
		MinOpen:     max(cfg.Slots, 1),
		Dial:        e.cfg.Dial,
		DialTimeout: dialTimeout,
	})
	return ts
}

// configure applies the current routing table and settings.
func (ts *targetState) configure(row *table.Target, cfg *settings.Service) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.warmupStart, ts.warmUp = row.WarmupStart, cfg.WarmUp
	if ts.concurrency.slots != cfg.Slots && cfg.Slots > 0 {
		ts.concurrency = newConcurrencyLimit(cfg.Slots)
	}
}

// warmUpPool opens connections ahead of requests, since opening one takes about a
// millisecond.
func (ts *targetState) warmUpPool(ctx context.Context, now time.Time) {
	if err := ts.pool.Warm(ctx, now); err != nil {
		ts.entry.log.Debug("Connections to target not opened ahead.", "target", string(ts.target), "error", err)
	}
}

// acquire assigns a slot to the request, or queues it and returns nil, or returns why it
// did neither.
func (ts *targetState) acquire(now time.Time, j *job) slotEvent {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.closed {
		return ownerMoved{}
	}
	if j.class == settings.Interactive {
		ts.lastInteractive = now
	}
	if ts.queue.Len() == 0 && ts.mayStart(now) && j.class != ts.excludedClass(now) {
		ts.takeSlot(j)
		return assigned{}
	}
	if j.direct {
		ts.contendedUntil = now.Add(contentionTime)
		return contended{}
	}
	item := queue.Item[*job]{Caller: j.caller, Class: j.class, Deadline: j.deadline, Value: j}
	if j.requeue {
		j.queueHandle = ts.queue.Requeue(item)
		ts.startQueued(now)
		return nil
	}
	handle, result, evicted, hasEvicted := ts.queue.Push(now.Add(ts.serviceTime.upper()), item, ts.serveInterval()*waitMarginPercent/100)
	if result != queue.Queued {
		return dropped{ts.overloadFailure()}
	}
	if hasEvicted {
		evicted.wake <- dropped{ts.overloadFailure()}
	}
	j.queueHandle = handle
	ts.startQueued(now)
	return nil
}

// uncontended reports whether requests may be sent to the target without its home.
func (ts *targetState) uncontended(now time.Time) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return now.After(ts.contendedUntil)
}

// markContended has requests relayed to the target's home for contentionTime.
func (ts *targetState) markContended(now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.contendedUntil = now.Add(contentionTime)
}

// overloadFailure returns the failure of a refused request, with the time that the
// present queue takes as the retry delay.
func (ts *targetState) overloadFailure() outcome.NotRunFailure {
	wait := time.Duration(ts.queue.Len()+1) * ts.serveInterval()
	return outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: max(wait, time.Second)}
}

// serveInterval returns the mean time between two requests served. It is computed from
// this host's concurrency limit, but is at least the interval observed while requests
// wait, since other entry hosts use the target's slots too.
func (ts *targetState) serveInterval() time.Duration {
	unshared := ts.serviceTime.mean / time.Duration(max(int(ts.concurrency.limit), 1))
	return max(unshared, ts.backlog.estimate())
}

// mayStart reports whether a slot is free and no backoff is in progress. After a failed
// connect one request at a time may start.
func (ts *targetState) mayStart(now time.Time) bool {
	if now.Before(ts.pausedUntil) {
		return false
	}
	if ts.connectFailures > 0 {
		return ts.inFlight == 0
	}
	return ts.inFlight < ts.concurrency.current(now, ts.warmupStart, ts.warmUp)
}

// excludedClass returns the class that must not start now, if any. While interactive
// requests arrive, bulk requests leave one slot free; otherwise an interactive request
// would wait for a whole bulk request.
func (ts *targetState) excludedClass(now time.Time) settings.Class {
	slots := ts.concurrency.current(now, ts.warmupStart, ts.warmUp)
	if slots > 1 && ts.bulkInFlight >= slots-1 && now.Sub(ts.lastInteractive) < interactiveReserveTime {
		return settings.Bulk
	}
	return ""
}

// takeSlot counts a request as in flight.
func (ts *targetState) takeSlot(j *job) {
	ts.inFlight++
	if j.class == settings.Bulk {
		ts.bulkInFlight++
	}
}

// startQueued assigns free slots to queued requests.
func (ts *targetState) startQueued(now time.Time) {
	for ts.queue.Len() > 0 && ts.mayStart(now) {
		// A request that can't complete before its deadline would run in vain and end
		// with an unknown outcome.
		item, ok := ts.queue.Pop(now.Add(ts.serviceTime.upper()), ts.excludedClass(now))
		if !ok {
			break
		}
		ts.takeSlot(item.Value)
		item.Value.wake <- assigned{}
	}
	ts.armTimer(now)
}

// armTimer sets the timer to the end of the backoff if requests are queued.
func (ts *targetState) armTimer(now time.Time) {
	if ts.queue.Len() == 0 || !now.Before(ts.pausedUntil) {
		return
	}
	wait := ts.pausedUntil.Sub(now)
	if ts.timer == nil {
		ts.timer = time.AfterFunc(wait, ts.handleTimer)
		return
	}
	ts.timer.Reset(wait)
}

// handleTimer starts queued requests after a backoff.
func (ts *targetState) handleTimer() {
	now := time.Now()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.startQueued(now)
}

// dequeue removes a request from the queue. It returns false if the request has left the
// queue; then its event is in its wake channel.
func (ts *targetState) dequeue(j *job) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.queue.Remove(j.queueHandle)
}

// release returns a slot and updates the estimates and the backoff from the result.
func (ts *targetState) release(now time.Time, j *job, took time.Duration, r forward.Result) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.inFlight--
	if j.class == settings.Bulk {
		ts.bulkInFlight--
	}
	switch r := r.(type) {
	case forward.Completed:
		ts.meter.record(now, took, false)
		ts.recordCompleted(now, took)
	case forward.Refused:
		ts.connectFailures = 0
		if r.Refusal == refusalBusy {
			ts.backOffBusy(now)
		}
	case forward.NotSent:
		if !errors.Is(r.Err, context.Canceled) && !errors.Is(r.Err, forward.ErrFull) {
			ts.connectFailed(now)
		}
	}
	ts.startQueued(now)
}

// recordCompleted updates the estimates after a complete response.
func (ts *targetState) recordCompleted(now time.Time, took time.Duration) {
	ts.connectFailures, ts.busyRefusals = 0, 0
	ts.backlog.add(now, ts.queue.Len() > 0)
	ts.concurrency.increase()
	ts.serviceTime.add(took)
}

// backOffBusy backs off after the target had no free slot, since other entry hosts use
// its slots. Only ShareAdaptive lowers the concurrency limit; in the other modes few
// requests bypass the target's home.
func (ts *targetState) backOffBusy(now time.Time) {
	if ts.entry.cfg.Sharing == ShareAdaptive {
		ts.concurrency.decrease()
	}
	maxBackoff := max(ts.serviceTime.mean/2, minBusyBackoff)
	ts.pause(now, min(minBusyBackoff<<min(ts.busyRefusals, maxBusyDoublings), maxBackoff))
	ts.busyRefusals++
}

// connectFailed backs off after a failed connect. Until the target responds again, one
// request at a time is sent to it, however many are queued.
func (ts *targetState) connectFailed(now time.Time) {
	ts.connectFailures++
	ts.pause(now, min(minConnectBackoff<<min(ts.connectFailures-1, 10), maxConnectBackoff))
}

// pause starts no request for about d. The jitter keeps entry hosts from resuming at the
// same time.
func (ts *targetState) pause(now time.Time, d time.Duration) {
	ts.pausedUntil = now.Add(d/2 + rand.N(d))
}

// tick drops queued requests that would miss their deadline and starts others.
func (ts *targetState) tick(now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, j := range ts.queue.Expire(now.Add(ts.serviceTime.upper())) {
		j.wake <- dropped{outcome.NotRunFailure{Reason: outcome.Deadline, RetryAfter: time.Second}}
	}
	ts.startQueued(now)
}

// track registers an idempotent request in flight, which wakeMoved may cancel.
func (ts *targetState) track(j *job, cancel context.CancelFunc) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.cancelable[j] = cancel
}

// untrack removes a request that track registered.
func (ts *targetState) untrack(j *job) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	delete(ts.cancelable, j)
}

// wakeMoved wakes the queued requests whose key has another owner in the view. It also
// cancels the idempotent requests in flight for such keys, which then run at the new
// owner. In a planned move they complete before the shard moves; otherwise this target
// is frozen or lost, and they would wait until their deadline.
func (ts *targetState) wakeMoved(v *view) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	moved := ts.queue.RemoveWhere(func(item queue.Item[*job]) bool { return !ts.owns(v, item.Value) })
	for _, j := range moved {
		j.wake <- ownerMoved{}
	}
	for j, cancel := range ts.cancelable {
		if !ts.owns(v, j) {
			j.ownerMoved.Store(true)
			cancel()
		}
	}
}

// owns reports whether the target owns the request's key in the view.
func (ts *targetState) owns(v *view, j *job) bool {
	s := v.services[ts.service]
	if s == nil {
		return false
	}
	_, o := s.find(j.hash)
	return o.target == ts
}

// dropQueued drops all queued requests, when the entry host stops.
func (ts *targetState) dropQueued(reason outcome.Reason) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, j := range ts.queue.RemoveWhere(func(queue.Item[*job]) bool { return true }) {
		j.wake <- dropped{outcome.NotRunFailure{Reason: reason, RetryAfter: time.Second}}
	}
}

// close closes the connections and has queued requests look for their owner again.
func (ts *targetState) close() {
	ts.mu.Lock()
	ts.closed = true
	for _, j := range ts.queue.RemoveWhere(func(queue.Item[*job]) bool { return true }) {
		j.wake <- ownerMoved{}
	}
	ts.mu.Unlock()
	ts.pool.Close()
}
