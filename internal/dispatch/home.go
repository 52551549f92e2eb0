package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// hostTimeout is how long a host may go without a message before its tickets
	// count as given back; it reports those that are in use for long every
	// ReportInterval.
	hostTimeout = 2*ReportInterval + ReportInterval/2
	// reportGrace is how long a ticket may be missing from its host's reports: they
	// list those that are in use for reportFrom, and the report may have left before
	// the ticket arrived.
	reportGrace = minReportAge + ReportInterval/2
	// poolIdleTimeout is how long a pool without asks is kept.
	poolIdleTimeout = 30 * time.Second
)

// Peer is one life of a host that asks.
type Peer struct {
	Host        place.Host
	Incarnation place.Incarnation
	Zone        place.Zone
}

// PeerMessage is a message to a peer.
type PeerMessage struct {
	To      Peer
	Message Message
}

// Catalog tells which targets belong to a pool now.
type Catalog interface {
	Members(pool PoolID) []place.TargetRow
}

// Home holds the pools of one host. It is not safe for concurrent use.
type Home struct {
	catalog  Catalog
	pools    map[PoolID]*pool
	waiting  map[ticketKey]*pool
	tickets  map[ticketKey]*ticket
	peers    map[place.Host]*peerState
	out      []PeerMessage
	refusals []Refusal
	// observed are the times of the classes of requests that this host sent
	// itself, whoever their home was: where a pool starts from.
	observed map[traffic.RouteName]*serviceTime
	breakers *breakers
}

// Refusal is a refusal with what decided it.
type Refusal struct {
	Pool       PoolID
	Host       place.Host
	ID         TicketID
	Reason     Reason
	RetryAfter time.Duration
	// Wait is how long the request waited here, End when it was expected to
	// end, Left what it had.
	Wait, Estimate, Remaining time.Duration
	// Waiting is the queue at that moment, Open the targets that could be
	// tried, Pressure the share of free slots that requests on time wait for.
	Waiting, Available int
	Pressure           float64
	// Cold tells that its key was.
	Cold bool
}

// Refusals returns the refusals since the last call.
func (h *Home) Refusals() []Refusal {
	out := h.refusals
	h.refusals = nil
	return out
}

// peerState is what a home knows of a host that asks.
type peerState struct {
	Peer

	heardAt time.Time
}

// NewHome returns a home without pools; they come with the first ask.
func NewHome(catalog Catalog) *Home {
	return &Home{
		catalog:  catalog,
		pools:    make(map[PoolID]*pool),
		waiting:  make(map[ticketKey]*pool),
		tickets:  make(map[ticketKey]*ticket),
		peers:    make(map[place.Host]*peerState),
		observed: make(map[traffic.RouteName]*serviceTime),
		breakers: newBreakers(),
	}
}

// Observe notes how long a request of this host took at a target.
func (h *Home) Observe(class traffic.RouteName, took time.Duration) {
	c := h.observed[class]
	if c == nil {
		c = &serviceTime{}
		h.observed[class] = c
	}
	c.add(took)
}

// Handle takes a message of a peer and returns what to send.
func (h *Home) Handle(now time.Time, from Peer, m Message) []PeerMessage {
	h.markAlive(now, from)
	switch m := m.(type) {
	case Acquire:
		h.acquire(now, from, m)
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
	case Assigned, Queued, Refused, Pong, Leave:
		// These are a home's own words.
	}
	return h.flush()
}

// Refresh takes over changes of the catalog.
func (h *Home) Refresh(now time.Time) []PeerMessage {
	for _, p := range h.pools {
		p.setTargets(now, h.catalog.Members(p.id))
		h.runQueue(now, p)
	}
	return h.flush()
}

// Tick lets what depends on the passing of time happen.
func (h *Home) Tick(now time.Time) []PeerMessage {
	for name, c := range h.peers {
		if now.Sub(c.heardAt) > hostTimeout {
			h.expireHost(now, c)
			delete(h.peers, name)
		}
	}
	for id, p := range h.pools {
		h.runQueue(now, p)
		if len(p.waiting) == 0 && now.Sub(p.usedAt) > poolIdleTimeout {
			delete(h.pools, id)
		}
	}
	return h.flush()
}

