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
	simTargets = 20
	simShards  = 1024
	simHot     = 74
	simCold    = 20_000
	// simLoad is the number of busy slots, of three in each target.
	simLoad = 30.0
	// simShift is how often the whole hot set changes.
	simShift = time.Minute
)

var simStart = time.Unix(1_800_000_000, 0)

// world is a service under load, second by second.
type world struct {
	random *rand.Rand
	// offsets draws the arrival times within a second, apart from all else.
	offsets *rand.Rand
	now     time.Time
	layout  placement.Layout
	rowOf   map[key.Shard]int
	soloOf  map[key.Hash]key.Shard
	next    key.Shard
	cold    []key.Hash
	hot     []key.Hash
	share   []float64 // of the hot keys, in the whole load
	queues  map[int]*queue
	scene
}

// scene is what a run is about.
type scene struct {
	seed     uint64
	minutes  int
	hotShare float64
	// service is the time that one request takes: the longer, the fewer
	// requests make the same load, and the noisier it is.
	service time.Duration
	// steady keeps the hot set as it is.
	steady bool
	// joins is the second at which one more target joins; it is warm a minute
	// later.
	joins int
}

func newWorld(sc scene) *world {
	seed, hotShare := sc.seed, sc.hotShare
	w := &world{
		scene:  sc,
		random: rand.New(rand.NewPCG(seed, 0)), offsets: rand.New(rand.NewPCG(seed, 1)), now: simStart, next: simShards,
		rowOf: make(map[key.Shard]int), soloOf: make(map[key.Hash]key.Shard),
		queues: make(map[int]*queue),
	}
	for i := range simTargets {
		w.layout.Targets = append(w.layout.Targets, placement.TargetRow{Target: place.Target(fmt.Sprintf("t%02d", i)), Weight: 1})
	}
	for i := range simShards {
		w.rowOf[key.Shard(i)] = len(w.layout.Rows)
		w.layout.Rows = append(w.layout.Rows, placement.Row{Shard: key.Shard(i), Owner: w.rendezvous(key.Shard(i))})
	}
	for range simCold {
		w.cold = append(w.cold, key.Hash(w.random.Uint64()))
	}
	sum := 0.0
	for i := range simHot {
		w.share = append(w.share, 1/math.Sqrt(float64(i+1)))
		sum += w.share[i]
	}
	for i := range w.share {
		w.share[i] *= hotShare / sum
	}
	w.shift()
	return w
}

func (w *world) rendezvous(shard key.Shard) int {
	weight := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", w.layout.Targets[i].Target, shard)) }
	best := 0
	for i := range w.layout.Targets {
		if weight(i) > weight(best) {
			best = i
		}
	}
	return best
}

// shift makes other keys hot.
func (w *world) shift() {
	w.hot = w.hot[:0]
	for range simHot {
		w.hot = append(w.hot, key.Hash(w.random.Uint64()))
	}
}

func (w *world) join(second int) {
	if w.joins == 0 || second < w.joins {
		return
	}
	if second == w.joins {
		w.layout.Targets = append(w.layout.Targets, placement.TargetRow{Target: "new"})
	}
	since := simStart.Add(time.Duration(w.joins) * time.Second)
	w.layout.Targets[simTargets].Weight = placement.WarmWeight(w.now, since, time.Minute)
}

func (w *world) shardOf(h key.Hash) key.Shard {
	if shard, ok := w.soloOf[h]; ok {
		return shard
	}
	return h.Shard(simShards)
}

