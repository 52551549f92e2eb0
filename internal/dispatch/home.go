package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// lostAfter is how long a host may go without a message before its tickets
	// count as given back; it reports those that are in use for long every
	// ReportInterval.
	lostAfter = 2*ReportInterval + ReportInterval/2
	// settleAfter is how long a ticket may be missing from its host's reports: they
	// list those that are in use for reportFrom, and the report may have left before
	// the ticket arrived.
	settleAfter = reportFrom + ReportInterval/2
	// unusedAfter is how long a pool without asks is kept.
	unusedAfter = 30 * time.Second
)

// Peer is one life of a host that asks.
type Peer struct {
	Host place.Host
	Life place.Incarnation
	Zone place.Zone
}

// Letter is a message to a peer.
type Letter struct {
	To      Peer
	Message Message
}

// Catalog tells which targets belong to a pool now.
type Catalog interface {
	Members(pool PoolID) []place.TargetRow
}

// Home holds the pools of one host. It is not safe for concurrent use.
type Home struct {
	catalog Catalog
	pools   map[PoolID]*pool
	waiting map[ticketKey]*pool
	tickets map[ticketKey]*ticket
	peers   map[place.Host]*caller
	out     []Letter
	denials []Denial
	// learned are the times of the classes of requests that this host sent
	// itself, whoever their home was: where a pool starts from.
	learned map[traffic.RouteName]*classTime
	cutoffs *cutoffs
}

// Denial is a refusal with what decided it.
type Denial struct {
	Pool       PoolID
	Host       place.Host
	ID         TicketID
	Reason     Reason
	RetryAfter time.Duration
	// Wait is how long the request waited here, End when it was expected to
	// end, Left what it had.
	Wait, End, Left time.Duration
	// Waiting is the queue at that moment, Open the targets that could be
	// tried, Pressure the share of free slots that requests on time wait for.
	Waiting, Open int
	Pressure      float64
	// Cold tells that its key was.
	Cold bool
}

// Denials returns the refusals since the last call.
func (h *Home) Denials() []Denial {
	out := h.denials
	h.denials = nil
	return out
}

// caller is what a home knows of a host that asks.
type caller struct {
	Peer

	heard time.Time
}

// NewHome returns a home without pools; they come with the first ask.
func NewHome(catalog Catalog) *Home {
	return &Home{
		catalog: catalog,
		pools:   make(map[PoolID]*pool),
		waiting: make(map[ticketKey]*pool),
		tickets: make(map[ticketKey]*ticket),
		peers:   make(map[place.Host]*caller),
		learned: make(map[traffic.RouteName]*classTime),
		cutoffs: newCutoffs(),
	}
}

// Learn notes how long a request of this host took at a target.
func (h *Home) Learn(class traffic.RouteName, took time.Duration) {
	c := h.learned[class]
	if c == nil {
		c = &classTime{}
		h.learned[class] = c
	}
	c.add(took)
}

// Handle takes a message of a peer and returns what to send.
func (h *Home) Handle(now time.Time, from Peer, m Message) []Letter {
	h.hear(now, from)
	switch m := m.(type) {
	case Ask:
		h.ask(now, from, m)
	case Done:
		h.done(now, from, m)
	case Cancel:
		h.cancel(from, m)
	case Drain:
		h.drain(now, m)
	case Report:
		h.report(now, from, m)
	case Ping:
		h.send(from, Pong{})
	case Placed, Queued, Refused, Pong, Leave:
		// These are a home's own words.
	}
	return h.flush()
}

// Refresh takes over changes of the catalog.
func (h *Home) Refresh(now time.Time) []Letter {
	for _, p := range h.pools {
		p.setTargets(now, h.catalog.Members(p.id))
		h.run(now, p)
	}
	return h.flush()
}

// Tick lets what depends on the passing of time happen.
func (h *Home) Tick(now time.Time) []Letter {
	for name, c := range h.peers {
		if now.Sub(c.heard) > lostAfter {
			h.lose(now, c)
			delete(h.peers, name)
		}
	}
	for id, p := range h.pools {
		h.run(now, p)
		if len(p.waiting) == 0 && now.Sub(p.used) > unusedAfter {
			delete(h.pools, id)
		}
	}
	return h.flush()
}

const (
	// queueTick is the time between two looks at queues in which somebody
	// waits: who can't be served in time is told that much later.
	queueTick = 20 * time.Millisecond
	// useTick is the same for slots in use, which hosts may have lost.
	useTick = lostAfter
)

