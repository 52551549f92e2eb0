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
	worldZone    = place.Zone("z")
	worldService = key.Service("s")
	worldShards  = key.ShardCount(4)
	tickEvery    = 50 * time.Millisecond
	callLimit    = time.Second
)

var worldEpoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a node's clock that runs up to 1% fast or slow.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(t time.Duration) time.Time {
	return worldEpoch.Add(c.offset + time.Duration(float64(t)*c.rate))
}

// step is something that happens at one instant of a run.
type step struct {
	at  time.Duration
	seq int
	do  func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// node is what hosts and targets have in common.
type node struct {
	clock
	name   string
	life   int
	paused time.Duration // until
	dead   bool
}

type hostNode struct {
	node
	cell    *Cell
	waiting []func()
}

type targetNode struct {
	node
	addr    netip.AddrPort
	born    time.Duration
	holds   *target.Holdings
	waiting []func()
}

func (n *targetNode) reading(now time.Duration) grant.Stamp {
	return grant.Stamp(float64(now-n.born) * n.rate)
}

// options shapes a run.
type options struct {
	seed                     uint64
	hosts, targets           int
	knobs                    knobs
	noAnchor                 bool
	unfenced, calm, unhealed bool
	// termless targets check no terms and don't report them either.
	termless bool
	hold     time.Duration
	length   time.Duration
	grant    time.Duration // zero: the default
	// faultRate is for hosts, targets and links, storeRate for the store,
	// linkRate for single links to the store.
	faultRate, storeRate, linkRate float64
}

// world is one run: hosts, targets and a store on a network that loses,
// delays and cuts.
type world struct {
	options
	r       *rand.Rand
	now     time.Duration
	queue   steps
	seq     int
	hosts   []*hostNode
	targets []*targetNode
	cuts    map[[2]string]time.Duration

	storeClock clock
	up         bool
	slow       bool
	revision   platform.Revision
	doc        Doc
	docAt      platform.Revision
	holder     place.Host
	holdUntil  time.Time
	evictUntil time.Duration
	evictSince time.Time

	custody  CustodySeen
	outside  map[key.Shard]grant.Epoch
	solos    map[key.Hash]Solo
	rejoined map[key.Hash]grant.Epoch
	drains   []place.Target
	leaving  []place.Target
	unlisted map[string]bool
	down     map[string]time.Duration // declared nodes, until when
	lost     []Lost
	versions map[place.Host]table.Version

	failure string
	trace   []string
	stats   stats
}

func newWorld(o options) *world {
	if o.length == 0 {
		o.length = 90 * time.Second
	}
	w := &world{
		options: o, r: rand.New(rand.NewPCG(o.seed, 7)), up: true,
		cuts: make(map[[2]string]time.Duration), outside: make(map[key.Shard]grant.Epoch),
		solos: make(map[key.Hash]Solo), rejoined: make(map[key.Hash]grant.Epoch),
		versions: make(map[place.Host]table.Version), unlisted: make(map[string]bool),
		down: make(map[string]time.Duration),
	}
	w.storeClock = w.newClock()
	w.custody = CustodySeen{Revision: 1}
	for s := range key.Shard(worldShards) {
		w.custody.Shards = append(w.custody.Shards, CustodyRow{Shard: s, Floor: 1})
	}
	for i := range o.hosts {
		h := &hostNode{node: node{clock: w.newClock(), name: fmt.Sprintf("h%d", i)}}
		w.hosts = append(w.hosts, h)
		w.startHost(h)
	}
	for i := range o.targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
		t := &targetNode{node: node{clock: w.newClock(), name: fmt.Sprintf("t%d", i)}, addr: addr}
		w.targets = append(w.targets, t)
		w.startTarget(t)
	}
	return w
}

func (w *world) newClock() clock {
	return clock{rate: 0.99 + 0.02*w.r.Float64(), offset: time.Duration(w.r.IntN(int(time.Hour)))}
}

func (w *world) tracef(format string, args ...any) {
	if len(w.trace) > 4000 {
		w.trace = w.trace[2000:]
	}
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, step{at: w.now + d, seq: w.seq, do: do})
}

func (w *world) config(h *hostNode) Config {
	timing := DefaultTiming()
	if w.options.grant > 0 {
		timing.Grant = w.options.grant
	}
	return Config{
		ID: ID{Service: worldService, Zone: worldZone}, Self: place.Host(h.name),
		Incarnation: place.Incarnation(h.life), Timing: timing, Shards: worldShards,
		ChecksTerms: !w.unfenced, Hold: w.hold, MovesPerMinute: 60,
	}
}

func (w *world) startHost(h *hostNode) {
	h.life++
	h.dead = false
	h.paused = 0
	h.waiting = nil
	h.cell = New(w.config(h))
	h.cell.knobs = w.knobs
	life := h.life
	var tick func()
	tick = func() {
		if h.life != life {
			return
		}
		if !h.dead && w.now >= h.paused {
			w.perform(h, h.cell.Tick(h.at(w.now)))
		}
		w.after(tickEvery, tick)
	}
	w.after(time.Duration(w.r.IntN(int(tickEvery))), tick)
	w.after(0, func() { w.tell(h) })
}

