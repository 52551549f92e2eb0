package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/placement"
	"citrontray.example/citrontray/internal/placement/topk"
)

const (
	simTargets  = 20
	simShards   = 1024
	simHotKeys  = 74
	simColdKeys = 20_000
	// simLoad is the total load in slots. Each target has three slots.
	simLoad = 30.0
	// simHotSetPeriod is the time after which the whole hot set changes.
	simHotSetPeriod = time.Minute
)

var simStart = time.Unix(1_800_000_000, 0)

// sim simulates a service under load in steps of a second.
type sim struct {
	rng *rand.Rand
	// arrivalRNG is used only for arrival times within a second.
	arrivalRNG      *rand.Rand
	now             time.Time
	layout          placement.Layout
	rowIndex        map[key.Shard]int
	singleKeyShards map[key.Hash]key.Shard
	nextShard       key.Shard
	cold            []key.Hash
	hot             []key.Hash
	hotShares       []float64 // of the total load, by hot key
	queues          map[int]*queue
	scenario
}

// scenario holds the parameters of a run.
type scenario struct {
	seed     uint64
	minutes  int
	hotShare float64
	// serviceTime is the service time of a request. The longer it is, the fewer
	// requests make up the same load, and the more noise it has.
	serviceTime time.Duration
	// steady keeps the hot set unchanged.
	steady bool
	// joinSecond is the second at which one more target joins, whose warm-up takes a
	// minute. Zero means that none joins.
	joinSecond int
}

func newSim(sc scenario) *sim {
	seed, hotShare := sc.seed, sc.hotShare
	w := &sim{
		scenario: sc,
		rng:      rand.New(rand.NewPCG(seed, 0)), arrivalRNG: rand.New(rand.NewPCG(seed, 1)), now: simStart, nextShard: simShards,
		rowIndex: make(map[key.Shard]int), singleKeyShards: make(map[key.Hash]key.Shard),
		queues: make(map[int]*queue),
	}
	for i := range simTargets {
		w.layout.Targets = append(w.layout.Targets, placement.TargetRow{Target: place.Target(fmt.Sprintf("t%02d", i)), Weight: 1})
	}
	for i := range simShards {
		w.rowIndex[key.Shard(i)] = len(w.layout.Rows)
		w.layout.Rows = append(w.layout.Rows, placement.Row{Shard: key.Shard(i), Owner: w.rendezvous(key.Shard(i))})
	}
	for range simColdKeys {
		w.cold = append(w.cold, key.Hash(w.rng.Uint64()))
	}
	sum := 0.0
	for i := range simHotKeys {
		w.hotShares = append(w.hotShares, 1/math.Sqrt(float64(i+1)))
		sum += w.hotShares[i]
	}
	for i := range w.hotShares {
		w.hotShares[i] *= hotShare / sum
	}
	w.replaceHotSet()
	return w
}

func (w *sim) rendezvous(shard key.Shard) int {
	weight := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", w.layout.Targets[i].Target, shard)) }
	best := 0
	for i := range w.layout.Targets {
		if weight(i) > weight(best) {
			best = i
		}
	}
	return best
}

// replaceHotSet replaces all hot keys by new random ones.
func (w *sim) replaceHotSet() {
	w.hot = w.hot[:0]
	for range simHotKeys {
		w.hot = append(w.hot, key.Hash(w.rng.Uint64()))
	}
}

func (w *sim) join(second int) {
	if w.joinSecond == 0 || second < w.joinSecond {
		return
	}
	if second == w.joinSecond {
		w.layout.Targets = append(w.layout.Targets, placement.TargetRow{Target: "new"})
	}
	since := simStart.Add(time.Duration(w.joinSecond) * time.Second)
	w.layout.Targets[simTargets].Weight = placement.WarmupWeight(w.now, since, time.Minute)
}

func (w *sim) shardOf(h key.Hash) key.Shard {
	if shard, ok := w.singleKeyShards[h]; ok {
		return shard
	}
	return h.Shard(simShards)
}

