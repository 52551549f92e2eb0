package load

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	arrivalTick = time.Millisecond
	// maxInFlight bounds the calls in flight. Arrivals beyond it are dropped and
	// counted.
	maxInFlight  = 8000
	payloadBytes = 64
	// probeInterval is the time between probes of a shard that is not served, which
	// detect the end of its outage; maxProbes bounds their number.
	probeInterval = 200 * time.Millisecond
	maxProbes     = 150
	// maxProbedShards bounds the shards that are probed at a time, so that probes add
	// little load during an overload.
	maxProbedShards = 64
)

// Generator generates the open-loop load of a plan: calls start at random times, whether
// or not earlier calls have ended.
type Generator struct {
	plan   Plan
	caller *caller
	result *Result
	prefix string
	random *rand.Rand

	inFlight   atomic.Int64
	mu         sync.Mutex
	hot        HotSet
	factor     float64
	operations atomic.Uint64
	probing    map[shardID]bool
	calls      sync.WaitGroup
}

// NewGenerator returns a generator. Operation IDs start with prefix. The seed determines
// the random choices.
func NewGenerator(plan Plan, balancer *Balancer, prefix string, seed uint64) *Generator {
	return &Generator{
		plan:    plan,
		caller:  newCaller(balancer),
		result:  NewResult(),
		prefix:  prefix,
		random:  rand.New(rand.NewPCG(seed, seed)),
		hot:     plan.Hot,
		factor:  1,
		probing: make(map[shardID]bool),
	}
}

// SetHot replaces the hot set.
func (g *Generator) SetHot(hot HotSet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = hot
}

// SetFactor sets the factor that multiplies the plan's rate.
func (g *Generator) SetFactor(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor = factor
}

// Run starts calls until ctx is done, then waits for those in flight.
func (g *Generator) Run(ctx context.Context) error {
	ticker := time.NewTicker(arrivalTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case now := <-ticker.C:
			g.startDue(ctx, now, now.Sub(last))
			last = now
		case <-ctx.Done():
			g.calls.Wait()
			return nil
		}
	}
}

// Result returns the results of all calls.
func (g *Generator) Result() *Result { return g.result }

// startDue starts the calls that became due since the last tick.
func (g *Generator) startDue(ctx context.Context, now time.Time, since time.Duration) {
	g.mu.Lock()
	hot, factor := g.hot, g.factor
	g.mu.Unlock()
	for range poisson(g.random, g.plan.PerSecond()*factor*since.Seconds()) {
		due := now.Add(-time.Duration(g.random.Float64() * float64(since)))
		if g.inFlight.Load() >= maxInFlight {
			g.result.countDropped()
			continue
		}
		g.inFlight.Add(1)
		next := g.newCall(hot, due)
		g.calls.Go(func() { g.run(ctx, next) })
	}
}

// newCall returns a random call.
func (g *Generator) newCall(hot HotSet, due time.Time) call {
	stream := g.plan.randomStream(g.random)
	c := call{
		stream:    stream,
		key:       g.plan.randomKey(g.random, stream, hot),
		operation: g.newOperation(),
		due:       due,
	}
	if !stream.Idempotent {
		c.payload = make([]byte, payloadBytes)
		for i := range c.payload {
			c.payload[i] = byte(g.random.Uint32())
		}
	}
	return c
}

// newOperation returns a new operation ID.
func (g *Generator) newOperation() string {
	return g.prefix + strconv.FormatUint(g.operations.Add(1), 36)
}

// run makes one call and records its result. If its shard was not served, it probes the
// shard until it is served or ctx is done.
func (g *Generator) run(ctx context.Context, c call) {
	defer g.inFlight.Add(-1)
	end := g.caller.do(context.Background(), c)
	at := g.shardOf(c)
	g.result.record(c, at.shard, end, time.Now())
	if end.state != endDone && !isLoadShed(end.reason) && g.startProbe(at) {
		defer g.endProbe(at)
		g.probe(ctx, c, at)
	}
}

// probe sends calls for the same key until one is done. It starts them without waiting for
// earlier ones, as a probe can hang on a frozen target.
func (g *Generator) probe(ctx context.Context, c call, at shardID) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var served atomic.Bool
	for range maxProbes {
		next := c // each probe is a separate call
		select {
		case now := <-ticker.C:
			next.operation, next.due, next.probe = g.newOperation(), now, true
		case <-ctx.Done():
			return
		}
		if served.Load() {
			return
		}
		g.calls.Go(func() { g.runProbe(next, at, &served) })
	}
}

// runProbe makes one probe and sets served if it is done.
func (g *Generator) runProbe(c call, at shardID, served *atomic.Bool) {
	end := g.caller.do(context.Background(), c)
	g.result.record(c, at.shard, end, time.Now())
	if end.state == endDone {
		served.Store(true)
	}
}

func (g *Generator) shardOf(c call) shardID {
	service := c.stream.Service
	return shardID{service: service, shard: key.HashOf(c.key).Shard(g.plan.Shards[service])}
}

// startProbe reserves the shard for probing and reports whether the caller may probe it.
func (g *Generator) startProbe(at shardID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probing[at] || len(g.probing) >= maxProbedShards {
		return false
	}
	g.probing[at] = true
	return true
}

func (g *Generator) endProbe(at shardID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.probing, at)
}

// poisson returns a Poisson-distributed number with the given mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean > 500 { // normal approximation, as exp(-mean) would be too small
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), r.Float64(), 0
	for product > limit {
		product *= r.Float64()
		n++
	}
	return n
}
