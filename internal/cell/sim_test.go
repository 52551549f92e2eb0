package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/table"
	"citrontray.example/citrontray/internal/target"
)

const (
	simZone        = place.Zone("z")
	simService     = key.Service("s")
	simShards      = key.ShardCount(4)
	tickInterval   = 50 * time.Millisecond
	simCallTimeout = time.Second
)

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the clock of a node. It runs up to 1% fast or slow.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(t time.Duration) time.Time {
	return simStart.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// simEvent is an event of the simulation. Events at the same time run in the order
// of seq.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (s simEvents) Len() int { return len(s) }
func (s simEvents) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s simEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// node is the common part of hosts and targets.
type node struct {
	clock
	name        string
	incarnation int
	pausedUntil time.Duration
	down        bool
}

type simHost struct {
	node
	cell     *Cell
	deferred []func()
}

type simTarget struct {
	node
	addr      netip.AddrPort
	startedAt time.Duration
	holdings  *target.Holdings
	deferred  []func()
}

func (n *simTarget) clockStamp(now time.Duration) grant.Stamp {
	return grant.Stamp(float64(now-n.startedAt) * n.rate)
}

// options are the parameters of a run.
type options struct {
	seed                                     uint64
	hosts, targets                           int
	mutations                                mutations
	anchorAtArrival                          bool
	noTermCheck, noFaults, skipRecoveryCheck bool
	// hideTerms is set along with noTermCheck for targets that report no terms either.
	hideTerms     bool
	renewLimit    time.Duration
	duration      time.Duration
	grantDuration time.Duration // zero: the default
	// faultRate scales the faults of hosts, targets and links, storeRate those of the
	// store, linkRate those of single links to the store.
	faultRate, storeRate, linkRate float64
}

// sim is a simulation of hosts, targets and a store on a network that delays and
// loses messages and becomes partitioned.
type sim struct {
	options
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	seq      int
	hosts    []*simHost
	targets  []*simTarget
	cutUntil map[[2]string]time.Duration

	storeClock  clock
	storeUp     bool
	storeSlow   bool
	revision    platform.Revision
	doc         Doc
	docRevision platform.Revision
	leaseHolder place.Host
	leaseEnd    time.Time
	evictUntil  time.Duration
	evictSince  time.Time

	custody       CustodyReceived
	ceded         map[key.Shard]grant.Epoch
	singleKeys    map[key.Hash]SingleKey
	merged        map[key.Hash]grant.Epoch
	drains        []place.Target
	leaving       []place.Target
	unlisted      map[string]bool
	downUntil     map[string]time.Duration // of nodes that are declared lost
	losses        []LossDeclaration
	tableVersions map[place.Host]table.Version

	failure string
	trace   []string
	stats   stats
}

func newSim(o options) *sim {
	if o.duration == 0 {
		o.duration = 90 * time.Second
	}
	w := &sim{
		options: o, rng: rand.New(rand.NewPCG(o.seed, 7)), storeUp: true,
		cutUntil: make(map[[2]string]time.Duration), ceded: make(map[key.Shard]grant.Epoch),
		singleKeys: make(map[key.Hash]SingleKey), merged: make(map[key.Hash]grant.Epoch),
		tableVersions: make(map[place.Host]table.Version), unlisted: make(map[string]bool),
		downUntil: make(map[string]time.Duration),
	}
	w.storeClock = w.newClock()
	w.custody = CustodyReceived{Revision: 1}
	for s := range key.Shard(simShards) {
		w.custody.Shards = append(w.custody.Shards, CustodyRow{Shard: s, Floor: 1})
	}
	for i := range o.hosts {
		h := &simHost{node: node{clock: w.newClock(), name: fmt.Sprintf("h%d", i)}}
		w.hosts = append(w.hosts, h)
		w.startHost(h)
	}
	for i := range o.targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
		t := &simTarget{node: node{clock: w.newClock(), name: fmt.Sprintf("t%d", i)}, addr: addr}
		w.targets = append(w.targets, t)
		w.startTarget(t)
	}
	return w
}

func (w *sim) newClock() clock {
	return clock{rate: 0.99 + 0.02*w.rng.Float64(), offset: time.Duration(w.rng.IntN(int(time.Hour)))}
}

func (w *sim) tracef(format string, args ...any) {
	if len(w.trace) > 4000 {
		w.trace = w.trace[2000:]
	}
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *sim) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, simEvent{at: w.now + d, seq: w.seq, do: do})
}

func (w *sim) config(h *simHost) Config {
	timing := DefaultTiming()
	if w.options.grantDuration > 0 {
		timing.GrantDuration = w.options.grantDuration
	}
	return Config{
		ID: ID{Service: simService, Zone: simZone}, Self: place.Host(h.name),
		Incarnation: place.Incarnation(h.incarnation), Timing: timing, Shards: simShards,
		ChecksTerms: !w.noTermCheck, RenewLimit: w.renewLimit, MovesPerMinute: 60,
	}
}

func (w *sim) startHost(h *simHost) {
	h.incarnation++
	h.down = false
	h.pausedUntil = 0
	h.deferred = nil
	h.cell = New(w.config(h))
	h.cell.mutations = w.mutations
	inc := h.incarnation
	var tick func()
	tick = func() {
		if h.incarnation != inc {
			return
		}
		if !h.down && w.now >= h.pausedUntil {
			w.perform(h, h.cell.Tick(h.at(w.now)))
		}
		w.after(tickInterval, tick)
	}
	w.after(time.Duration(w.rng.IntN(int(tickInterval))), tick)
	w.after(0, func() { w.sendLists(h) })
}