// runSecond simulates one second. It returns one report for all entries and the expected
// load of each target.
func (w *sim) runSecond() (placement.Report, []float64) {
	w.now = w.now.Add(time.Second)
	perSecond := simLoad / w.serviceTime.Seconds()
	requests := make(map[key.Shard]uint32)
	truth := make([]float64, len(w.layout.Targets))
	sketch := topk.New(2 * placement.MaxHotKeys)
	count := func(h key.Hash, rate float64) {
		shard := w.shardOf(h)
		owner := w.layout.Rows[w.rowIndex[shard]].Owner
		truth[owner] += rate * w.serviceTime.Seconds()
		n := w.poissonCount(rate)
		if n == 0 {
			return
		}
		w.addArrivals(owner, n)
		requests[shard] += n
		if shard < simShards {
			sketch.Add(h, uint64(n)*uint64(w.serviceTime))
		}
	}
	hotShare := 0.0
	for i, h := range w.hot {
		hotShare += w.hotShares[i]
		count(h, perSecond*w.hotShares[i])
	}
	for _, h := range w.cold {
		count(h, perSecond*(1-hotShare)/simColdKeys)
	}
	for _, q := range w.queues {
		q.serve(w.serviceTime)
	}
	r := placement.Report{Period: time.Second}
	for shard, n := range requests {
		r.Shards = append(r.Shards, placement.ShardLoad{Shard: shard, Requests: n, Busy: time.Duration(n) * w.serviceTime})
	}
	slices.SortFunc(r.Shards, func(a, b placement.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	for _, item := range sketch.Top(placement.MaxHotKeys) {
		r.HotKeys = append(r.HotKeys, placement.HotKey{Hash: item.Hash, Busy: time.Duration(item.Weight), Error: time.Duration(item.Error)})
	}
	return r, truth
}

// queue is the FIFO queue of a target with three slots.
type queue struct {
	freeAt    [3]time.Duration // when each slot becomes free, since the start
	arrivals  []time.Duration
	latencies []time.Duration
}

// addArrivals adds n requests at random times of the current second.
func (w *sim) addArrivals(owner int, n uint32) {
	q := w.queues[owner]
	if q == nil {
		q = &queue{}
		w.queues[owner] = q
	}
	for range n {
		q.arrivals = append(q.arrivals, w.now.Sub(simStart)+time.Duration(w.arrivalRNG.Int64N(int64(time.Second))))
	}
}

func (q *queue) serve(service time.Duration) {
	slices.Sort(q.arrivals)
	for _, at := range q.arrivals {
		slot := 0
		for i := range q.freeAt {
			if q.freeAt[i] < q.freeAt[slot] {
				slot = i
			}
		}
		q.freeAt[slot] = max(q.freeAt[slot], at) + service
		q.latencies = append(q.latencies, q.freeAt[slot]-at)
	}
	q.arrivals = q.arrivals[:0]
}

// p99 returns the 99th percentile of the latency.
func (w *sim) p99() time.Duration {
	var all []time.Duration
	for _, q := range w.queues {
		all = append(all, q.latencies...)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// poissonCount draws from a Poisson distribution: by Knuth's algorithm for small means,
// by the normal approximation for large ones.
func (w *sim) poissonCount(mean float64) uint32 {
	if mean > 30 {
		return uint32(max(0, math.Round(mean+math.Sqrt(mean)*w.rng.NormFloat64())))
	}
	limit, n := math.Exp(-mean), uint32(0)
	for product := w.rng.Float64(); product > limit; product *= w.rng.Float64() {
		n++
	}
	return n
}

// mergeKey merges a single key into its parent shard. It returns the number of changes of
// owner, 0 or 1.
func (w *sim) mergeKey(row int) int {
	single := w.layout.Rows[row]
	parent := w.layout.Rows[w.rowIndex[single.Hash.Shard(simShards)]]
	delete(w.singleKeyShards, single.Hash)
	w.layout.Rows = slices.Delete(w.layout.Rows, row, row+1)
	for i, r := range w.layout.Rows {
		w.rowIndex[r.Shard] = i
	}
	if parent.Owner == single.Owner {
		return 0
	}
	return 1
}

// applyPlan applies a plan as a cell would. It returns the number of changes of owner and
// how many of them were of hash-range shards.
func (w *sim) applyPlan(plan []cell.PlannedMove) (moves, whole int) {
	for _, m := range plan {
		row := w.rowIndex[m.Shard]
		if m.Merge {
			moves += w.mergeKey(row)
			continue
		}
		if m.Split {
			w.singleKeyShards[m.HotKey] = w.nextShard
			w.rowIndex[w.nextShard] = len(w.layout.Rows)
			w.layout.Rows = append(w.layout.Rows, placement.Row{Shard: w.nextShard, Owner: w.layout.Rows[row].Owner, SingleKey: true, Hash: m.HotKey})
			row = w.rowIndex[w.nextShard]
			w.nextShard++
		}
		to := slices.IndexFunc(w.layout.Targets, func(t placement.TargetRow) bool { return t.Target == m.To })
		if to >= 0 && w.layout.Rows[row].Owner != to {
			w.layout.Rows[row].Owner = to
			moves++
			if !w.layout.Rows[row].SingleKey {
				whole++
			}
		}
	}
	return moves, whole
}