// step runs one second and returns the report of all entries together and the
// load that each target really had.
func (w *world) step() (placement.Report, []float64) {
	w.now = w.now.Add(time.Second)
	perSecond := simLoad / w.service.Seconds()
	requests := make(map[key.Shard]uint32)
	truth := make([]float64, len(w.layout.Targets))
	sketch := topk.New(2 * placement.MaxHot)
	count := func(h key.Hash, rate float64) {
		shard := w.shardOf(h)
		owner := w.layout.Rows[w.rowOf[shard]].Owner
		truth[owner] += rate * w.service.Seconds()
		n := w.poisson(rate)
		if n == 0 {
			return
		}
		w.arrive(owner, n)
		requests[shard] += n
		if shard < simShards {
			sketch.Add(h, uint64(n)*uint64(w.service))
		}
	}
	hotShare := 0.0
	for i, h := range w.hot {
		hotShare += w.share[i]
		count(h, perSecond*w.share[i])
	}
	for _, h := range w.cold {
		count(h, perSecond*(1-hotShare)/simCold)
	}
	for _, q := range w.queues {
		q.serve(w.service)
	}
	r := placement.Report{Period: time.Second}
	for shard, n := range requests {
		r.Shards = append(r.Shards, placement.ShardLoad{Shard: shard, Requests: n, Busy: time.Duration(n) * w.service})
	}
	slices.SortFunc(r.Shards, func(a, b placement.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	for _, item := range sketch.Top(placement.MaxHot) {
		r.Hot = append(r.Hot, placement.HotKey{Hash: item.Hash, Busy: time.Duration(item.Weight), Error: time.Duration(item.Error)})
	}
	return r, truth
}

// queue is a target's: its slots take requests in the order of arrival.
type queue struct {
	free      [3]time.Duration // when each slot is free, since the start
	arrivals  []time.Duration
	latencies []time.Duration
}

// arrive spreads n requests over the second that is being played.
func (w *world) arrive(owner int, n uint32) {
	q := w.queues[owner]
	if q == nil {
		q = &queue{}
		w.queues[owner] = q
	}
	for range n {
		q.arrivals = append(q.arrivals, w.now.Sub(simStart)+time.Duration(w.offsets.Int64N(int64(time.Second))))
	}
}

func (q *queue) serve(service time.Duration) {
	slices.Sort(q.arrivals)
	for _, at := range q.arrivals {
		slot := 0
		for i := range q.free {
			if q.free[i] < q.free[slot] {
				slot = i
			}
		}
		q.free[slot] = max(q.free[slot], at) + service
		q.latencies = append(q.latencies, q.free[slot]-at)
	}
	q.arrivals = q.arrivals[:0]
}

// p99 returns the latency that 99 of 100 requests stayed within.
func (w *world) p99() time.Duration {
	var all []time.Duration
	for _, q := range w.queues {
		all = append(all, q.latencies...)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

// poisson draws a count by its mean (Knuth for small, normal for large means).
func (w *world) poisson(mean float64) uint32 {
	if mean > 30 {
		return uint32(max(0, math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
	}
	limit, n := math.Exp(-mean), uint32(0)
	for product := w.random.Float64(); product > limit; product *= w.random.Float64() {
		n++
	}
	return n
}

// rejoin puts a solo key back into its shard and returns the moves of
// ownership that this takes.
func (w *world) rejoin(row int) int {
	solo := w.layout.Rows[row]
	parent := w.layout.Rows[w.rowOf[solo.Hash.Shard(simShards)]]
	delete(w.soloOf, solo.Hash)
	w.layout.Rows = slices.Delete(w.layout.Rows, row, row+1)
	for i, r := range w.layout.Rows {
		w.rowOf[r.Shard] = i
	}
	if parent.Owner == solo.Owner {
		return 0
	}
	return 1
}

// carryOut does what a cell does with a plan, and returns the moves of
// ownership and how many of them were of whole shards.
func (w *world) carryOut(plan []cell.PlannedMove) (moves, whole int) {
	for _, m := range plan {
		row := w.rowOf[m.Shard]
		if m.Join {
			moves += w.rejoin(row)
			continue
		}
		if m.Cut {
			w.soloOf[m.Solo] = w.next
			w.rowOf[w.next] = len(w.layout.Rows)
			w.layout.Rows = append(w.layout.Rows, placement.Row{Shard: w.next, Owner: w.layout.Rows[row].Owner, Solo: true, Hash: m.Solo})
			row = w.rowOf[w.next]
			w.next++
		}
		to := slices.IndexFunc(w.layout.Targets, func(t placement.TargetRow) bool { return t.Target == m.To })
		if to >= 0 && w.layout.Rows[row].Owner != to {
			w.layout.Rows[row].Owner = to
			moves++
			if !w.layout.Rows[row].Solo {
				whole++
			}
		}
	}
	return moves, whole
}
