package dispatch

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// hostTimeout is how long after a host's last message its tickets expire. A host
	// with tickets in use for longer than minReportAge sends a report every
	// ReportInterval.
	hostTimeout = 2*ReportInterval + ReportInterval/2
	// reportGrace is how long a ticket may be missing from its host's reports. They
	// list only tickets older than minReportAge, and a report may have been sent
	// before the ticket arrived.
	reportGrace = minReportAge + ReportInterval/2
	// poolIdleTimeout is how long an unused pool is kept.
	poolIdleTimeout = 30 * time.Second
)

// Peer is one incarnation of a host that acquires tickets.
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

// Catalog is what a home knows of the deployment.
type Catalog interface {
	// Members returns the current targets of a pool.
	Members(pool PoolID) []place.TargetRow
	// LimitShare returns the share of a target's rate limit that this host may use
	// as the home of the pool now; see HomeRanking.
	LimitShare(now time.Time, pool PoolID) float64
	// OrderRate returns the rate of the leader's orders to a target.
	OrderRate(service key.Service, name place.Target) target.Rate
	// ColdBound returns how many requests a cold target of a service may get.
	ColdBound(service key.Service) ColdBound
	// Watch returns how a request may run.
	Watch(now time.Time, f quarantine.Fingerprint) Watch
}

// Home schedules the pools whose home this host is. It is not safe for concurrent
// use.
type Home struct {
	catalog  Catalog
	pools    map[PoolID]*pool
	waiting  map[ticketKey]*pool
	tickets  map[ticketKey]*ticket
	peers    map[place.Host]*peerState
	out      []PeerMessage
	refusals []Refusal
	// observed holds the service times of this host's own requests by class, whatever
	// their home was. They are the priors of new pools.
	observed map[traffic.RouteName]*serviceTime
	breakers *breakers
	limits   *limiters
	// admissions holds, by service, what admission control did since the last call of
	// Admissions; nil without WithAdmission.
	admissions map[key.Service]*AdmissionCounts
}

// Refusal describes a refused request and the state that led to it, for the log.
type Refusal struct {
	Pool       PoolID
	Host       place.Host
	ID         TicketID
	Reason     Reason
	RetryAfter time.Duration
	// Wait is how long the request was queued, Estimate the expected time to its end,
	// Remaining the time to its deadline.
	Wait, Estimate, Remaining time.Duration
	// Waiting is the length of the queue, Available the number of available targets,
	// Pressure that of the pool.
	Waiting, Available int
	Pressure           float64
	// Cold is Acquire.Cold.
	Cold bool
	// Limit is the rate limit of the target, zero if the reason is another one, and
	// Allowed the rate that this home may use of it.
	Limit, Allowed target.Rate
	// Returned is set if the client was refused before, Early if it did not wait for the
	// end of its retry delay. Both are known under admission control only.
	Returned, Early bool
}

// Refusals returns the refusals since the last call.
func (h *Home) Refusals() []Refusal {
	out := h.refusals
	h.refusals = nil
	return out
}

// peerState is the state of a peer at a home.
type peerState struct {
	Peer

	lastMessageAt time.Time // when its last message came
}

// NewHome returns a home without pools. They are created by the first message about
// them.
func NewHome(catalog Catalog, options ...HomeOption) *Home {
	h := &Home{
		catalog:  catalog,
		pools:    make(map[PoolID]*pool),
		waiting:  make(map[ticketKey]*pool),
		tickets:  make(map[ticketKey]*ticket),
		peers:    make(map[place.Host]*peerState),
		observed: make(map[traffic.RouteName]*serviceTime),
		breakers: newBreakers(),
		limits:   newLimiters(),
	}
	for _, apply := range options {
		apply(h)
	}
	return h
}

// Observe records how long a request of this host took at a target.
func (h *Home) Observe(class traffic.RouteName, took time.Duration) {
	s := h.observed[class]
	if s == nil {
		s = &serviceTime{}
		h.observed[class] = s
	}
	s.add(took)
}

