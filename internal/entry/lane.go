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
	// downFirst and downMost bound the pause before the next try of a target
	// that took no connection.
	downFirst = 20 * time.Millisecond
	downMost  = time.Second
	// busyPause is the first pause of a lane after a refusal for want of a
	// slot. Each refusal in a row doubles it, up to busyDoublings times and to
	// half of the target's service time: a slot frees no sooner.
	busyPause     = 2 * time.Millisecond
	busyDoublings = 5
	// contention is how long after the last wait for a slot requests go to the
	// target's home.
	contention = 100 * time.Millisecond
	// waitMargin is what the estimate of a wait is multiplied by before a
	// request is taken in, in percent: queues do not run evenly.
	waitMargin = 130
	// reserveTime is how long after the newest interactive request a slot is
	// kept free of bulk work.
	reserveTime = time.Second
	// firstEstimate is the service time assumed before the first answer.
	firstEstimate = 2 * time.Millisecond
)

// lane is the work of this entry host for one target: its queue, its free
// slots, its connections and what results tell of its health.
type lane struct {
	entry   *Entry
	service key.Service
	target  place.Target
	zone    place.Zone
	addr    string
	pool    *forward.Pool
	// homes are the entry hosts that hold the target's queue, best first.
	homes atomic.Pointer[[]place.HostRow]

	mu      sync.Mutex
	queue   *queue.Queue[*work]
	limiter limiter
	since   time.Time
	warmUp  time.Duration
	running int
	// bulk is how many of them are of the bulk class; interactive is when
	// the newest request of that class came.
	bulk        int
	interactive time.Time
	serving     serviceTime
	served      backlogPace
	// busy counts the refusals in a row for want of a slot.
	busy int
	// looks are the look-ups that run, with what breaks each off.
	looks map[*work]context.CancelFunc
	meter *meter
	// down counts failed connects in a row; until resume nothing is sent.
	down   int
	resume time.Time
	timer  *time.Timer
	closed bool
	// contendedUntil is how long requests go to the target's home.
	contendedUntil time.Time
}

// event is what a waiting request hears from its lane.
type event interface{ event() }

// granted: the request holds a slot. moved: its shard has another owner.
// dropped: it left the queue and did not run. contended: there is no free slot
// for a request that does not queue here.
type (
	granted struct{}
	moved   struct{}
	dropped struct{ failure outcome.NotRunFailure }

	contended struct{}
)

func (granted) event()   {}
func (moved) event()     {}
func (dropped) event()   {}
func (contended) event() {}

func newLane(e *Entry, zone place.Zone, row *table.Target, cfg *settings.Service) *lane {
	limit := max(cfg.Connections/max(e.cfg.Hosts, 1), cfg.Slots, 1)
	l := &lane{
		meter:   newMeter(),
		entry:   e,
		service: cfg.Name,
		target:  row.Name,
		zone:    zone,
		addr:    row.Addr.String(),
		queue:   queue.New[*work](e.cfg.Queue),
		looks:   make(map[*work]context.CancelFunc),
		limiter: newLimiter(max(cfg.Slots, 1)),
		serving: serviceTime{mean: firstEstimate},
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
func (l *lane) configure(row *table.Target, cfg *settings.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since, l.warmUp = row.WarmupStart, cfg.WarmUp
	if l.limiter.slots != cfg.Slots && cfg.Slots > 0 {
		l.limiter = newLimiter(cfg.Slots)
	}
}

// run warms the connections of a new lane: a new one costs a millisecond.
func (l *lane) run(ctx context.Context, now time.Time) {
	if err := l.pool.Warm(ctx, now); err != nil {
		l.entry.log.Debug("Target takes no connection.", "target", string(l.target), "error", err)
	}
}

// enter gives the request a slot, or queues it, or drops it.
func (l *lane) enter(now time.Time, w *work) event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return moved{}
	}
	if w.class == settings.Interactive {
		l.interactive = now
	}
	if l.queue.Len() == 0 && l.mayStart(now) && w.class != l.barred(now) {
		l.occupy(w)
		return granted{}
	}
	if w.direct {
		l.contendedUntil = now.Add(contention)
		return contended{}
	}
	e := queue.Entry[*work]{Caller: w.caller, Class: w.class, Deadline: w.deadline, Value: w}
	if w.returned {
		w.ticket = l.queue.Return(e)
		l.start(now)
		return nil
	}
	ticket, verdict, out, pushed := l.queue.Push(now.Add(l.serving.most()), e, l.pace()*waitMargin/100)
	if verdict != queue.Queued {
		return dropped{l.overload()}
	}
	if pushed {
		out.wake <- dropped{l.overload()}
	}
	w.ticket = ticket
	l.start(now)
	return nil
}

// free reports whether requests may try the target without its home.
func (l *lane) free(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.After(l.contendedUntil)
}

// contend sends requests to the target's home for a while.
func (l *lane) contend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contendedUntil = now.Add(contention)
}

// overload tells the caller when the queue as it is will be worked off.
func (l *lane) overload() outcome.NotRunFailure {
	wait := time.Duration(l.queue.Len()+1) * l.pace()
	return outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: max(wait, time.Second)}
}

// pace returns the mean time between two requests served. Other entry hosts use
// the target's slots as well, so while requests wait it is what was seen.
func (l *lane) pace() time.Duration {
	alone := l.serving.mean / time.Duration(max(int(l.limiter.limit), 1))
	return max(alone, l.served.between())
}

