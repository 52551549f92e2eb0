package dispatch

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// ReportInterval is the time between two reports of a host to a home.
	ReportInterval = 400 * time.Millisecond
	// minReportAge is how long a ticket is in use before it is reported: most have
	// been given back by then, and a report that says nothing new wakes two hosts.
	minReportAge = 300 * time.Millisecond
	// resendInterval is when an ask that nobody answered is sent again: a few times
	// the way between two zones and a turn of a busy processor.
	resendInterval = 25 * time.Millisecond
	// homeTimeout is how long a home may leave an ask unanswered before the next
	// host in the pool's order is asked.
	homeTimeout = 80 * time.Millisecond
	// pingInterval is the time between two pings of a host that did not
	// answer; it is left out until it does.
	pingInterval = 200 * time.Millisecond
	// suspectExpiry is how long a host is left out that is never heard again.
	suspectExpiry = 10 * time.Second
	// leaveExpiry is how long a host that stops is no home; it ends sooner, and
	// starts again with another life.
	leaveExpiry = 5 * time.Second
	// queuedResendInterval is the time between two asks of one that waits in a queue, so
	// that a home that restarted learns of it.
	queuedResendInterval = 200 * time.Millisecond
	// maxReportTickets is how many tickets one report lists: with names of 20
	// bytes, it fits a datagram.
	maxReportTickets = 16
)

// Homes ranks the hosts that may be the home of a pool, best first. The list
// is never empty: it ends with the asking host itself.
type Homes interface {
	Ranked(pool PoolID) []place.Host
}

// HostMessage is a message to a host.
type HostMessage struct {
	To      place.Host
	Message Message
}

// Reply is the end of an ask, Placed or Refused, with the home that gave it.
type Reply struct {
	ID      TicketID
	Message Message
	Home    place.Host
	// Isolated tells that no other host could be asked: this one may be cut off
	// from where the targets are.
	Isolated bool
}

// Client asks homes for tickets on behalf of one host. It is not safe for
// concurrent use.
type Client struct {
	homes         Homes
	lastID        TicketID
	pending       map[TicketID]*pendingAcquire
	held          map[TicketID]*heldTicket
	suspects      map[place.Host]*suspect
	reportedAt    time.Time
	reportedHomes map[place.Host]struct{} // homes that have tickets in use by the last report
	outbox        []HostMessage
	replies       []Reply
}

// suspect is a host that left an ask unanswered, or that stops.
type suspect struct {
	since, pingedAt time.Time
	leaving         bool
}

// pendingAcquire is an ask without an end yet.
type pendingAcquire struct {
	Acquire

	home place.Host
	// deadline is Left as a time; aimAt is Aim.
	deadline        time.Time
	softDeadline    time.Time
	sentAt          time.Time // last time
	unansweredSince time.Time // first time to this home without an answer since
	answered        bool
}

// heldTicket is a ticket in use.
type heldTicket struct {
	Held

	home  place.Host
	since time.Time
}

// NewClient returns a client without tickets.
func NewClient(homes Homes) *Client {
	return &Client{
		homes:         homes,
		pending:       make(map[TicketID]*pendingAcquire),
		held:          make(map[TicketID]*heldTicket),
		suspects:      make(map[place.Host]*suspect),
		reportedHomes: make(map[place.Host]struct{}),
	}
}

// Acquire starts an ask and returns its id; its end comes as a Verdict.
func (c *Client) Acquire(now time.Time, a Acquire) TicketID {
	c.lastID++
	a.ID = c.lastID
	q := &pendingAcquire{Acquire: a, deadline: now.Add(a.Timeout), softDeadline: now.Add(a.SoftTimeout)}
	c.pending[a.ID] = q
	c.sendAcquire(now, q)
	return a.ID
}

// sendAcquire sends an ask to the first host in the pool's order that answers.
func (c *Client) sendAcquire(now time.Time, q *pendingAcquire) {
	home, alone := c.home(q.Pool)
	if home != q.home {
		if q.home != "" {
			c.send(q.home, Cancel{ID: q.ID, Pool: q.Pool})
		}
		q.home, q.unansweredSince, q.answered = home, now, false
	}
	q.sentAt, q.Isolated = now, alone
	a := q.Acquire
	a.Timeout, a.SoftTimeout = q.deadline.Sub(now), q.softDeadline.Sub(now)
	c.send(q.home, a)
}

// home returns the host to ask for a pool now, and whether it is only this
// host itself for want of another.
func (c *Client) home(pool PoolID) (host place.Host, alone bool) {
	ranked := c.homes.Ranked(pool)
	for i, host := range ranked {
		if c.suspects[host] == nil {
			return host, i > 0 && i == len(ranked)-1
		}
	}
	return ranked[len(ranked)-1], true
}

// Receive takes a home's message.
func (c *Client) Receive(now time.Time, from place.Host, m Message) {
	if s := c.suspects[from]; s != nil && !s.leaving {
		delete(c.suspects, from)
	}
	switch m := m.(type) {
	case Assigned:
		c.assign(now, from, m)
	case Queued:
		if q := c.pending[m.ID]; q != nil && q.home == from {
			q.answered, q.unansweredSince = true, now
		}
	case Refused:
		if q := c.pending[m.ID]; q != nil && q.home == from {
			delete(c.pending, m.ID)
			c.replies = append(c.replies, Reply{m.ID, m, from, q.Isolated})
		}
	case Leave:
		c.suspects[from] = &suspect{since: now, leaving: true}
		c.reportedAt = time.Time{} // its tickets go to the next home at once
	case Acquire, Done, Drain, Cancel, Report, Ping, Pong:
		// A Pong has said all by arriving; the others are for homes.
	}
}

