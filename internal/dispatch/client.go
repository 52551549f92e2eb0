package dispatch

import (
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// ReportInterval is the time between two reports from a host to a home.
	ReportInterval = 400 * time.Millisecond
	// minReportAge is how long a ticket must be in use to be reported. Most are
	// released before, and a report without news wakes two hosts for nothing.
	minReportAge = 300 * time.Millisecond
	// resendInterval is the time after which an unanswered Acquire is sent again: a
	// few times the latency between two zones plus the scheduling delay of a busy
	// CPU.
	resendInterval = 25 * time.Millisecond
	// homeTimeout is how long an Acquire may be unanswered before its home is suspected
	// and the next host in the pool's ranking is tried.
	homeTimeout = 80 * time.Millisecond
	// pingInterval is the time between two pings of a suspected host. It is skipped as
	// a home until it replies.
	pingInterval = 200 * time.Millisecond
	// suspectExpiry is how long a host that never replies is suspected.
	suspectExpiry = 10 * time.Second
	// leaveExpiry is how long a host that sent a Leave is skipped as a home. It has
	// stopped before then, and starts again with another incarnation.
	leaveExpiry = 5 * time.Second
	// queuedResendInterval is the time after which a queued Acquire is sent again, so
	// that a home that restarted learns of it.
	queuedResendInterval = 200 * time.Millisecond
	// maxReportTickets bounds the tickets in one report so that it fits a datagram
	// with names of 20 bytes.
	maxReportTickets = 16
)

// Homes ranks the hosts that may be the home of a pool, best first. The list is never
// empty: the requesting host itself is the last one.
type Homes interface {
	Ranked(pool PoolID) []place.Host
}

// HostMessage is a message and the host that it is for.
type HostMessage struct {
	To      place.Host
	Message Message
}

// Reply is the final reply to an Acquire, Assigned or Refused, and the home that sent
// it.
type Reply struct {
	ID      TicketID
	Message Message
	Home    place.Host
	// Isolated is set if this host was its own home because it reached no other: a
	// network partition may separate it from the targets.
	Isolated bool
}

// Client acquires tickets from homes for one host. It is not safe for concurrent use.
type Client struct {
	homes         Homes
	lastID        TicketID
	pending       map[TicketID]*pendingAcquire
	held          map[TicketID]*heldTicket
	suspects      map[place.Host]*suspect
	reportedAt    time.Time
	reportedHomes map[place.Host]struct{} // homes whose last report was not empty
	limits        observedLimits
	outbox        []HostMessage
	replies       []Reply
	resent        []key.Service
}

// suspect is a host that did not reply in time, or that sent a Leave.
type suspect struct {
	since, pingedAt time.Time
	leaving         bool
}

// pendingAcquire is an Acquire without a final reply yet.
type pendingAcquire struct {
	Acquire

	home place.Host
	// deadline and softDeadline are Timeout and SoftTimeout as points in time.
	deadline        time.Time
	softDeadline    time.Time
	sentAt          time.Time // when it was last sent
	unansweredSince time.Time // when it was first sent to this home since its last reply
	answered        bool
}

// heldTicket is a ticket in use.
type heldTicket struct {
	Held

	home  place.Host
	since time.Time
}

// NewClient returns a client without tickets for an incarnation of a host, which is the
// nanosecond of its start. Tickets are numbered from there on, so that no two incarnations
// have one with the same number: a reply to an earlier incarnation may arrive at this one.
func NewClient(homes Homes, self place.Incarnation) *Client {
	return &Client{
		homes:         homes,
		lastID:        TicketID(self),
		pending:       make(map[TicketID]*pendingAcquire),
		held:          make(map[TicketID]*heldTicket),
		suspects:      make(map[place.Host]*suspect),
		reportedHomes: make(map[place.Host]struct{}),
		limits:        observedLimits{targets: make(map[place.Target]*observedLimit)},
	}
}

// Acquire requests a ticket and returns its id. Flush returns the final reply.
func (c *Client) Acquire(now time.Time, a Acquire) TicketID {
	c.lastID++
	a.ID = c.lastID
	p := &pendingAcquire{Acquire: a, deadline: now.Add(a.Timeout), softDeadline: now.Add(a.SoftTimeout)}
	c.pending[a.ID] = p
	c.sendAcquire(now, p)
	return a.ID
}

// sendAcquire sends an Acquire to the pool's current home, and cancels it at an
// earlier one.
func (c *Client) sendAcquire(now time.Time, p *pendingAcquire) {
	home, isolated := c.home(p.Pool)
	if home != p.home {
		if p.home != "" {
			c.send(p.home, Cancel{ID: p.ID, Pool: p.Pool})
		}
		p.home, p.unansweredSince, p.answered = home, now, false
	}
	p.sentAt, p.Isolated = now, isolated
	for _, m := range c.limits.unreported(now, p.Pool, home) {
		c.send(home, m)
	}
	a := p.Acquire
	a.Timeout, a.SoftTimeout = p.deadline.Sub(now), p.softDeadline.Sub(now)
	c.send(p.home, a)
}