func (w *world) startTarget(t *targetNode) {
	t.life++
	t.dead = false
	t.paused = 0
	t.waiting = nil
	t.born = w.now
	t.holds = target.NewHoldings(target.HoldingsConfig{
		Target: place.Target(t.name), Service: worldService,
		Incarnation: place.Incarnation(w.r.Uint64() | 1), ChecksTerms: !w.unfenced,
	})
}

// tell gives a host the lists that its shell would have by now.
func (w *world) tell(h *hostNode) {
	w.handle(h, h.life, w.fleet())
	w.handle(h, h.life, w.custody)
	w.handle(h, h.life, DrainSeen{Targets: slices.Clone(w.drains)})
	w.handle(h, h.life, LostSeen{Lost: slices.Clone(w.lost)})
}

func (w *world) tellAll() {
	for _, h := range w.hosts {
		w.after(w.delay(), func() { w.tell(h) })
	}
}

func (w *world) fleet() FleetSeen {
	var f FleetSeen
	for _, h := range w.hosts {
		if !w.unlisted[h.name] {
			f.Hosts = append(f.Hosts, place.HostRow{Host: place.Host(h.name), Zone: worldZone})
		}
	}
	for _, t := range w.targets {
		row := place.TargetRow{
			Target: place.Target(t.name), Service: string(worldService), Zone: worldZone, Addr: t.addr,
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

// handle gives one event to the core, after the host's pause if there is one.
func (w *world) handle(h *hostNode, life int, ev Event) {
	if h.life != life || h.dead {
		return
	}
	if w.now < h.paused {
		h.waiting = append(h.waiting, func() { w.handle(h, life, ev) })
		return
	}
	w.perform(h, h.cell.Handle(h.at(w.now), ev))
}

// perform carries the effects out, now and then after a pause that falls
// between the decision and the sending.
func (w *world) perform(h *hostNode, effects []Effect) {
	if len(effects) == 0 {
		return
	}
	life := h.life
	if !w.calm && w.r.IntN(3000) == 0 {
		w.pauseHost(h, time.Duration(w.r.IntN(6000))*time.Millisecond)
		h.waiting = append(h.waiting, func() { w.performAll(h, life, effects) })
		return
	}
	w.performAll(h, life, effects)
}

func (w *world) performAll(h *hostNode, life int, effects []Effect) {
	if h.life != life {
		return
	}
	for _, e := range effects {
		w.do(h, e)
	}
}

func (w *world) do(h *hostNode, e Effect) {
	switch e := e.(type) {
	case ReadDoc:
		w.readDoc(h)
	case WriteDoc:
		w.writeDoc(h, e)
	case AcquireLease:
		w.acquire(h)
	case ReleaseLease:
		w.store(h, func() {
			if w.holder == place.Host(h.name) {
				w.holdUntil = time.Time{}
			}
		}, nil, nil)
	case SendOrder:
		w.sendOrder(h, e)
	case SendPeer:
		w.sendPeer(h, e)
	case Publish:
		w.published(h, e.Table)
	case Log:
		w.noteLog(h, e)
	case Stopped:
		w.tracef("%s stopped", h.name)
		h.dead = true
		life := h.life
		w.after(time.Duration(w.r.IntN(3000))*time.Millisecond, func() {
			if h.life == life {
				w.startHost(h)
			}
		})
	}
}

func (w *world) published(h *hostNode, t table.Table) {
	last, again := w.versions[place.Host(h.name)]
	if again && !last.Less(t.Version) {
		w.fail("%s published version %v after %v", h.name, t.Version, last)
	}
	w.versions[place.Host(h.name)] = t.Version
}

// fail records the first broken invariant.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %.3f s: ", w.now.Seconds()) + fmt.Sprintf(format, args...)
		w.tracef("FAILED %s", w.failure)
	}
}

// delay is the time a message travels: a few milliseconds, seldom seconds.
func (w *world) delay() time.Duration {
	if !w.calm && w.r.IntN(50) == 0 {
		return time.Duration(w.r.IntN(4000)) * time.Millisecond
	}
	return time.Duration(200+w.r.IntN(3000)) * time.Microsecond
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) linked(a, b string) bool { return w.cuts[pair(a, b)] <= w.now }

// run plays the world until its end or the first failure.
func (w *world) run() string {
	w.scheduleFaults()
	w.after(max(w.length-healTime, 0), w.heal)
	for len(w.queue) > 0 && w.failure == "" {
		s := heap.Pop(&w.queue).(step)
		if s.at > w.length {
			break
		}
		w.now = s.at
		s.do()
	}
	w.checkHealed()
	return w.failure
}

// until plays the world up to the instant end.
func (w *world) until(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		s := heap.Pop(&w.queue).(step)
		w.now = s.at
		s.do()
	}
	w.now = end
}