func (c *Client) assign(now time.Time, from place.Host, m Assigned) {
	q := c.pending[m.ID]
	if q == nil || q.home != from {
		if h := c.held[m.ID]; h == nil || h.home != from {
			// An ask that was taken back, or has a ticket from elsewhere.
			c.send(from, Done{ID: m.ID, Target: m.Target, Result: ResultUnused})
		}
		return
	}
	delete(c.pending, m.ID)
	c.held[m.ID] = &heldTicket{
		Held:  Held{ID: m.ID, Pool: q.Pool, Target: m.Target, Class: q.Class},
		home:  from,
		since: now,
	}
	c.replies = append(c.replies, Reply{m.ID, m, from, q.Isolated})
}

// Done gives a ticket back.
func (c *Client) Done(now time.Time, id TicketID, end Result, took time.Duration) {
	h := c.held[id]
	if h == nil {
		return
	}
	delete(c.held, id)
	c.send(h.home, Done{ID: id, Pool: h.Pool, Target: h.Target, Class: h.Class, Result: end, Took: took})
}

// Drain tells the home of a pool that a target there leaves.
func (c *Client) Drain(pool PoolID, name place.Target) {
	home, _ := c.home(pool)
	c.send(home, Drain{Pool: pool, Target: name})
}

// Class returns the class of a ticket in use.
func (c *Client) Class(id TicketID) traffic.RouteName {
	if h := c.held[id]; h != nil {
		return h.Class
	}
	return ""
}

// Suspects reports whether a host leaves asks and pings unanswered.
func (c *Client) Suspects(host place.Host) bool {
	s := c.suspects[host]
	return s != nil && !s.leaving
}

// Started tells that a host has started again: it may be a home.
func (c *Client) Started(host place.Host) { delete(c.suspects, host) }

// Cancel takes an ask back that has no end yet.
func (c *Client) Cancel(id TicketID) {
	q := c.pending[id]
	if q == nil {
		return
	}
	delete(c.pending, id)
	c.send(q.home, Cancel{ID: id, Pool: q.Pool})
}

// Tick sends asks again and reports what is in use.
func (c *Client) Tick(now time.Time) {
	for _, q := range c.pending {
		switch {
		case !q.answered && now.Sub(q.unansweredSince) >= homeTimeout:
			if c.suspects[q.home] == nil {
				c.suspects[q.home] = &suspect{since: now, pingedAt: now}
			}
			c.sendAcquire(now, q)
		case !q.answered && now.Sub(q.sentAt) >= resendInterval, q.answered && now.Sub(q.sentAt) >= queuedResendInterval:
			if q.answered {
				q.answered, q.unansweredSince = false, now
			}
			c.sendAcquire(now, q)
		}
	}
	for host, s := range c.suspects {
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

// report tells each home which tickets have been in use there for a while. One
// whose home changed moves to the new one.
func (c *Client) report(now time.Time) {
	lists := make(map[place.Host][]Held)
	for home := range c.reportedHomes {
		lists[home] = nil // once more, now empty
	}
	for _, h := range c.held {
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
	for home, list := range lists {
		if len(list) > 0 {
			c.reportedHomes[home] = struct{}{}
		}
		c.reportTo(home, list)
	}
}

// reportTo sends a list in parts that fit a datagram.
func (c *Client) reportTo(home place.Host, list []Held) {
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.ID, b.ID) })
	first := TicketID(0)
	for len(list) > maxReportTickets {
		part := list[:maxReportTickets]
		last := part[len(part)-1].ID
		c.send(home, Report{First: first, Last: last, Held: part})
		first, list = last+1, list[maxReportTickets:]
	}
	c.send(home, Report{First: first, Last: c.lastID, Held: list})
}

// NextTick returns when Tick has something to do again, if nothing else happens;
// zero for never.
func (c *Client) NextTick() time.Time {
	var next time.Time
	report := c.reportedAt.Add(ReportInterval)
	if len(c.reportedHomes) > 0 {
		next = report
	}
	for _, h := range c.held {
		due := h.since.Add(minReportAge)
		if due.Before(report) {
			due = report
		}
		next = earlier(next, due)
	}
	for _, q := range c.pending {
		if q.answered {
			next = earlier(next, q.sentAt.Add(queuedResendInterval))
			continue
		}
		next = earlier(next, earlier(q.sentAt.Add(resendInterval), q.unansweredSince.Add(homeTimeout)))
	}
	for _, s := range c.suspects {
		if !s.leaving {
			next = earlier(next, s.pingedAt.Add(pingInterval))
		}
	}
	return next
}

// earlier returns the earlier of two times; a zero one stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Client) send(to place.Host, m Message) { c.outbox = append(c.outbox, HostMessage{to, m}) }

// Flush returns what is to be sent and what has ended since the last call.
func (c *Client) Flush() ([]HostMessage, []Reply) {
	out, verdicts := c.outbox, c.replies
	c.outbox, c.replies = nil, nil
	return out, verdicts
}
