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
	// maxOpen bounds the calls in flight; beyond it arrivals are dropped and
	// counted.
	maxOpen      = 20000
	payloadBytes = 64
)

// Generator makes the load of a plan at random times, whether or not earlier
// calls have ended.
type Generator struct {
	plan   Plan
	caller *caller
	result *Result
	prefix string
	random *rand.Rand

	open    atomic.Int64
	mu      sync.Mutex
	hot     HotSet
	factor  float64
	made    uint64
	waiting sync.WaitGroup
}

// NewGenerator returns a generator. Prefix starts the id of each operation; a
// run and its seed make the same calls each time.
func NewGenerator(plan Plan, balancer *Balancer, prefix string, seed uint64) *Generator {
	return &Generator{
		plan:   plan,
		caller: newCaller(balancer),
		result: NewResult(),
		prefix: prefix,
		random: rand.New(rand.NewPCG(seed, seed)),
		hot:    plan.Hot,
		factor: 1,
	}
}

// SetHot replaces the hot set.
func (g *Generator) SetHot(hot HotSet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = hot
}

// SetFactor multiplies the plan's rate.
func (g *Generator) SetFactor(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor = factor
}

// Run makes calls until ctx ends, then waits for those in flight.
func (g *Generator) Run(ctx context.Context) error {
	ticker := time.NewTicker(arrivalTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case now := <-ticker.C:
			g.arrive(now, now.Sub(last))
			last = now
		case <-ctx.Done():
			g.waiting.Wait()
			return nil
		}
	}
}

// Result returns the record of all calls.
func (g *Generator) Result() *Result { return g.result }

// arrive starts the calls that fell due in the time since the last tick.
func (g *Generator) arrive(now time.Time, since time.Duration) {
	g.mu.Lock()
	hot, factor := g.hot, g.factor
	g.mu.Unlock()
	for range poisson(g.random, g.plan.PerSecond()*factor*since.Seconds()) {
		due := now.Add(-time.Duration(g.random.Float64() * float64(since)))
		if g.open.Load() >= maxOpen {
			g.result.drop()
			continue
		}
		g.open.Add(1)
		next := g.next(hot, due)
		g.waiting.Go(func() { g.run(next) })
	}
}

// next makes up one call.
func (g *Generator) next(hot HotSet, due time.Time) call {
	g.made++
	stream := g.plan.pick(g.random)
	c := call{
		stream:    stream,
		key:       g.plan.key(g.random, stream, hot),
		operation: g.prefix + strconv.FormatUint(g.made, 36),
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

// run makes one call and records its end.
func (g *Generator) run(c call) {
	defer g.open.Add(-1)
	end := g.caller.make(context.Background(), c)
	shard := key.HashOf(c.key).Shard(g.plan.Shards[c.stream.Service])
	g.result.record(c, shard, end, time.Now())
}

// poisson returns a Poisson-distributed number with the given mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean > 500 { // a normal approximation; exp(-mean) would be too small
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	limit, product, n := math.Exp(-mean), r.Float64(), 0
	for product > limit {
		product *= r.Float64()
		n++
	}
	return n
}
