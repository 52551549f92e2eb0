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
	// reportFrom is how long a ticket is in use before it is reported: most have
	// been given back by then, and a report that says nothing new wakes two hosts.
	reportFrom = 300 * time.Millisecond
	// askAgain is when an ask that nobody answered is sent again: a few times
	// the way between two zones and a turn of a busy processor.
	askAgain = 25 * time.Millisecond
	// homeLost is how long a home may leave an ask unanswered before the next
	// host in the pool's order is asked.
	homeLost = 80 * time.Millisecond
	// pingInterval is the time between two pings of a host that did not
	// answer; it is left out until it does.
	pingInterval = 200 * time.Millisecond
	// forgetSuspect is how long a host is left out that is never heard again.
	forgetSuspect = 10 * time.Second
	// leaveTime is how long a host that stops is no home; it ends sooner, and
	// starts again with another life.
	leaveTime = 5 * time.Second
	// askAlive is the time between two asks of one that waits in a queue, so
	// that a home that restarted learns of it.
	askAlive = 200 * time.Millisecond
	// maxReported is how many tickets one report lists: with names of 20
	// bytes, it fits a datagram.
	maxReported = 16
)

// Homes ranks the hosts that may be the home of a pool, best first. The list
// is never empty: it ends with the asking host itself.
type Homes interface {
	Ranked(pool PoolID) []place.Host
}

// Delivery is a message to a host.
type Delivery struct {
	To      place.Host
	Message Message
}

// Verdict is the end of an ask, Placed or Refused, with the home that gave it.
type Verdict struct {
	ID      TicketID
	Message Message
	Home    place.Host
	// Alone tells that no other host could be asked: this one may be cut off
	// from where the targets are.
	Alone bool
}

// Client asks homes for tickets on behalf of one host. It is not safe for
// concurrent use.
type Client struct {
	homes    Homes
	next     TicketID
	asks     map[TicketID]*asking
	held     map[TicketID]*holding
	suspects map[place.Host]*suspect
	reported time.Time
	told     map[place.Host]struct{} // homes that have tickets in use by the last report
	out      []Delivery
	verdicts []Verdict
}

// suspect is a host that left an ask unanswered, or that stops.
type suspect struct {
	since, pinged time.Time
	leaving       bool
}

// asking is an ask without an end yet.
type asking struct {
	Ask

	home place.Host
	// deadline is Left as a time; aimAt is Aim.
	deadline time.Time
	aimAt    time.Time
	sent     time.Time // last time
	first    time.Time // first time to this home without an answer since
	answered bool
}

// holding is a ticket in use.
type holding struct {
	Held

	home  place.Host
	since time.Time
}

// NewClient returns a client without tickets.
func NewClient(homes Homes) *Client {
	return &Client{
		homes:    homes,
		asks:     make(map[TicketID]*asking),
		held:     make(map[TicketID]*holding),
		suspects: make(map[place.Host]*suspect),
		told:     make(map[place.Host]struct{}),
	}
}

// Ask starts an ask and returns its id; its end comes as a Verdict.
func (c *Client) Ask(now time.Time, a Ask) TicketID {
	c.next++
	a.ID = c.next
	q := &asking{Ask: a, deadline: now.Add(a.Left), aimAt: now.Add(a.Aim)}
	c.asks[a.ID] = q
	c.sendAsk(now, q)
	return a.ID
}