func (c *Client) resendAcquire(now time.Time, p *pendingAcquire) {
	c.resent = append(c.resent, p.Pool.Service)
	c.sendAcquire(now, p)
}

// Shorten sends the pending Acquires whose deadlines lie after end again, so that their homes
// refuse the requests that they do not expect to end by then.
func (c *Client) Shorten(now, end time.Time) {
	timeout, softTimeout := TimeoutsFor(end.Sub(now))
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		p := c.pending[id]
		if !p.deadline.After(end) {
			continue
		}
		if at := now.Add(timeout); at.Before(p.deadline) {
			p.deadline = at
		}
		if at := now.Add(softTimeout); at.Before(p.softDeadline) {
			p.softDeadline = at
		}
		c.resendAcquire(now, p)
	}
}

// TimeoutsFor returns the Timeout and the SoftTimeout with which a home accepts the requests
// that it expects to end within d.
func TimeoutsFor(d time.Duration) (timeout, softTimeout time.Duration) {
	return time.Duration(float64(d) / deadlineMargin), time.Duration(float64(d) / softDeadlineMargin)
}

// Resent returns the service of each Acquire that was sent again since the last call.
func (c *Client) Resent() []key.Service {
	out := c.resent
	c.resent = nil
	return out
}

// home returns the current home of a pool: the first host in its ranking that is not
// suspected. isolated reports that it is this host only because all others are.
func (c *Client) home(pool PoolID) (host place.Host, isolated bool) {
	ranked := c.homes.Ranked(pool)
	for i, host := range ranked {
		if c.suspects[host] == nil {
			return host, i > 0 && i == len(ranked)-1
		}
	}
	return ranked[len(ranked)-1], true
}

// Receive handles a message from a home.
func (c *Client) Receive(now time.Time, from place.Host, m Message) {
	if s := c.suspects[from]; s != nil && !s.leaving {
		delete(c.suspects, from)
	}
	switch m := m.(type) {
	case Assigned:
		c.assign(now, from, m)
	case Queued:
		if p := c.pending[m.ID]; p != nil && p.home == from {
			p.answered, p.unansweredSince = true, now
		}
	case Refused:
		if p := c.pending[m.ID]; p != nil && p.home == from {
			delete(c.pending, m.ID)
			c.replies = append(c.replies, Reply{m.ID, m, from, p.Isolated})
		}
	case Leave:
		c.suspects[from] = &suspect{since: now, leaving: true}
		c.reportedAt = time.Time{} // report its tickets to the next home at once
	case Acquire, Done, Drain, Limited, Cancel, Report, Ping, Pong:
		// A Pong only ends the suspicion above. The others are for homes.
	}
}

func (c *Client) assign(now time.Time, from place.Host, m Assigned) {
	p := c.pending[m.ID]
	if p == nil || p.home != from {
		if h := c.held[m.ID]; h == nil || h.home != from {
			// The Acquire was canceled, or another home has replied.
			c.send(from, Done{ID: m.ID, Target: m.Target, Result: ResultUnused})
		}
		return
	}
	delete(c.pending, m.ID)
	c.held[m.ID] = &heldTicket{
		Held:  Held{ID: m.ID, Pool: p.Pool, Target: m.Target, Class: p.Class},
		home:  from,
		since: now,
	}
	c.replies = append(c.replies, Reply{m.ID, m, from, p.Isolated})
}

// Done releases a ticket. signal is the one in the response, empty if there was none.
func (c *Client) Done(now time.Time, id TicketID, result Result, took time.Duration, signal target.Signal) {
	h := c.held[id]
	if h == nil {
		return
	}
	delete(c.held, id)
	c.send(h.home, Done{
		ID: id, Pool: h.Pool, Target: h.Target, Class: h.Class, Result: result, Took: took,
		Limit: signal.Limit, Load: signal.Load, Warmup: signal.Warmup,
	})
	if t := c.limits.targets[h.Target]; t != nil {
		if _, ok := signal.Limit.(target.RateLimit); ok {
			t.reportedTo, t.reportedAt = h.home, now
		}
	}
}

// RecordLimit records what the response of a target of the pool states about its rate
// limit. The request was sent at sentAt. It reports whether that differs from what was
// known.
func (c *Client) RecordLimit(now, sentAt time.Time, pool PoolID, row place.TargetRow, l target.Limit) bool {
	return c.limits.record(now, sentAt, pool, row, l)
}

// KnowsLimits reports whether any target advertised a limit to this host.
func (c *Client) KnowsLimits() bool { return len(c.limits.targets) > 0 }

// PruneLimits removes the limits of targets that are no longer listed.
func (c *Client) PruneLimits(listed func(place.Target) bool) { c.limits.prune(listed) }

// Stopped reports whether a host sent a Leave.
func (c *Client) Stopped(host place.Host) bool {
	s := c.suspects[host]
	return s != nil && s.leaving
}

// Drain reports to the home of a pool that an incarnation of a target in it is leaving.
func (c *Client) Drain(pool PoolID, name place.Target, inc place.Incarnation) {
	home, _ := c.home(pool)
	c.send(home, Drain{Pool: pool, Target: name, Incarnation: inc})
}