// Handle handles a peer's message and returns the messages to send.
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
	case Limited:
		h.learnLimit(now, from.Host, m)
	case Report:
		h.report(now, from, m)
	case Ping:
		h.send(from, Pong{})
	case Assigned, Queued, Refused, Pong, Leave:
		// Sent by homes only.
	}
	return h.flush()
}

// Refresh applies changes of the catalog.
func (h *Home) Refresh(now time.Time) []PeerMessage {
	for _, p := range h.pools {
		p.setTargets(now, h.catalog.Members(p.id))
	}
	h.updateCold(now, true)
	for _, p := range h.pools {
		h.runQueue(now, p)
	}
	return h.flush()
}

// Tick expires hosts after hostTimeout and idle pools after poolIdleTimeout, and
// schedules the queues.
func (h *Home) Tick(now time.Time) []PeerMessage {
	var silent []place.Host
	for name, peer := range h.peers {
		if now.Sub(peer.lastMessageAt) > hostTimeout {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	for _, name := range silent {
		h.expireHost(now, h.peers[name])
		delete(h.peers, name)
	}
	h.limits.endCold(now)
	for id, p := range h.pools {
		h.runQueue(now, p)
		if len(p.waiting) == 0 && now.Sub(p.usedAt) > poolIdleTimeout {
			delete(h.pools, id)
		}
	}
	h.limits.expire(now)
	return h.flush()
}

const (
	// queueTickInterval is the time between two ticks while requests are queued. It
	// delays the refusal of those that can't be served in time.
	queueTickInterval = 20 * time.Millisecond
	// ticketTickInterval is the time between two ticks while tickets are in use, whose
	// hosts may have failed.
	ticketTickInterval = hostTimeout
)

// NextTick returns when Tick is due next if no message comes before, or zero for
// never.
func (h *Home) NextTick(now time.Time) time.Time {
	switch {
	case len(h.waiting) > 0:
		return now.Add(queueTickInterval)
	case len(h.tickets) > 0:
		return earlier(now.Add(ticketTickInterval), h.limits.noticeDue())
	}
	return h.limits.noticeDue()
}

func (h *Home) flush() []PeerMessage {
	out := h.out
	h.out = nil
	return out
}

func (h *Home) send(to Peer, m Message) { h.out = append(h.out, PeerMessage{to, m}) }

// markAlive records that a message came from a host. It releases the tickets of the
// host's earlier incarnation.
func (h *Home) markAlive(now time.Time, from Peer) {
	peer := h.peers[from.Host]
	if peer != nil && peer.Incarnation != from.Incarnation {
		h.expireHost(now, peer)
		peer = nil
	}
	if peer == nil {
		peer = &peerState{Peer: from}
		h.peers[from.Host] = peer
	}
	peer.lastMessageAt = now
}

// expireHost releases all tickets of a host, drops its queued Acquires and forgets
// its connections.
func (h *Home) expireHost(now time.Time, peer *peerState) {
	changed := make(map[*pool]bool)
	for _, t := range h.ticketsOf(peer.Peer) {
		changed[h.releaseTicket(now, t, ResultUnused, 0)] = true
	}
	for key, p := range h.waiting {
		if key.host == peer.Host && key.incarnation == peer.Incarnation {
			h.dequeue(key, p)
		}
	}
	for _, p := range h.pools {
		delete(p.affinity, peer.Host)
	}
	for p := range changed {
		h.runQueue(now, p)
	}
}

// ticketsOf returns the tickets of one incarnation of a host by ID.
func (h *Home) ticketsOf(peer Peer) []*ticket {
	var out []*ticket
	for key, t := range h.tickets {
		if key.host == peer.Host && key.incarnation == peer.Incarnation {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *ticket) int { return cmp.Compare(a.key.id, b.key.id) })
	return out
}

func (h *Home) pool(now time.Time, id PoolID) *pool {
	p := h.pools[id]
	if p == nil {
		p = newPool(id, h.observed, h.breakers, h.limits)
		p.catalog, p.admission = h.catalog, h.newAdmission(id.Service)
		h.pools[id] = p
		p.setTargets(now, h.catalog.Members(id))
		h.updateCold(now, false)
	}
	p.usedAt = now
	return p
}

func (h *Home) acquire(now time.Time, from Peer, a Acquire) {
	key := ticketKey{from.Host, from.Incarnation, a.ID}
	if t, ok := h.tickets[key]; ok {
		// A resend: the first reply was lost.
		h.send(from, Assigned{ID: a.ID, Target: t.target.Target, Addr: t.target.Addr})
		return
	}
	if p, ok := h.waiting[key]; ok {
		if p.shorten(now, key, a) {
			h.runQueue(now, p)
		}
		if _, ok := h.waiting[key]; ok {
			h.send(from, Queued{ID: a.ID})
		}
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
	p.requestedAt[a.Priority] = now
	w := &waiter{
		Acquire: a, key: key, zone: from.Zone, arrivedAt: now,
		deadline: now.Add(a.Timeout), softDeadline: now.Add(a.SoftTimeout),
	}
	p.admission.arrived(now, w)
	p.waiting = append(p.waiting, w)
	h.waiting[key] = p
	h.runQueue(now, p)
	if _, ok := h.waiting[key]; ok {
		h.send(from, Queued{ID: a.ID})
	}
}

// runQueue schedules the pool's queue and sends the replies.
func (h *Home) runQueue(now time.Time, p *pool) {
	assignments, refused := p.schedule(now)
	for _, a := range assignments {
		p.admission.decided(now, a.waiter, true)
		t := p.acquire(now, a)
		delete(h.waiting, t.key)
		h.tickets[t.key] = t
		h.send(h.peerOf(t.key), Assigned{ID: t.key.id, Target: a.target.Target, Addr: a.target.Addr})
	}
	for _, r := range refused {
		p.admission.decided(now, r.waiter, false)
		delete(h.waiting, r.waiter.key)
		h.refusals = append(h.refusals, Refusal{
			Pool: p.id, Host: r.waiter.key.host, ID: r.waiter.ID, Reason: r.reason, RetryAfter: r.retryAfter,
			Wait: now.Sub(r.waiter.arrivedAt), Estimate: r.estimate, Remaining: r.waiter.deadline.Sub(now),
			Waiting: len(p.waiting), Available: r.available, Pressure: p.pressure, Cold: r.waiter.Cold, Limit: r.limit, Allowed: r.allowed,
			Returned: r.waiter.returned, Early: r.waiter.early,
		})
		h.send(h.peerOf(r.waiter.key), Refused{ID: r.waiter.ID, RetryAfter: r.retryAfter, Reason: r.reason})
	}
}

func (h *Home) peerOf(key ticketKey) Peer {
	if peer := h.peers[key.host]; peer != nil && peer.Incarnation == key.incarnation {
		return peer.Peer
	}
	return Peer{Host: key.host, Incarnation: key.incarnation}
}

func (h *Home) done(now time.Time, from Peer, d Done) {
	t, ok := h.tickets[ticketKey{from.Host, from.Incarnation, d.ID}]
	if !ok {
		h.observeLimit(now, time.Time{}, from.Host, d)
		return
	}
	h.observeLimit(now, t.assignedAt, from.Host, d)
	h.stateWarmup(now, d)
	h.limits.settle(now, t, d.Result)
	t.target.reported.observe(now, t, d.Load)
	h.runQueue(now, h.releaseTicket(now, t, d.Result, d.Took))
}

// releaseTicket releases a ticket and returns its pool.
func (h *Home) releaseTicket(now time.Time, t *ticket, result Result, took time.Duration) *pool {
	delete(h.tickets, t.key)
	t.pool.release(now, t, result, took)
	return t.pool
}

func (h *Home) cancel(from Peer, c Cancel) {
	key := ticketKey{from.Host, from.Incarnation, c.ID}
	if p, ok := h.waiting[key]; ok {
		h.dequeue(key, p)
	}
}

// drain records that a target is leaving. It gets no new requests in a pool of several
// targets. In the pool of a single target it does, until the service's leader has
// moved its keys.
func (h *Home) drain(now time.Time, d Drain) {
	p := h.pool(now, d.Pool)
	if s := p.targets[d.Target]; s != nil && (d.Incarnation == 0 || d.Incarnation >= s.Incarnation) {
		s.leaving = true
		s.usable = s.usable && d.Pool.Target != ""
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

// report reconciles the tickets with a host's report: unknown tickets are adopted,
// and those that are missing for longer than reportGrace are released.
func (h *Home) report(now time.Time, from Peer, r Report) {
	changed := make(map[*pool]bool)
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
	for _, t := range h.ticketsOf(from) {
		covered := r.First <= t.key.id && t.key.id <= r.Last
		if covered && !listed[t.key] && now.Sub(t.confirmedAt) > reportGrace {
			changed[h.releaseTicket(now, t, ResultUnused, 0)] = true
		}
	}
	for p := range changed {
		h.runQueue(now, p)
	}
}

// adopt adds a ticket that another home issued.
func (h *Home) adopt(now time.Time, key ticketKey, held Held) {
	p := h.pool(now, held.Pool)
	s := p.targets[held.Target]
	if s == nil {
		return
	}
	t := &ticket{
		key: key, pool: p, class: held.Class, target: s, started: now.Add(-held.Since), assignedAt: now.Add(-held.Since),
		incarnation: s.Incarnation,
		mean:        p.mean(held.Class), queued: len(s.running) >= s.slots(), confirmedAt: now,
	}
	s.running[key] = t
	h.tickets[key] = t
}

// TargetStats holds a home's statistics of one target.
type TargetStats struct {
	Pool   PoolID
	Target place.Target
	// Mean is the mean service time of the pool's dominant class by the pool's own
	// samples, zero without any. Slowdown is the target's timeFactor. Samples is the
	// number of samples in Mean.
	Mean     time.Duration
	Slowdown float64
	Samples  float64
	// Down is set after minConnectFailures failures to connect in a row.
	Down bool
	// Leaving is set if the target signaled that it is leaving.
	Leaving bool
	// Reporting is set if the target states its load in responses.
	Reporting bool
	// Used is set if there are samples and the statistics were updated within
	// maxStatsAge.
	Used bool
}

// TargetStats returns the statistics of the targets of all pools.
func (h *Home) TargetStats(now time.Time) []TargetStats {
	var out []TargetStats
	for _, p := range h.pools {
		mean, samples := dominantMean(p.classes)
		for _, s := range p.sorted {
			out = append(out, TargetStats{
				Pool: p.id, Target: s.Target, Mean: mean, Slowdown: s.timeFactor(now), Samples: samples,
				Down: s.connectFailures >= minConnectFailures, Leaving: s.leaving, Used: samples > 0 && now.Sub(s.updatedAt) < maxStatsAge,
				Reporting: s.reported.reports(now),
			})
		}
	}
	return out
}

const (
	// minConnectFailures is the number of failures to connect in a row from which a
	// target is reported as TargetStats.Down. The home itself backs off after the
	// first one.
	minConnectFailures = 2
	// maxStatsAge is the age from which statistics no longer count as
	// TargetStats.Used.
	maxStatsAge = 2 * time.Second
)

// PoolState is the current load of one pool.
type PoolState struct {
	ID               PoolID
	Waiting, Running int
	// Pressure is how often a request that can be on time was waiting when a slot
	// became free, from 0 to 1.
	Pressure float64
	// Limits are the rate limits of its targets.
	Limits []LimitState
	// Cold are its cold targets.
	Cold []ColdState
}

// Pools returns the state of all pools.
func (h *Home) Pools(now time.Time) []PoolState {
	out := make([]PoolState, 0, len(h.pools))
	for _, p := range h.pools {
		s := PoolState{ID: p.id, Waiting: len(p.waiting), Pressure: p.pressure}
		for _, t := range p.sorted {
			s.Running += len(t.running)
			if l := h.limits.of(now, t.TargetRow); l != nil {
				s.Limits = append(s.Limits, l.state(now, t.Target))
			}
		}
		s.Cold = h.coldStates(now, p)
		out = append(out, s)
	}
	return out
}