// Next returns when Tick has something to do again, if nothing else happens;
// zero for never.
func (h *Home) Next(now time.Time) time.Time {
	switch {
	case len(h.waiting) > 0:
		return now.Add(queueTick)
	case len(h.tickets) > 0:
		return now.Add(useTick)
	}
	return time.Time{}
}

func (h *Home) flush() []Letter {
	out := h.out
	h.out = nil
	return out
}

func (h *Home) send(to Peer, m Message) { h.out = append(h.out, Letter{to, m}) }

// hear notes a sign of life. Tickets of a host's earlier life are given back.
func (h *Home) hear(now time.Time, from Peer) {
	c := h.peers[from.Host]
	if c != nil && c.Life != from.Life {
		h.lose(now, c)
		c = nil
	}
	if c == nil {
		c = &caller{Peer: from}
		h.peers[from.Host] = c
	}
	c.heard = now
}

// lose gives back all tickets of a host, drops its asks and forgets its
// connections.
func (h *Home) lose(now time.Time, c *caller) {
	touched := make(map[*pool]bool)
	for key, t := range h.tickets {
		if key.host == c.Host && key.life == c.Life {
			touched[h.free(now, t, EndUnused, 0)] = true
		}
	}
	for key, p := range h.waiting {
		if key.host == c.Host && key.life == c.Life {
			h.drop(key, p)
		}
	}
	for _, p := range h.pools {
		delete(p.visits, c.Host)
	}
	for p := range touched {
		h.run(now, p)
	}
}

func (h *Home) pool(now time.Time, id PoolID) *pool {
	p := h.pools[id]
	if p == nil {
		p = newPool(id, h.learned, h.cutoffs)
		h.pools[id] = p
		p.setTargets(now, h.catalog.Members(id))
	}
	p.used = now
	return p
}

func (h *Home) ask(now time.Time, from Peer, a Ask) {
	key := ticketKey{from.Host, from.Life, a.ID}
	if t, ok := h.tickets[key]; ok {
		// The answer to the first ask was lost.
		h.send(from, Placed{ID: a.ID, Target: t.lane.Target, Addr: t.lane.Addr})
		return
	}
	if _, ok := h.waiting[key]; ok {
		h.send(from, Queued{ID: a.ID})
		return
	}
	p := h.pool(now, a.Pool)
	if a.Alone {
		p.aloneAt = now
	} else {
		p.sharedAt = now
	}
	if !a.Cold {
		p.askedWarm = now
	}
	p.waiting = append(p.waiting, &waiter{
		Ask: a, key: key, zone: from.Zone, arrived: now,
		deadline: now.Add(a.Left), aimAt: now.Add(a.Aim),
	})
	h.waiting[key] = p
	h.run(now, p)
	if _, ok := h.waiting[key]; ok {
		h.send(from, Queued{ID: a.ID})
	}
}

// run starts and dismisses what the pool's queue says.
func (h *Home) run(now time.Time, p *pool) {
	starts, out := p.schedule(now)
	for _, s := range starts {
		t := p.occupy(now, s)
		delete(h.waiting, t.key)
		h.tickets[t.key] = t
		h.send(h.peerOf(t.key), Placed{ID: t.key.id, Target: s.lane.Target, Addr: s.lane.Addr})
	}
	for _, d := range out {
		delete(h.waiting, d.waiter.key)
		h.denials = append(h.denials, Denial{
			Pool: p.id, Host: d.waiter.key.host, ID: d.waiter.ID, Reason: d.reason, RetryAfter: d.retryAfter,
			Wait: now.Sub(d.waiter.arrived), End: d.end, Left: d.waiter.deadline.Sub(now),
			Waiting: len(p.waiting), Open: d.open, Pressure: p.pressure, Cold: d.waiter.Cold,
		})
		h.send(h.peerOf(d.waiter.key), Refused{ID: d.waiter.ID, RetryAfter: d.retryAfter, Reason: d.reason})
	}
}

func (h *Home) peerOf(key ticketKey) Peer {
	if c := h.peers[key.host]; c != nil && c.Life == key.life {
		return c.Peer
	}
	return Peer{Host: key.host, Life: key.life}
}

func (h *Home) done(now time.Time, from Peer, d Done) {
	t, ok := h.tickets[ticketKey{from.Host, from.Life, d.ID}]
	if !ok {
		return
	}
	h.run(now, h.free(now, t, d.End, d.Took))
}

