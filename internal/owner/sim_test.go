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

// sim is the simulation of one random run: hosts that may become leader, a store,
// targets, and faults in all of them. There is one clock, except that targets measure
// grants with clocks of their own that run up to 2% slow.
type sim struct {
	t      *testing.T
	rng    *rand.Rand
	seed   uint64
	now    time.Time
	start  time.Time
	events simEvents
	order  int

	hosts     []*simHost
	targets   []*simTarget
	store     simStore
	snapshots []simSnapshot
	points    []key.Point
	// highest is the highest fencing token that any target has accepted for each point.
	highest map[key.Point]simFence
	// heldAt is when each point was last seen to be held.
	heldAt    map[key.Point]time.Time
	violation string
	trace     []string
	moves     int
}

type simFence struct {
	fence  target.FencingToken
	holder *simTarget
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simStore struct {
	era platform.Era
	// leaderEra is the era in which the leader's entry was written.
	leaderEra         platform.Era
	doc               Doc
	revision          platform.Revision
	leader            place.Host
	leaderIncarnation place.Incarnation
	leaderRev         platform.Revision
	leaderSessionEnd  time.Time // of the leader's session
	down              bool
	slow              time.Duration
	losesResponses    bool
	listed            map[place.Target]place.TargetRow
	incarnations      map[place.Host]place.Incarnation
}

type simTarget struct {
	sim         *sim
	row         place.TargetRow
	up          bool
	unreachable bool
	appliesLate bool // applies orders late and does not respond
	clockRate   float64
	seen        map[key.Point]target.FencingToken
	until       map[key.Point]time.Time
}

// simSnapshot is the part of the store that leaders write, as it was before a change.
type simSnapshot struct {
	until time.Time
	store simStore
}

// takeSnapshot takes a snapshot of the store before a change.
func (w *sim) takeSnapshot() {
	w.snapshots = append(w.snapshots, simSnapshot{w.now, w.store})
	const kept = 400
	if len(w.snapshots) > kept {
		w.snapshots = w.snapshots[kept/2:]
	}
}

// restore restores the store from a snapshot of the given age. The leader's session in
// the snapshot has expired or continues. The entries of targets and hosts stay, as if
// they had been written anew.
func (w *sim) restore(age time.Duration) {
	s := &w.store
	w.tracef("store restored from a snapshot %v old", age)
	for i, snapshot := range w.snapshots {
		if snapshot.until.After(w.now.Add(-age)) {
			older := snapshot.store
			s.doc, s.revision = older.doc, older.revision
			s.leader, s.leaderIncarnation, s.leaderRev, s.leaderEra = older.leader, older.leaderIncarnation, older.leaderRev, older.leaderEra
			w.snapshots = w.snapshots[:i]
			break
		}
	}
	s.era++
	s.leaderSessionEnd = w.now
	if w.chance(0.5) {
		s.leaderSessionEnd = w.now.Add(w.randomDuration(0, 2*time.Second))
	}
}

func (w *sim) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, simEvent{w.now.Add(d), w.order, do})
}

func (w *sim) chance(p float64) bool { return w.rng.Float64() < p }

func (w *sim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *sim) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	const kept = 20000
	if len(w.trace) > kept {
		w.trace = w.trace[kept/2:]
	}
}

func simConfig(h *simHost) Config {
	c := testConfig()
	c.Host, c.Incarnation = h.name, h.incarnation
	c.GrantDuration, c.RenewInterval, c.LimitedRenewInterval = 2500*time.Millisecond, 600*time.Millisecond, 1200*time.Millisecond
	c.WriteBatchDelay, c.MaxPublishInterval = 40*time.Millisecond, time.Second
	if h.sim.hasFewTokens() {
		c.FencesPerTerm = 32 << (h.sim.seed / 8 % 4)
	}
	return c
}