// sendAsk sends an ask to the first host in the pool's order that answers.
func (c *Client) sendAsk(now time.Time, q *asking) {
	home, alone := c.home(q.Pool)
	if home != q.home {
		if q.home != "" {
			c.deliver(q.home, Cancel{ID: q.ID, Pool: q.Pool})
		}
		q.home, q.first, q.answered = home, now, false
	}
	q.sent, q.Alone = now, alone
	a := q.Ask
	a.Left, a.Aim = q.deadline.Sub(now), q.aimAt.Sub(now)
	c.deliver(q.home, a)
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

// Hear takes a home's message.
func (c *Client) Hear(now time.Time, from place.Host, m Message) {
	if s := c.suspects[from]; s != nil && !s.leaving {
		delete(c.suspects, from)
	}
	switch m := m.(type) {
	case Placed:
		c.place(now, from, m)
	case Queued:
		if q := c.asks[m.ID]; q != nil && q.home == from {
			q.answered, q.first = true, now
		}
	case Refused:
		if q := c.asks[m.ID]; q != nil && q.home == from {
			delete(c.asks, m.ID)
			c.verdicts = append(c.verdicts, Verdict{m.ID, m, from, q.Alone})
		}
	case Leave:
		c.suspects[from] = &suspect{since: now, leaving: true}
		c.reported = time.Time{} // its tickets go to the next home at once
	case Ask, Done, Drain, Cancel, Report, Ping, Pong:
		// A Pong has said all by arriving; the others are for homes.
	}
}

func (c *Client) place(now time.Time, from place.Host, m Placed) {
	q := c.asks[m.ID]
	if q == nil || q.home != from {
		if h := c.held[m.ID]; h == nil || h.home != from {
			// An ask that was taken back, or has a ticket from elsewhere.
			c.deliver(from, Done{ID: m.ID, Target: m.Target, End: EndUnused})
		}
		return
	}
	delete(c.asks, m.ID)
	c.held[m.ID] = &holding{
		Held:  Held{ID: m.ID, Pool: q.Pool, Target: m.Target, Class: q.Class},
		home:  from,
		since: now,
	}
	c.verdicts = append(c.verdicts, Verdict{m.ID, m, from, q.Alone})
}

// Done gives a ticket back.
func (c *Client) Done(now time.Time, id TicketID, end End, took time.Duration) {
	h := c.held[id]
	if h == nil {
		return
	}
	delete(c.held, id)
	c.deliver(h.home, Done{ID: id, Pool: h.Pool, Target: h.Target, Class: h.Class, End: end, Took: took})
}

// Drain tells the home of a pool that a target there leaves.
func (c *Client) Drain(pool PoolID, name place.Target) {
	home, _ := c.home(pool)
	c.deliver(home, Drain{Pool: pool, Target: name})
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
	q := c.asks[id]
	if q == nil {
		return
	}
	delete(c.asks, id)
	c.deliver(q.home, Cancel{ID: id, Pool: q.Pool})
}

// Tick sends asks again and reports what is in use.
func (c *Client) Tick(now time.Time) {
	for _, q := range c.asks {
		switch {
		case !q.answered && now.Sub(q.first) >= homeLost:
			if c.suspects[q.home] == nil {
				c.suspects[q.home] = &suspect{since: now, pinged: now}
			}
			c.sendAsk(now, q)
		case !q.answered && now.Sub(q.sent) >= askAgain, q.answered && now.Sub(q.sent) >= askAlive:
			if q.answered {
				q.answered, q.first = false, now
			}
			c.sendAsk(now, q)
		}
	}
	for host, s := range c.suspects {
		switch {
		case now.Sub(s.since) > forgetSuspect, s.leaving && now.Sub(s.since) > leaveTime:
			delete(c.suspects, host)
		case !s.leaving && now.Sub(s.pinged) >= pingInterval:
			s.pinged = now
			c.deliver(host, Ping{})
		}
	}
	if now.Sub(c.reported) >= ReportInterval {
		c.reported = now
		c.report(now)
	}
}

// report tells each home which tickets have been in use there for a while. One
// whose home changed moves to the new one.
func (c *Client) report(now time.Time) {
	lists := make(map[place.Host][]Held)
	for home := range c.told {
		lists[home] = nil // once more, now empty
	}
	for _, h := range c.held {
		if now.Sub(h.since) < reportFrom {
			continue
		}
		if home, _ := c.home(h.Pool); home != h.home {
			c.deliver(h.home, Done{ID: h.ID, Pool: h.Pool, Target: h.Target, Class: h.Class, End: EndUnused})
			h.home = home
		}
		held := h.Held
		held.Since = now.Sub(h.since)
		lists[h.home] = append(lists[h.home], held)
	}
	clear(c.told)
	for home, list := range lists {
		if len(list) > 0 {
			c.told[home] = struct{}{}
		}
		c.reportTo(home, list)
	}
}

// reportTo sends a list in parts that fit a datagram.
func (c *Client) reportTo(home place.Host, list []Held) {
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.ID, b.ID) })
	first := TicketID(0)
	for len(list) > maxReported {
		part := list[:maxReported]
		last := part[len(part)-1].ID
		c.deliver(home, Report{First: first, Last: last, Held: part})
		first, list = last+1, list[maxReported:]
	}
	c.deliver(home, Report{First: first, Last: c.next, Held: list})
}

// Next returns when Tick has something to do again, if nothing else happens;
// zero for never.
func (c *Client) Next() time.Time {
	var next time.Time
	report := c.reported.Add(ReportInterval)
	if len(c.told) > 0 {
		next = report
	}
	for _, h := range c.held {
		due := h.since.Add(reportFrom)
		if due.Before(report) {
			due = report
		}
		next = sooner(next, due)
	}
	for _, q := range c.asks {
		if q.answered {
			next = sooner(next, q.sent.Add(askAlive))
			continue
		}
		next = sooner(next, sooner(q.sent.Add(askAgain), q.first.Add(homeLost)))
	}
	for _, s := range c.suspects {
		if !s.leaving {
			next = sooner(next, s.pinged.Add(pingInterval))
		}
	}
	return next
}

// sooner returns the earlier of two times; a zero one stands for never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Client) deliver(to place.Host, m Message) { c.out = append(c.out, Delivery{to, m}) }

// Flush returns what is to be sent and what has ended since the last call.
func (c *Client) Flush() ([]Delivery, []Verdict) {
	out, verdicts := c.out, c.verdicts
	c.out, c.verdicts = nil, nil
	return out, verdicts
}