// free gives a slot back and returns its pool.
func (h *Home) free(now time.Time, t *ticket, end End, took time.Duration) *pool {
	delete(h.tickets, t.key)
	t.pool.vacate(now, t, end, took)
	return t.pool
}

func (h *Home) cancel(from Peer, c Cancel) {
	key := ticketKey{from.Host, from.Life, c.ID}
	if p, ok := h.waiting[key]; ok {
		h.drop(key, p)
	}
}

// drain notes that a target leaves. Requests to a pool with others go to those from
// now on; what a single target owns stays there until its lead has moved it.
func (h *Home) drain(now time.Time, d Drain) {
	p := h.pool(now, d.Pool)
	if l := p.lanes[d.Target]; l != nil {
		l.leaving = true
		l.usable = l.usable && d.Pool.Target != ""
		h.run(now, p)
	}
}

func (h *Home) drop(key ticketKey, p *pool) {
	delete(h.waiting, key)
	for i, w := range p.waiting {
		if w.key == key {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// report takes over what a host says it has in use: tickets that this home
// does not know are added, those that it lists no more are given back.
func (h *Home) report(now time.Time, from Peer, r Report) {
	touched := make(map[*pool]bool)
	listed := make(map[ticketKey]bool, len(r.Held))
	for _, held := range r.Held {
		key := ticketKey{from.Host, from.Life, held.ID}
		listed[key] = true
		if t, ok := h.tickets[key]; ok {
			t.confirmed = now
			continue
		}
		h.adopt(now, key, held)
	}
	for key, t := range h.tickets {
		mine := key.host == from.Host && key.life == from.Life && r.First <= key.id && key.id <= r.Last
		if mine && !listed[key] && now.Sub(t.confirmed) > settleAfter {
			touched[h.free(now, t, EndUnused, 0)] = true
		}
	}
	for p := range touched {
		h.run(now, p)
	}
}

// adopt enters a ticket that another home gave.
func (h *Home) adopt(now time.Time, key ticketKey, held Held) {
	p := h.pool(now, held.Pool)
	l := p.lanes[held.Target]
	if l == nil {
		return
	}
	t := &ticket{
		key: key, pool: p, class: held.Class, lane: l, started: now.Add(-held.Since),
		mean: p.mean(held.Class), queued: len(l.running) >= l.slots(), confirmed: now,
	}
	l.running[key] = t
	h.tickets[key] = t
}

// Opinion is what a home knows of a target by the requests that went there.
type Opinion struct {
	Pool   PoolID
	Target place.Target
	// Mean is the time of a usual request there by those that went there alone, zero
	// where none has ended yet, Slow that time over the mean of its class; Requests
	// is how many Mean rests on.
	Mean     time.Duration
	Slow     float64
	Requests float64
	// Down tells that it takes no connections.
	Down bool
	// Leaving tells that it has said that it leaves.
	Leaving bool
	// Used tells whether anything went there lately.
	Used bool
}

// Opinions returns the opinions of all targets of all pools held here.
func (h *Home) Opinions(now time.Time) []Opinion {
	var out []Opinion
	for _, p := range h.pools {
		mean, requests := usualOf(p.classes)
		for _, l := range p.order {
			out = append(out, Opinion{
				Pool: p.id, Target: l.Target, Mean: mean, Slow: l.factor(now), Requests: requests,
				Down: l.downs >= downSure, Leaving: l.leaving, Used: requests > 0 && now.Sub(l.judged) < opinionAge,
			})
		}
	}
	return out
}

const (
	// downSure is how many connections in a row must fail before a target
	// counts as down for others than its home.
	downSure = 2
	// opinionAge is how old an opinion may be to count.
	opinionAge = 2 * time.Second
)

// PoolState is what a home has in one pool now.
type PoolState struct {
	ID               PoolID
	Waiting, Running int
	// Pressure is the share of free slots that requests on time wait for.
	Pressure float64
}

// Pools returns the state of all pools held here.
func (h *Home) Pools() []PoolState {
	out := make([]PoolState, 0, len(h.pools))
	for _, p := range h.pools {
		s := PoolState{ID: p.id, Waiting: len(p.waiting), Pressure: p.pressure}
		for _, l := range p.order {
			s.Running += len(l.running)
		}
		out = append(out, s)
	}
	return out
}