func newSim(t *testing.T, seed uint64) *sim {
	start := time.Unix(10_000, 0)
	w := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 3)), seed: seed, now: start, start: start}
	w.heldAt, w.highest = make(map[key.Point]time.Time), make(map[key.Point]simFence)
	w.store = simStore{
		doc: EmptyDoc("s"), listed: make(map[place.Target]place.TargetRow), incarnations: make(map[place.Host]place.Incarnation),
	}
	for i := range 24 {
		w.points = append(w.points, key.Point(i*key.Points/24+w.rng.IntN(key.Points/24)))
	}
	for i := range 2 + w.rng.IntN(3) {
		h := &simHost{sim: w, name: place.Host(fmt.Sprintf("h%d", i)), incarnation: 1}
		h.boot()
		w.hosts = append(w.hosts, h)
		w.after(w.randomDuration(0, 20*time.Millisecond), h.tick)
	}
	for i := range 3 + w.rng.IntN(3) {
		w.addTarget(i)
	}
	return w
}

func (w *sim) addTarget(i int) {
	t := &simTarget{sim: w, clockRate: 1 - 0.02*w.rng.Float64(), row: place.TargetRow{
		Target: place.Target(fmt.Sprintf("t%d", i)), Service: "s", Zone: "z", Slots: 3, Incarnation: place.Incarnation(1 + i),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}}
	t.boot()
	w.targets = append(w.targets, t)
}

// boot starts an incarnation of a target, with no state of earlier ones.
func (t *simTarget) boot() {
	t.up = true
	t.seen, t.until = make(map[key.Point]target.FencingToken), make(map[key.Point]time.Time)
	t.row.Incarnation = place.Incarnation(t.sim.now.UnixMilli()) + t.row.Incarnation%7
	t.writeEntry(t.row)
}

// writeEntry writes the target's entry to the store, after a delay.
func (t *simTarget) writeEntry(row place.TargetRow) {
	t.sim.after(t.sim.randomDuration(10*time.Millisecond, 900*time.Millisecond), func() {
		if t.up && t.row.Incarnation == row.Incarnation {
			t.sim.store.listed[row.Target] = row
		}
	})
}

func (t *simTarget) holds(p key.Point, now time.Time) bool {
	return t.up && now.Before(t.until[p])
}

func (t *simTarget) eachPoint(r key.Range, f func(p key.Point)) {
	for _, p := range t.sim.points {
		if r.Contains(p) {
			f(p)
		}
	}
}

// grant applies a grant that arrived at the given time.
func (t *simTarget) grant(g target.Grant, arrived time.Time) error {
	fenced := false
	t.eachPoint(g.Range, func(p key.Point) { fenced = fenced || t.seen[p] > g.FencingToken })
	if fenced {
		return target.ErrFenced
	}
	end := arrived.Add(time.Duration(float64(g.Duration) / t.clockRate))
	t.eachPoint(g.Range, func(p key.Point) {
		if last := t.sim.highest[p]; end.After(t.sim.now) && last.fence >= g.FencingToken && last.holder != t && t.sim.violation == "" {
			t.sim.violation = fmt.Sprintf("%s accepts %d with fencing token %d, %s had it with %d", t.row.Target, p, g.FencingToken, last.holder.row.Target, last.fence)
		}
		if t.sim.highest[p].fence < g.FencingToken {
			t.sim.highest[p] = simFence{g.FencingToken, t}
		}
	})
	t.eachPoint(g.Range, func(p key.Point) {
		t.seen[p] = g.FencingToken
		t.until[p] = end
	})
	t.sim.checkOwners()
	return nil
}

func (t *simTarget) release(r target.Release) {
	t.eachPoint(r.Range, func(p key.Point) {
		t.seen[p] = max(t.seen[p], r.FencingToken)
		t.until[p] = time.Time{}
	})
}

// checkOwners looks for a point that two targets hold.
func (w *sim) checkOwners() {
	for _, p := range w.points {
		holder := ""
		for _, t := range w.targets {
			if !t.holds(p, w.now) {
				continue
			}
			if holder != "" && w.violation == "" {
				w.violation = fmt.Sprintf("%s and %s hold %d at %.3f s", holder, t.row.Target, p, w.now.Sub(w.start).Seconds())
			}
			holder = string(t.row.Target)
		}
	}
}
