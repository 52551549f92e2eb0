package owner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// The world of one random run: hosts that may lead, one store, targets, and
// faults of all of them. Times are one clock's; targets measure holds with
// clocks of their own that run up to 2% slow.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	seed   uint64
	now    time.Time
	start  time.Time
	events worldEvents
	order  int

	hosts   []*worldHost
	targets []*worldTarget
	store   worldStore
	copies  []worldCopy
	sample  []key.Point
	// highest is the highest fence that any target has taken of each point.
	highest map[key.Point]worldFence
	// heldAt is when each point was last seen held.
	heldAt map[key.Point]time.Time
	broken string
	trace  []string
	moves  int
}

type worldFence struct {
	fence  target.Fence
	holder *worldTarget
}

type worldEvent struct {
	at    time.Time
	order int
	do    func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int { return len(e) }
func (e worldEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e worldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *worldEvents) Push(x any)   { *e = append(*e, x.(worldEvent)) }
func (e *worldEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type worldStore struct {
	era platform.Era
	// leadEra is the era that the lead's entry was written in.
	leadEra  platform.Era
	doc      Doc
	revision platform.Revision
	lead     place.Host
	life     place.Incarnation
	leadRev  platform.Revision
	leadEnds time.Time // of the lead's session
	down     bool
	slow     time.Duration
	loses    bool
	listed   map[place.Target]place.TargetRow
	memberOf map[place.Host]place.Incarnation
}

type worldTarget struct {
	w     *world
	row   place.TargetRow
	up    bool
	cut   bool
	late  bool // carries orders out late and does not answer them
	rate  float64
	seen  map[key.Point]target.Fence
	until map[key.Point]time.Time
}

// worldCopy is what of the store a lead has written, as it was before a change.
type worldCopy struct {
	until time.Time
	store worldStore
}

// changing takes a copy of the store before a change.
func (w *world) changing() {
	w.copies = append(w.copies, worldCopy{w.now, w.store})
	const kept = 400
	if len(w.copies) > kept {
		w.copies = w.copies[kept/2:]
	}
}

// restore lets the store come back from a copy of that age. Leases of the copy have
// lapsed, or go on; what targets and hosts have entered is written again.
func (w *world) restore(age time.Duration) {
	s := &w.store
	w.note("store comes back from a copy %v old", age)
	for i, c := range w.copies {
		if c.until.After(w.now.Add(-age)) {
			back := c.store
			s.doc, s.revision = back.doc, back.revision
			s.lead, s.life, s.leadRev, s.leadEra = back.lead, back.life, back.leadRev, back.leadEra
			w.copies = w.copies[:i]
			break
		}
	}
	s.era++
	s.leadEnds = w.now
	if w.chance(0.5) {
		s.leadEnds = w.now.Add(w.span(0, 2*time.Second))
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, worldEvent{w.now.Add(d), w.order, do})
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) span(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	const kept = 20000
	if len(w.trace) > kept {
		w.trace = w.trace[kept/2:]
	}
}

func worldConfig(h *worldHost) Config {
	c := testConfig()
	c.Host, c.Life = h.name, h.life
	c.Hold, c.Renew = 2500*time.Millisecond, 600*time.Millisecond
	c.Gather, c.Publish = 40*time.Millisecond, time.Second
	return c
}

func newOwnerWorld(t *testing.T, seed uint64) *world {
	start := time.Unix(10_000, 0)
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, now: start, start: start}
	w.heldAt, w.highest = make(map[key.Point]time.Time), make(map[key.Point]worldFence)
	w.store = worldStore{
		doc: Empty("s"), listed: make(map[place.Target]place.TargetRow), memberOf: make(map[place.Host]place.Incarnation),
	}
	for i := range 24 {
		w.sample = append(w.sample, key.Point(i*key.Points/24+w.rng.IntN(key.Points/24)))
	}
	for i := range 2 + w.rng.IntN(3) {
		h := &worldHost{w: w, name: place.Host(fmt.Sprintf("h%d", i)), life: 1}
		h.begin()
		w.hosts = append(w.hosts, h)
		w.after(w.span(0, 20*time.Millisecond), h.tick)
	}
	for i := range 3 + w.rng.IntN(3) {
		w.addTarget(i)
	}
	return w
}

func (w *world) addTarget(i int) {
	t := &worldTarget{w: w, rate: 1 - 0.02*w.rng.Float64(), row: place.TargetRow{
		Target: place.Target(fmt.Sprintf("t%d", i)), Service: "s", Zone: "z", Slots: 3, Born: place.Incarnation(1 + i),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}}
	t.boot()
	w.targets = append(w.targets, t)
}

// boot starts a life of a target; it knows nothing of before.
func (t *worldTarget) boot() {
	t.up = true
	t.seen, t.until = make(map[key.Point]target.Fence), make(map[key.Point]time.Time)
	t.row.Born = place.Incarnation(t.w.now.UnixMilli()) + t.row.Born%7
	t.list(t.row)
}

// list puts the target's entry into the store; it is there a moment later.
func (t *worldTarget) list(row place.TargetRow) {
	t.w.after(t.w.span(10*time.Millisecond, 900*time.Millisecond), func() {
		if t.up && t.row.Born == row.Born {
			t.w.store.listed[row.Target] = row
		}
	})
}

func (t *worldTarget) holds(p key.Point, now time.Time) bool {
	return t.up && now.Before(t.until[p])
}

func (t *worldTarget) each(r key.Range, f func(p key.Point)) {
	for _, p := range t.w.sample {
		if r.Has(p) {
			f(p)
		}
	}
}

// grant applies an order that arrived at a time.
func (t *worldTarget) grant(g target.Grant, arrived time.Time) error {
	fenced := false
	t.each(g.Range, func(p key.Point) { fenced = fenced || t.seen[p] > g.Fence })
	if fenced {
		return target.ErrFenced
	}
	end := arrived.Add(time.Duration(float64(g.Hold) / t.rate))
	t.each(g.Range, func(p key.Point) {
		if last := t.w.highest[p]; end.After(t.w.now) && last.fence >= g.Fence && last.holder != t && t.w.broken == "" {
			t.w.broken = fmt.Sprintf("%s takes %d at fence %d, %s had it at %d", t.row.Target, p, g.Fence, last.holder.row.Target, last.fence)
		}
		if t.w.highest[p].fence < g.Fence {
			t.w.highest[p] = worldFence{g.Fence, t}
		}
	})
	t.each(g.Range, func(p key.Point) {
		t.seen[p] = g.Fence
		t.until[p] = end
	})
	t.w.check()
	return nil
}

func (t *worldTarget) release(r target.Release) {
	t.each(r.Range, func(p key.Point) {
		t.seen[p] = max(t.seen[p], r.Fence)
		t.until[p] = time.Time{}
	})
}

// check looks for a point that two targets hold.
func (w *world) check() {
	for _, p := range w.sample {
		holder := ""
		for _, t := range w.targets {
			if !t.holds(p, w.now) {
				continue
			}
			if holder != "" && w.broken == "" {
				w.broken = fmt.Sprintf("%s and %s hold %d at %.3f s", holder, t.row.Target, p, w.now.Sub(w.start).Seconds())
			}
			holder = string(t.row.Target)
		}
	}
}