const (
	// queueTickInterval is the time between two looks at queues in which somebody
	// waits: who can't be served in time is told that much later.
	queueTickInterval = 20 * time.Millisecond
	// ticketTickInterval is the same for slots in use, which hosts may have lost.
	ticketTickInterval = hostTimeout
)

// NextTick returns when Tick has something to do again, if nothing else happens;
// zero for never.
func (h *Home) NextTick(now time.Time) time.Time {
	switch {
	case len(h.waiting) > 0:
		return now.Add(queueTickInterval)
	case len(h.tickets) > 0:
		return now.Add(ticketTickInterval)
	}
	return time.Time{}
}

func (h *Home) flush() []PeerMessage {
	out := h.out
	h.out = nil
	return out
}

func (h *Home) send(to Peer, m Message) { h.out = append(h.out, PeerMessage{to, m}) }

// markAlive notes a sign of life. Tickets of a host's earlier life are given back.
func (h *Home) markAlive(now time.Time, from Peer) {
	c := h.peers[from.Host]
	if c != nil && c.Incarnation != from.Incarnation {
		h.expireHost(now, c)
		c = nil
	}
	if c == nil {
		c = &peerState{Peer: from}
		h.peers[from.Host] = c
	}
	c.heardAt = now
}

// expireHost gives back all tickets of a host, drops its asks and forgets its
// connections.
func (h *Home) expireHost(now time.Time, c *peerState) {
	touched := make(map[*pool]bool)
	for key, t := range h.tickets {
		if key.host == c.Host && key.incarnation == c.Incarnation {
			touched[h.releaseTicket(now, t, ResultUnused, 0)] = true
		}
	}
	for key, p := range h.waiting {
		if key.host == c.Host && key.incarnation == c.Incarnation {
			h.dequeue(key, p)
		}
	}
	for _, p := range h.pools {
		delete(p.affinity, c.Host)
	}
	for p := range touched {
		h.runQueue(now, p)
	}
}

func (h *Home) pool(now time.Time, id PoolID) *pool {
	p := h.pools[id]
	if p == nil {
		p = newPool(id, h.observed, h.breakers)
		h.pools[id] = p
		p.setTargets(now, h.catalog.Members(id))
	}
	p.usedAt = now
	return p
}

func (h *Home) acquire(now time.Time, from Peer, a Acquire) {
	key := ticketKey{from.Host, from.Incarnation, a.ID}
	if t, ok := h.tickets[key]; ok {
		// The answer to the first ask was lost.
		h.send(from, Assigned{ID: a.ID, Target: t.target.Target, Addr: t.target.Addr})
		return
	}
	if _, ok := h.waiting[key]; ok {
		h.send(from, Queued{ID: a.ID})
		return
	}
	p := h.pool(now, a.Pool)
	if a.Isolated {
		p.isolatedAt = now
	} else {
		p.sharedAt = now
	}
	if !a.Cold {
		p.warmAskedAt = now
	}
	p.waiting = append(p.waiting, &waiter{
		Acquire: a, key: key, zone: from.Zone, arrivedAt: now,
		deadline: now.Add(a.Timeout), softDeadline: now.Add(a.SoftTimeout),
	})
	h.waiting[key] = p
	h.runQueue(now, p)
	if _, ok := h.waiting[key]; ok {
		h.send(from, Queued{ID: a.ID})
	}
}

// runQueue starts and dismisses what the pool's queue says.
func (h *Home) runQueue(now time.Time, p *pool) {
	starts, out := p.schedule(now)
	for _, s := range starts {
		t := p.acquire(now, s)
		delete(h.waiting, t.key)
		h.tickets[t.key] = t
		h.send(h.peerOf(t.key), Assigned{ID: t.key.id, Target: s.target.Target, Addr: s.target.Addr})
	}
	for _, d := range out {
		delete(h.waiting, d.waiter.key)
		h.refusals = append(h.refusals, Refusal{
			Pool: p.id, Host: d.waiter.key.host, ID: d.waiter.ID, Reason: d.reason, RetryAfter: d.retryAfter,
			Wait: now.Sub(d.waiter.arrivedAt), Estimate: d.estimate, Remaining: d.waiter.deadline.Sub(now),
			Waiting: len(p.waiting), Available: d.available, Pressure: p.pressure, Cold: d.waiter.Cold,
		})
		h.send(h.peerOf(d.waiter.key), Refused{ID: d.waiter.ID, RetryAfter: d.retryAfter, Reason: d.reason})
	}
}

