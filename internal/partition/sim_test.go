package partition

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

var testConfig = Config{MaxMoves: 12, MaxSpans: 6, MaxImbalance: 0.1, MinGap: 0.08}

// sim simulates a key space under load. Its plans take effect at once.
type sim struct {
	rng     *rand.Rand
	meter   Meter
	load    Load
	targets []Target
	spans   []Span
	now     time.Time
	rate    float64 // requests per second

	capacities CapacityFilter
	// hot is a range that gets the given share of all requests.
	hot   key.Range
	share float64
	moves int
	keys  int // moved, with each key counted once per move
	// flat spreads the requests over all keys, with the first ones a few times as busy
	// as the others.
	flat bool
}

const meanTime = 90 * time.Millisecond

func newSim(targets int, perSecond float64) *sim {
	w := &sim{rng: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), rate: perSecond}
	speeds := []float64{0.6, 1, 1.4}
	for i := range targets {
		w.targets = append(w.targets, Target{Name: place.Target(fmt.Sprintf("t%02d", i)), Capacity: 3 * speeds[i%3]})
	}
	w.spans = []Span{{Range: key.FullRange()}}
	w.apply(Plan(testConfig, w.targets, w.spans, UniformLoad()))
	w.moves, w.keys = 0, 0
	return w
}

// point draws the key of a request: few keys are far busier than most, and they are
// adjacent.
func (w *sim) point() key.Point {
	if w.rng.Float64() < w.share {
		return w.hot.First + key.Point(w.rng.IntN(w.hot.Len()))
	}
	u := w.rng.Float64()
	if w.flat {
		return key.Point(math.Pow(u, 1/0.7) * (key.Points - 1))
	}
	return key.Point(u * u * u * (key.Points - 1))
}

// run advances time, with a plan every 200 ms.
func (w *sim) run(d time.Duration) {
	const step = 200 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.meter.Decay(w.now)
		for n := w.poissonCount(w.rate * step.Seconds()); n > 0; n-- {
			w.meter.Add(w.now, w.point(), 1)
		}
		held := make([]key.Range, 0, len(w.spans))
		for _, s := range w.spans {
			held = append(held, s.Range)
		}
		w.meter.DetectChanges(w.now, held)
		w.meter.Load(w.now, &w.load, meanTime)
		w.apply(Plan(testConfig, w.estimated(), w.spans, &w.load))
	}
}

// estimated returns the targets with measured capacities, which are off by up to a
// tenth.
func (w *sim) estimated() []Target {
	out := slices.Clone(w.targets)
	for i := range out {
		out[i].Capacity *= 0.9 + 0.2*w.rng.Float64()
		out[i], _ = w.capacities.Apply(out[i])
	}
	return out
}

func (w *sim) poissonCount(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := w.rng.Float64(); u > p && n < 10000; n++ {
		u *= w.rng.Float64()
	}
	return n
}

func (w *sim) apply(moves []Move) {
	for _, m := range moves {
		w.moves++
		w.keys += m.Range.Len()
		var next []Span
		for _, s := range w.spans {
			if !s.Range.Covers(m.Range) {
				next = append(next, s)
				continue
			}
			if s.Range.First < m.Range.First {
				next = append(next, Span{Range: key.Range{First: s.Range.First, Last: m.Range.First - 1}, Owner: s.Owner})
			}
			next = append(next, Span{Range: m.Range, Owner: m.To})
			if m.Range.Last < s.Range.Last {
				next = append(next, Span{Range: key.Range{First: m.Range.Last + 1, Last: s.Range.Last}, Owner: s.Owner})
			}
		}
		w.spans = next[:0:0]
		for _, s := range next {
			if n := len(w.spans); n > 0 && w.spans[n-1].Owner == s.Owner {
				w.spans[n-1].Range.Last = s.Range.Last
				continue
			}
			w.spans = append(w.spans, s)
		}
	}
}

// imbalance returns the utilization of the busiest target relative to the mean, by the
// true load.
func (w *sim) imbalance() float64 {
	const draws = 200000
	rng := w.rng
	work := make(map[place.Target]float64)
	for range draws {
		p := w.point()
		for _, s := range w.spans {
			if s.Range.Contains(p) {
				work[s.Owner]++
			}
		}
	}
	w.rng = rng
	var total, capacity, most float64
	for _, t := range w.targets {
		total += work[t.Name]
		capacity += t.Capacity
		most = max(most, work[t.Name]/t.Capacity)
	}
	return most / (total / capacity)
}

// TestSteadyLoad: a skewed load is balanced within seconds, and then noise causes few
// moves.
func TestSteadyLoad(t *testing.T) {
	for name, perSecond := range map[string]float64{"quiet": 200, "heavy": 450} {
		t.Run(name, func(t *testing.T) {
			w := newSim(19, perSecond)
			w.run(4 * time.Second)
			assert.Assert(t, w.imbalance() < 1.5, "imbalance %.2f", w.imbalance())
			w.moves, w.keys = 0, 0
			w.run(20 * time.Second)
			t.Logf("%d moves of %.2f of all keys, imbalance %.2f", w.moves, float64(w.keys)/key.Points, w.imbalance())
			assert.Assert(t, w.moves <= 30, "%d moves in 20 s", w.moves)
			assert.Assert(t, w.imbalance() < 1.5, "imbalance %.2f", w.imbalance())
		})
	}
}