func (w *sim) startTarget(t *simTarget) {
	t.incarnation++
	t.down = false
	t.pausedUntil = 0
	t.deferred = nil
	t.startedAt = w.now
	t.holdings = target.NewHoldings(target.HoldingsConfig{
		Target: place.Target(t.name), Service: simService,
		Incarnation: place.Incarnation(w.rng.Uint64() | 1), ChecksTerms: !w.noTermCheck,
	})
}

// sendLists sends a host the lists that it would have received by now.
func (w *sim) sendLists(h *simHost) {
	w.handle(h, h.incarnation, w.fleet())
	w.handle(h, h.incarnation, w.custody)
	w.handle(h, h.incarnation, DrainsReceived{Targets: slices.Clone(w.drains)})
	w.handle(h, h.incarnation, LossesDeclared{Losses: slices.Clone(w.losses)})
}

func (w *sim) sendListsToAll() {
	for _, h := range w.hosts {
		w.after(w.delay(), func() { w.sendLists(h) })
	}
}

func (w *sim) fleet() FleetReceived {
	var f FleetReceived
	for _, h := range w.hosts {
		if !w.unlisted[h.name] {
			f.Hosts = append(f.Hosts, place.HostRow{Host: place.Host(h.name), Zone: simZone})
		}
	}
	for _, t := range w.targets {
		row := place.TargetRow{
			Target: place.Target(t.name), Service: string(simService), Zone: simZone, Addr: t.addr,
		}
		if slices.Contains(w.leaving, row.Target) {
			row.State = place.Leaving
		}
		if !w.unlisted[t.name] {
			f.Targets = append(f.Targets, row)
		}
	}
	return f
}

// handle passes an event to the cell, after the host's pause if it is paused.
func (w *sim) handle(h *simHost, inc int, ev Event) {
	if h.incarnation != inc || h.down {
		return
	}
	if w.now < h.pausedUntil {
		h.deferred = append(h.deferred, func() { w.handle(h, inc, ev) })
		return
	}
	w.perform(h, h.cell.Handle(h.at(w.now), ev))
}

// perform carries out the effects, now and then after a pause of the host between the
// decision and its effects.
func (w *sim) perform(h *simHost, effects []Effect) {
	if len(effects) == 0 {
		return
	}
	inc := h.incarnation
	if !w.noFaults && w.rng.IntN(3000) == 0 {
		w.pauseHost(h, time.Duration(w.rng.IntN(6000))*time.Millisecond)
		h.deferred = append(h.deferred, func() { w.performNow(h, inc, effects) })
		return
	}
	w.performNow(h, inc, effects)
}

func (w *sim) performNow(h *simHost, inc int, effects []Effect) {
	if h.incarnation != inc {
		return
	}
	for _, e := range effects {
		w.performEffect(h, e)
	}
}

func (w *sim) performEffect(h *simHost, e Effect) {
	switch e := e.(type) {
	case ReadDoc:
		w.readDoc(h)
	case WriteDoc:
		w.writeDoc(h, e)
	case AcquireLease:
		w.acquireLease(h)
	case ReleaseLease:
		w.callStore(h, func() {
			if w.leaseHolder == place.Host(h.name) {
				w.leaseEnd = time.Time{}
			}
		}, nil, nil)
	case SendOrder:
		w.sendOrder(h, e)
	case SendPeer:
		w.sendPeer(h, e)
	case Publish:
		w.checkTable(h, e.Table)
	case Log:
		w.recordLog(h, e)
	case Stopped:
		w.tracef("%s stopped", h.name)
		h.down = true
		inc := h.incarnation
		w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() {
			if h.incarnation == inc {
				w.startHost(h)
			}
		})
	}
}

func (w *sim) checkTable(h *simHost, t table.Table) {
	last, known := w.tableVersions[place.Host(h.name)]
	if known && !last.Less(t.Version) {
		w.failf("%s published version %v after %v", h.name, t.Version, last)
	}
	w.tableVersions[place.Host(h.name)] = t.Version
}

// failf records the first violation.
func (w *sim) failf(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %.3f s: ", w.now.Seconds()) + fmt.Sprintf(format, args...)
		w.tracef("FAILED %s", w.failure)
	}
}

// delay returns the transit time of a message: up to 3.2 ms, rarely up to 4 s.
func (w *sim) delay() time.Duration {
	if !w.noFaults && w.rng.IntN(50) == 0 {
		return time.Duration(w.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(200+w.rng.IntN(3000)) * time.Microsecond
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *sim) linked(a, b string) bool { return w.cutUntil[linkKey(a, b)] <= w.now }

// run runs the simulation until its end or the first failure.
func (w *sim) run() string {
	w.scheduleFaults()
	w.after(max(w.duration-calmPhase, 0), w.endFaults)
	for len(w.events) > 0 && w.failure == "" {
		ev := heap.Pop(&w.events).(simEvent)
		if ev.at > w.duration {
			break
		}
		w.now = ev.at
		ev.do()
	}
	w.checkRecovered()
	return w.failure
}

// runUntil runs the simulation until the time end.
func (w *sim) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		ev := heap.Pop(&w.events).(simEvent)
		w.now = ev.at
		ev.do()
	}
	w.now = end
}