// Class returns the class of a ticket in use.
func (c *Client) Class(id TicketID) traffic.RouteName {
	if h := c.held[id]; h != nil {
		return h.Class
	}
	return ""
}

// Suspects reports whether a host does not reply to Acquires and Pings.
func (c *Client) Suspects(host place.Host) bool {
	s := c.suspects[host]
	return s != nil && !s.leaving
}

// Started records that a host has started again, so that it may be a home.
func (c *Client) Started(host place.Host) {
	delete(c.suspects, host)
	for _, t := range c.limits.targets {
		if t.reportedTo == host {
			t.reportedTo = "" // the new incarnation does not know it
		}
	}
}

// Cancel withdraws an Acquire without a final reply.
func (c *Client) Cancel(id TicketID) {
	p := c.pending[id]
	if p == nil {
		return
	}
	delete(c.pending, id)
	c.send(p.home, Cancel{ID: id, Pool: p.Pool})
}

// Tick resends Acquires, pings suspects and reports tickets.
func (c *Client) Tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) { // the first one to time out decides on the home of the others
		p := c.pending[id]
		switch {
		case !p.answered && now.Sub(p.unansweredSince) >= homeTimeout:
			if c.suspects[p.home] == nil {
				c.suspects[p.home] = &suspect{since: now, pingedAt: now}
			}
			c.resendAcquire(now, p)
		case !p.answered && now.Sub(p.sentAt) >= resendInterval, p.answered && now.Sub(p.sentAt) >= queuedResendInterval:
			if p.answered {
				p.answered, p.unansweredSince = false, now
			}
			c.resendAcquire(now, p)
		}
	}
	for _, host := range slices.Sorted(maps.Keys(c.suspects)) {
		s := c.suspects[host]
		switch {
		case now.Sub(s.since) > suspectExpiry, s.leaving && now.Sub(s.since) > leaveExpiry:
			delete(c.suspects, host)
		case !s.leaving && now.Sub(s.pingedAt) >= pingInterval:
			s.pingedAt = now
			c.send(host, Ping{})
		}
	}
	if now.Sub(c.reportedAt) >= ReportInterval {
		c.reportedAt = now
		c.report(now)
	}
}

// report sends each home the tickets that have been in use for minReportAge. A ticket
// whose pool has another home now moves to that one.
func (c *Client) report(now time.Time) {
	lists := make(map[place.Host][]Held)
	for home := range c.reportedHomes {
		lists[home] = nil // a last, empty report if no ticket is left
	}
	for _, id := range slices.Sorted(maps.Keys(c.held)) {
		h := c.held[id]
		if now.Sub(h.since) < minReportAge {
			continue
		}
		if home, _ := c.home(h.Pool); home != h.home {
			c.send(h.home, Done{ID: h.ID, Pool: h.Pool, Target: h.Target, Class: h.Class, Result: ResultUnused})
			h.home = home
		}
		held := h.Held
		held.Since = now.Sub(h.since)
		lists[h.home] = append(lists[h.home], held)
	}
	clear(c.reportedHomes)
	for _, home := range slices.Sorted(maps.Keys(lists)) {
		if len(lists[home]) > 0 {
			c.reportedHomes[home] = struct{}{}
		}
		c.reportTo(home, lists[home])
	}
}

// reportTo sends a list, ordered by ID, in reports that fit a datagram.
func (c *Client) reportTo(home place.Host, list []Held) {
	first := TicketID(0)
	for len(list) > maxReportTickets {
		part := list[:maxReportTickets]
		last := part[len(part)-1].ID
		c.send(home, Report{First: first, Last: last, Held: part})
		first, list = last+1, list[maxReportTickets:]
	}
	c.send(home, Report{First: first, Last: c.lastID, Held: list})
}

// NextTick returns when Tick is due next if no message comes before, or zero for
// never.
func (c *Client) NextTick() time.Time {
	var next time.Time
	nextReport := c.reportedAt.Add(ReportInterval)
	if len(c.reportedHomes) > 0 {
		next = nextReport
	}
	for _, h := range c.held {
		due := h.since.Add(minReportAge)
		if due.Before(nextReport) {
			due = nextReport
		}
		next = earlier(next, due)
	}
	for _, p := range c.pending {
		if p.answered {
			next = earlier(next, p.sentAt.Add(queuedResendInterval))
			continue
		}
		next = earlier(next, earlier(p.sentAt.Add(resendInterval), p.unansweredSince.Add(homeTimeout)))
	}
	for _, s := range c.suspects {
		if !s.leaving {
			next = earlier(next, s.pingedAt.Add(pingInterval))
		}
	}
	return next
}

// earlier returns the earlier of two times. Zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Client) send(to place.Host, m Message) { c.outbox = append(c.outbox, HostMessage{to, m}) }

// Flush returns the messages to send and the final replies since the last call.
func (c *Client) Flush() ([]HostMessage, []Reply) {
	out, finished := c.outbox, c.replies
	c.outbox, c.replies = nil, nil
	return out, finished
}
