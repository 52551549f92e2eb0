package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/shutdown"
)

// errStopping is the cause of a wait that ends because its request can no longer be answered
// before the end of a stop.
var errStopping = errors.New("host: stopping")

// stops bounds the waits of requests that have not been sent by the graceful stops that
// concern them: that of this host, and that of the host that passed the request on. Each
// wait of a job, whatever it waits for, ends with the context that join returns. Safe for
// concurrent use.
type stops struct {
	self  place.Host
	log   *slog.Logger
	times *shutdown.WorkTimes

	mu        sync.Mutex
	schedules map[place.Host]*shutdown.Schedule
	// waits holds the end of the wait of each job in progress.
	waits map[*job]*stopWait
}

// stopWait is the wait of a job, which the timer ends once a stop concerns it.
type stopWait struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newStops(self place.Host, log *slog.Logger) *stops {
	return &stops{
		self: self, log: log, times: shutdown.NewWorkTimes(),
		schedules: make(map[place.Host]*shutdown.Schedule), waits: make(map[*job]*stopWait),
	}
}

// begin records that a host stops, and bounds the waits of its requests.
func (s *stops) begin(now time.Time, host place.Host, schedule *shutdown.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedules[host] = schedule
	bounded := 0
	for j, w := range s.waits {
		if s.bound(now, j, w) {
			bounded++
		}
	}
	if bounded > 0 {
		s.log.Info("Requests bounded by a stop.", slog.String("host", string(host)), slog.Int("requests", bounded))
	}
}

// end records that another host has started again.
func (s *stops) end(host place.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host != s.self {
		delete(s.schedules, host)
	}
}

// own returns the stop of this host, nil if it does not stop.
func (s *stops) own() *shutdown.Schedule {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedules[s.self]
}

// join returns a context for the waits of a job, and a function to call at the job's end. It
// ends with ctx, and with errStopping as its cause when the job may no longer be sent.
func (s *stops) join(ctx context.Context, now time.Time, j *job) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stopWait{cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits[j] = w
	if len(s.schedules) > 0 {
		s.bound(now, j, w)
	}
	return ctx, func() { s.leave(j, w) }
}

func (s *stops) leave(j *job, w *stopWait) {
	s.mu.Lock()
	delete(s.waits, j)
	timer := w.timer
	s.mu.Unlock()
	if timer != nil {
		timer.Stop()
	}
	w.cancel(nil)
}

// bound ends the wait of a job when it may no longer be sent, and reports whether a stop
// concerns it. The caller holds mu.
func (s *stops) bound(now time.Time, j *job, w *stopWait) bool {
	until := s.sendUntil(now, j)
	if until.IsZero() {
		return false
	}
	if !now.Before(until) {
		w.cancel(errStopping)
		return true
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(until.Sub(now), func() { w.cancel(errStopping) })
	return true
}

// until returns when a job may be sent for the last time, zero if no stop concerns it.
func (s *stops) until(now time.Time, j *job) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendUntil(now, j)
}

// sendUntil is until for a caller that holds mu.
func (s *stops) sendUntil(now time.Time, j *job) time.Time {
	if len(s.schedules) == 0 {
		return time.Time{}
	}
	var until time.Time
	work := s.times.Longest(j.route.Name)
	for _, host := range []place.Host{s.self, j.from} {
		schedule := s.schedules[host]
		if schedule != nil && schedule.Over(now) {
			delete(s.schedules, host)
			continue
		}
		if at, bounded := schedule.SendUntil(j.deadline, work); bounded && (until.IsZero() || at.Before(until)) {
			until = at
		}
	}
	return until
}

// shortens reports whether a job must end before its deadline because this host stops.
func (s *stops) shortens(j *job) bool {
	own := s.own()
	return own != nil && own.ResponseEnd().Before(j.deadline)
}

// timeouts returns the times to the deadline and the soft deadline of a job, or to the end of this
// host's stop.
func (s *stops) timeouts(now time.Time, j *job) (timeout, softTimeout time.Duration) {
	timeout, softTimeout = j.deadline.Sub(now), j.softDeadline.Sub(now)
	if !s.shortens(j) {
		return timeout, softTimeout
	}
	stopTimeout, stopSoftTimeout := dispatch.TimeoutsFor(s.own().ResponseEnd().Sub(now))
	return min(timeout, stopTimeout), min(softTimeout, stopSoftTimeout)
}

// cutShort returns the step for a job whose wait ended before its time: its client has
// disconnected, or a host stops.
func (j *job) cutShort(wait context.Context) finishStep {
	if !errors.Is(context.Cause(wait), errStopping) {
		return finishStep{outcome.NotRunFailure{Reason: outcome.CallerGone}}
	}
	return j.stopped()
}

// stopped ends a job that can't be answered before the end of a stop. If this host got it from
// another one, that one serves it in another way.
func (j *job) stopped() finishStep {
	reason := outcome.Stopping
	if j.relayed && j.host.stopping.Load() {
		reason = reasonNoPath
	}
	return finishStep{outcome.NotRunFailure{Reason: reason, RetryAfter: stoppingRetryAfter}}
}

// waitsBeyondStop reports whether a job that can't be sent before the given time is then
// no longer sent because of a stop.
func (j *job) waitsBeyondStop(now, earliest time.Time) bool {
	until := j.host.stops.until(now, j)
	return !until.IsZero() && earliest.After(until)
}