// TestHotRange: two hundred keys get a third of all requests, five times what one
// target can do. They are spread over the targets within a second, and so is a second
// hot range after it.
func TestHotRange(t *testing.T) {
	w := newSim(19, 450)
	w.run(5 * time.Second)
	for _, hot := range []key.Range{{First: 30000, Last: 30199}, {First: 900, Last: 959}} {
		w.hot, w.share = hot, 0.35
		w.moves, w.keys = 0, 0
		w.run(time.Second)
		t.Logf("%d moves of %.2f of all keys, imbalance %.2f", w.moves, float64(w.keys)/key.Points, w.imbalance())
		assert.Assert(t, w.imbalance() < 2.5, "imbalance %.2f", w.imbalance())
		w.run(4 * time.Second)
		t.Logf("later: %d moves of %.2f of all keys, imbalance %.2f", w.moves, float64(w.keys)/key.Points, w.imbalance())
		assert.Assert(t, w.imbalance() < 1.5, "imbalance %.2f", w.imbalance())
		assert.Assert(t, w.moves <= 100, "%d moves", w.moves)
	}
}

// TestRecurringHotKeys: single keys become hot and cool again every few seconds, as
// under a heavy load. The averages of all other keys are kept: the targets without a
// hot key stay balanced.
func TestRecurringHotKeys(t *testing.T) {
	w := newSim(60, 1200)
	w.run(8 * time.Second)
	var sum float64
	const cycles = 6
	for i := range cycles {
		hot := key.Point(7000 + 9000*i)
		w.hot, w.share = key.Range{First: hot, Last: hot}, 0.35
		w.run(2500 * time.Millisecond)
		sum += w.utilizationSpread(hot)
		w.share = 0
		w.run(1500 * time.Millisecond)
	}
	t.Logf("utilization spread %.3f", sum/cycles)
	assert.Assert(t, sum/cycles < 0.16, "utilization spread %.3f", sum/cycles)
}

// utilizationSpread returns the coefficient of variation of the targets' utilization by
// the true load, without the owner of a hot key.
func (w *sim) utilizationSpread(hot key.Point) float64 {
	const draws = 200000
	share := w.share
	w.share = 0
	work := make(map[place.Target]float64)
	excluded := place.Target("")
	for _, s := range w.spans {
		if s.Range.Contains(hot) {
			excluded = s.Owner
		}
	}
	for range draws {
		p := w.point()
		i := sort.Search(len(w.spans), func(i int) bool { return w.spans[i].Range.Last >= p })
		work[w.spans[i].Owner]++
	}
	w.share = share
	var sum, squares, n float64
	for _, target := range w.targets {
		if target.Name == excluded {
			continue
		}
		utilization := work[target.Name] / target.Capacity
		sum, squares, n = sum+utilization, squares+utilization*utilization, n+1
	}
	mean := sum / n
	return math.Sqrt(squares/n-mean*mean) / mean
}

// TestOneHotKey: a single key has more than twice the work that any target can do. It
// stays in place, on one of the faster targets, and the keys beside it move elsewhere.
func TestOneHotKey(t *testing.T) {
	w := newSim(19, 400)
	w.run(5 * time.Second)
	w.hot, w.share = key.Range{First: 17490, Last: 17490}, 0.4
	w.run(2 * time.Second)
	w.moves = 0
	owners := map[place.Target]bool{}
	for range 30 {
		w.run(200 * time.Millisecond)
		for _, s := range w.spans {
			if s.Range.Contains(17490) {
				owners[s.Owner] = true
			}
		}
	}
	assert.Assert(t, len(owners) <= 2, "the key moved between %v", owners)
	for _, s := range w.spans {
		if !s.Range.Contains(17490) {
			continue
		}
		beside := w.load.Work(s.Range)
		alone := w.load.Work(key.Range{First: 17490, Last: 17490})
		assert.Assert(t, beside-alone < 0.3, "work of %.2f beside the key", beside-alone)
		for _, target := range w.targets {
			if target.Name == s.Owner {
				assert.Assert(t, target.Capacity >= 3, "the key is on a target with capacity %.1f", target.Capacity)
			}
		}
	}
	t.Logf("%d moves in 6 s", w.moves)
}

// TestBalanceBesideHotKey: a key with far more work than any target can do stays hot
// for seconds. The other targets are balanced all the same: work that no target can do
// does not count as work to share.
func TestBalanceBesideHotKey(t *testing.T) {
	w := newSim(60, 1200)
	w.run(2 * time.Second)
	w.hot, w.share = key.Range{First: 40000, Last: 40000}, 0.5
	w.rate *= 2
	w.run(10 * time.Second)
	spread := w.utilizationSpread(w.hot.First)
	t.Logf("utilization spread %.3f", spread)
	assert.Assert(t, spread < 0.13, "utilization spread %.3f", spread)
}