func (l *lane) mayStart(now time.Time) bool {
	if now.Before(l.resume) {
		return false
	}
	if l.down > 0 {
		return l.running == 0
	}
	return l.running < l.limiter.allowed(now, l.since, l.warmUp)
}

// barred returns the class that may not start now: bulk work leaves one slot
// free while interactive requests come, since each would wait for a whole run
// of bulk work otherwise.
func (l *lane) barred(now time.Time) settings.Class {
	slots := l.limiter.allowed(now, l.since, l.warmUp)
	if slots > 1 && l.bulk >= slots-1 && now.Sub(l.interactive) < reserveTime {
		return settings.Bulk
	}
	return ""
}

// occupy counts a request that starts.
func (l *lane) occupy(w *work) {
	l.running++
	if w.class == settings.Bulk {
		l.bulk++
	}
}

// start hands free slots to waiting requests.
func (l *lane) start(now time.Time) {
	for l.queue.Len() > 0 && l.mayStart(now) {
		// A request that has not the time to be served any more would run
		// in vain and end as unknown.
		e, ok := l.queue.Pop(now.Add(l.serving.most()), l.barred(now))
		if !ok {
			break
		}
		l.occupy(e.Value)
		e.Value.wake <- granted{}
	}
	l.schedule(now)
}

// schedule sets the timer where waiting work depends on the passing of time.
func (l *lane) schedule(now time.Time) {
	if l.queue.Len() == 0 || !now.Before(l.resume) {
		return
	}
	wait := l.resume.Sub(now)
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.loop)
		return
	}
	l.timer.Reset(wait)
}

// loop is one turn of the lane's timer.
func (l *lane) loop() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
}

// leave takes a request out of the queue; it reports false where the request
// was handed an event before.
func (l *lane) leave(w *work) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Remove(w.ticket)
}

// release gives back a slot and draws the conclusions from the result.
func (l *lane) release(now time.Time, w *work, took time.Duration, r forward.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if w.class == settings.Bulk {
		l.bulk--
	}
	switch r := r.(type) {
	case forward.Completed:
		l.meter.ended(now, took, false)
		l.succeed(now, took)
	case forward.Refused:
		l.down = 0
		if r.Refusal == refusalBusy {
			l.yield(now)
		}
	case forward.NotSent:
		if !errors.Is(r.Err, context.Canceled) && !errors.Is(r.Err, forward.ErrFull) {
			l.fail(now)
		}
	}
	l.start(now)
}

func (l *lane) succeed(now time.Time, took time.Duration) {
	l.down, l.busy = 0, 0
	l.served.add(now, l.queue.Len() > 0)
	l.limiter.raise()
	l.serving.add(took)
}

// yield makes way for others that use the target's slots. A home keeps its
// limit: those that go past it are few.
func (l *lane) yield(now time.Time) {
	if l.entry.cfg.Sharing == ShareAdaptive {
		l.limiter.lower()
	}
	most := max(l.serving.mean/2, busyPause)
	l.pause(now, min(busyPause<<min(l.busy, busyDoublings), most))
	l.busy++
}

// fail backs off from a target that takes no connection: one request tries
// it at a time, however many wait.
func (l *lane) fail(now time.Time) {
	l.down++
	l.pause(now, min(downFirst<<min(l.down-1, 10), downMost))
}

// pause lets nothing start for about d, spread so that entry hosts do not
// come back together.
func (l *lane) pause(now time.Time, d time.Duration) {
	l.resume = now.Add(d/2 + rand.N(d))
}

// tick drops what waited past its deadline and starts what may start.
func (l *lane) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.queue.Expire(now.Add(l.serving.most())) {
		w.wake <- dropped{outcome.NotRunFailure{Reason: outcome.Deadline, RetryAfter: time.Second}}
	}
	l.start(now)
}

// track notes a look-up that runs; untrack forgets it.
func (l *lane) track(w *work, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looks[w] = cancel
}

func (l *lane) untrack(w *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.looks, w)
}

// wakeMoved wakes the waiting requests whose shard the view gives to another
// target. Look-ups that still run here are broken off and run at the new
// owner: in a planned move they have ended before, so this target is frozen or
// lost and they would wait for their deadline.
func (l *lane) wakeMoved(v *view) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.queue.RemoveWhere(func(e queue.Entry[*work]) bool { return !l.owns(v, e.Value) })
	for _, w := range out {
		w.wake <- moved{}
	}
	for w, cancel := range l.looks {
		if !l.owns(v, w) {
			w.moved.Store(true)
			cancel()
		}
	}
}

// owns reports whether a view gives the request's key to the lane's target.
func (l *lane) owns(v *view, w *work) bool {
	s := v.services[l.service]
	if s == nil {
		return false
	}
	_, o := s.find(w.hash)
	return o.lane == l
}

// clear drops all that waits: the entry host stops.
func (l *lane) clear(reason outcome.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.queue.RemoveWhere(func(queue.Entry[*work]) bool { return true }) {
		w.wake <- dropped{outcome.NotRunFailure{Reason: reason, RetryAfter: time.Second}}
	}
}

func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	for _, w := range l.queue.RemoveWhere(func(queue.Entry[*work]) bool { return true }) {
		w.wake <- moved{}
	}
	l.mu.Unlock()
	l.pool.Close()
}
