// Package shutdown decides which requests a host that stops gracefully still sends to
// targets. A request that has not been sent when its response could no longer be written
// before the end of the stop is refused: another host can still serve it, whereas a request
// that is aborted has an unknown outcome.
package shutdown

import (
	"time"
)

const (
	// exitMargin is the part of the grace period reserved for the last responses and the
	// end of the process.
	exitMargin = 700 * time.Millisecond
	// flushMargin is the part of the grace period reserved for the end of the process alone.
	flushMargin = 200 * time.Millisecond
	// responseMargin is the time from the end of a target's work until the response is on
	// its way to the client.
	responseMargin = 150 * time.Millisecond
	// lateShare is the share of the grace period after which requests that may last longer
	// than the rest of it are refused. Until then the load balancer may still send clients
	// here.
	lateShare = 0.5
)

// Schedule is the course of the graceful stop of a host. A nil one stands for a host that
// does not stop.
type Schedule struct {
	start time.Time
	grace time.Duration
}

// New returns the schedule of a stop that begins now. The host is killed after grace.
func New(now time.Time, grace time.Duration) *Schedule { return &Schedule{now, grace} }

// End returns when the host aborts the requests in flight.
func (s *Schedule) End() time.Time { return s.start.Add(s.grace - exitMargin) }

// FlushEnd returns when the host closes the connections whose responses clients have not
// read yet.
func (s *Schedule) FlushEnd() time.Time { return s.start.Add(s.grace - flushMargin) }

// ResponseEnd returns when the last response must have arrived, so that it is sent before End.
func (s *Schedule) ResponseEnd() time.Time { return s.End().Add(-responseMargin) }

// SendUntil returns until when a request with the deadline, which takes as long as work, may
// be sent to a target. It returns false if the stop does not bound that, as the request ends
// before.
func (s *Schedule) SendUntil(deadline time.Time, work time.Duration) (time.Time, bool) {
	if s == nil || !deadline.After(s.End()) {
		return time.Time{}, false
	}
	return s.ResponseEnd().Add(-work), true
}

// Late reports whether a request with the deadline has come too late in the stop to be
// accepted.
func (s *Schedule) Late(now, deadline time.Time) bool {
	return s != nil && now.After(s.start.Add(time.Duration(lateShare*float64(s.grace)))) && deadline.After(s.End())
}

// Over reports whether the stop has ended.
func (s *Schedule) Over(now time.Time) bool { return now.After(s.start.Add(s.grace)) }