func (h *Home) peerOf(key ticketKey) Peer {
	if c := h.peers[key.host]; c != nil && c.Incarnation == key.incarnation {
		return c.Peer
	}
	return Peer{Host: key.host, Incarnation: key.incarnation}
}

func (h *Home) done(now time.Time, from Peer, d Done) {
	t, ok := h.tickets[ticketKey{from.Host, from.Incarnation, d.ID}]
	if !ok {
		return
	}
	h.runQueue(now, h.releaseTicket(now, t, d.Result, d.Took))
}

// releaseTicket gives a slot back and returns its pool.
func (h *Home) releaseTicket(now time.Time, t *ticket, end Result, took time.Duration) *pool {
	delete(h.tickets, t.key)
	t.pool.release(now, t, end, took)
	return t.pool
}

func (h *Home) cancel(from Peer, c Cancel) {
	key := ticketKey{from.Host, from.Incarnation, c.ID}
	if p, ok := h.waiting[key]; ok {
		h.dequeue(key, p)
	}
}

// drain notes that a target leaves. Requests to a pool with others go to those from
// now on; what a single target owns stays there until its lead has moved it.
func (h *Home) drain(now time.Time, d Drain) {
	p := h.pool(now, d.Pool)
	if l := p.targets[d.Target]; l != nil {
		l.leaving = true
		l.usable = l.usable && d.Pool.Target != ""
		h.runQueue(now, p)
	}
}

func (h *Home) dequeue(key ticketKey, p *pool) {
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
		key := ticketKey{from.Host, from.Incarnation, held.ID}
		listed[key] = true
		if t, ok := h.tickets[key]; ok {
			t.confirmedAt = now
			continue
		}
		h.adopt(now, key, held)
	}
	for key, t := range h.tickets {
		mine := key.host == from.Host && key.incarnation == from.Incarnation && r.First <= key.id && key.id <= r.Last
		if mine && !listed[key] && now.Sub(t.confirmedAt) > reportGrace {
			touched[h.releaseTicket(now, t, ResultUnused, 0)] = true
		}
	}
	for p := range touched {
		h.runQueue(now, p)
	}
}

// adopt enters a ticket that another home gave.
func (h *Home) adopt(now time.Time, key ticketKey, held Held) {
	p := h.pool(now, held.Pool)
	l := p.targets[held.Target]
	if l == nil {
		return
	}
	t := &ticket{
		key: key, pool: p, class: held.Class, target: l, started: now.Add(-held.Since),
		mean: p.mean(held.Class), queued: len(l.running) >= l.slots(), confirmedAt: now,
	}
	l.running[key] = t
	h.tickets[key] = t
}

// TargetStats is what a home knows of a target by the requests that went there.
type TargetStats struct {
	Pool   PoolID
	Target place.Target
	// Mean is the time of a usual request there by those that went there alone, zero
	// where none has ended yet, Slow that time over the mean of its class; Requests
	// is how many Mean rests on.
	Mean     time.Duration
	Slowdown float64
	Samples  float64
	// Down tells that it takes no connections.
	Down bool
	// Leaving tells that it has said that it leaves.
	Leaving bool
	// Used tells whether anything went there lately.
	Used bool
}

// TargetStats returns the opinions of all targets of all pools held here.
func (h *Home) TargetStats(now time.Time) []TargetStats {
	var out []TargetStats
	for _, p := range h.pools {
		mean, requests := dominantMean(p.classes)
		for _, l := range p.sorted {
			out = append(out, TargetStats{
				Pool: p.id, Target: l.Target, Mean: mean, Slowdown: l.timeFactor(now), Samples: requests,
				Down: l.connectFailures >= minConnectFailures, Leaving: l.leaving, Used: requests > 0 && now.Sub(l.updatedAt) < maxStatsAge,
			})
		}
	}
	return out
}

const (
	// minConnectFailures is how many connections in a row must fail before a target
	// counts as down for others than its home.
	minConnectFailures = 2
	// maxStatsAge is how old an opinion may be to count.
	maxStatsAge = 2 * time.Second
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
		for _, l := range p.sorted {
			s.Running += len(l.running)
		}
		out = append(out, s)
	}
	return out
}
