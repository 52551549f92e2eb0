package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

// TestServiceTime checks that the mean follows a class's samples within a few
// requests, whatever the prior is, and is steady after many.
func TestServiceTime(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		prior    time.Duration
		requests int
		took     time.Duration
		lowest   time.Duration
		highest  time.Duration
	}{
		"first sample, no prior":  {requests: 1, took: 160 * ms, lowest: 160 * ms, highest: 160 * ms},
		"prior weighs more first": {prior: 260 * ms, requests: 1, took: 160 * ms, lowest: 230 * ms, highest: 250 * ms},
		"after a dozen requests":  {prior: 260 * ms, requests: 12, took: 160 * ms, lowest: 160 * ms, highest: 190 * ms},
		"steady after hundreds":   {prior: 160 * ms, requests: 300, took: 160 * ms, lowest: 159 * ms, highest: 161 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			s := serviceTime{mean: test.prior}
			if test.prior > 0 {
				s.priorSamples = priorWeight
			}
			for range test.requests {
				s.add(test.took)
			}
			assert.Assert(t, s.mean >= test.lowest && s.mean <= test.highest, "%v", s.mean)
		})
	}
}

// TestDominantMean checks that the reported mean is that of the class with most of the
// work. Rare short requests, such as those of new routes, must not lower the mean of a
// target. A target without requests has no mean.
func TestDominantMean(t *testing.T) {
	const ms = time.Millisecond
	const usual, rare = 270 * ms, 30 * ms
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		usual, rare int
		used        bool
	}{
		"only usual":     {usual: 40, used: true},
		"usual and rare": {usual: 40, rare: 3, used: true},
		// A target that has just started, with most samples from rare requests.
		"mostly rare at first": {usual: 1, rare: 6, used: true},
		"no requests":          {},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHome(nil)
			p := newPool(PoolID{Service: "s", Target: "t"}, h.observed, h.breakers, h.limits)
			h.pools[p.id] = p
			p.setTargets(now, []place.TargetRow{{Target: "t", Service: "s", Slots: 3}})
			for range test.usual {
				p.class("usual").add(usual)
			}
			for i := range test.rare {
				p.class(traffic.RouteName(fmt.Sprint("rare-", i))).add(rare)
			}
			stats := h.TargetStats(now)
			assert.Equal(t, len(stats), 1)
			assert.Equal(t, stats[0].Used, test.used)
			if test.used {
				assert.Assert(t, stats[0].Mean > usual*9/10 && stats[0].Mean <= usual, "%v", stats[0].Mean)
			}
		})
	}
}

// TestStallIgnoresOrder checks that the slowdown of a target with stalled requests is that
// of the longest one, in whatever order they are looked at.
func TestStallIgnoresOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	for range 100 {
		s := newTargetState(place.TargetRow{Target: "t", Slots: 3}, now)
		for i, stalled := range []time.Duration{3, 5, 4} {
			s.running[ticketKey{id: TicketID(i)}] = &ticket{started: now.Add(-stalled * time.Second), mean: time.Second, confirmedAt: now}
		}
		assert.Equal(t, s.timeFactor(now), 5.0)
	}
}

// TestBreaker checks that a zone's breaker opens after failures at breakerThreshold
// distinct targets, admits one probe per interval, and closes on a response.
func TestBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBreakers()
	for i, name := range []place.Target{"a", "b", "b", "c"} {
		assert.Assert(t, b.available(now, "z"), "after %d", i)
		b.connectFailed(now, "z", name)
	}
	assert.Assert(t, !b.available(now, "z"))
	assert.Assert(t, b.available(now, "y"))
	now = now.Add(breakerProbeInterval)
	assert.Assert(t, b.available(now, "z"))
	b.attempted(now, "z")
	assert.Assert(t, !b.available(now, "z"), "one probe at a time")
	b.reset("z")
	assert.Assert(t, b.available(now, "z"))
}

// TestBreakerLimitsAttempts sends requests for many targets of a partitioned zone from
// an isolated host. A few of them probe the zone, the others are refused at once.
func TestBreakerLimitsAttempts(t *testing.T) {
	h := &isolatedHome{now: time.Unix(1000, 0)}
	h.home = NewHome(h)
	sent := 0
	for i := range 100 {
		h.now = h.now.Add(50 * time.Millisecond)
		pool := PoolID{Service: "s", Target: place.Target(fmt.Sprintf("t%d", i))}
		acquire := Acquire{ID: TicketID(i + 1), Pool: pool, Isolated: true, Timeout: time.Second, SoftTimeout: time.Second}
		for _, out := range h.home.Handle(h.now, Peer{Host: "h", Incarnation: 1}, acquire) {
			switch m := out.Message.(type) {
			case Assigned:
				sent++
				h.home.Handle(h.now, Peer{Host: "h", Incarnation: 1}, Done{ID: m.ID, Pool: pool, Result: ResultUnreachable})
			case Refused:
				assert.Equal(t, m.Reason, ReasonNoTarget)
				assert.Assert(t, m.RetryAfter > 0)
			}
		}
	}
	assert.Assert(t, sent <= 25, "%d of 100 requests were sent to the partitioned zone", sent)
	assert.Assert(t, sent >= 10, "only %d probes in five seconds", sent)
}

// isolatedHome is a home and its Catalog, in which every target is in one zone.
type isolatedHome struct {
	onlyHome

	now  time.Time
	home *Home
}

func (h *isolatedHome) Members(pool PoolID) []place.TargetRow {
	return []place.TargetRow{{Target: pool.Target, Zone: "cut", Slots: 3}}
}

// TestCapacityWeighting compares two ways to divide work among targets of different
// speeds: by capacity, more requests are on time than at equal utilization.
func TestCapacityWeighting(t *testing.T) {
	speeds := []float64{0.6, 1, 1.4}
	utilityOf := func(weight func(speed float64) float64) float64 {
		var total, requests, sum float64
		for _, s := range speeds {
			total += weight(s)
		}
		for _, s := range speeds {
			w := lookups.withRate(0.7 * 3 * 3 / lookups.work.Seconds() * weight(s) / total)
			for seed := range uint64(4) {
				for _, result := range simulate(simConfig{
					workloads: []workload{w}, speeds: []float64{s}, slots: 3, queue: 12, hosts: 6, duration: 30 * time.Second, seed: seed,
					pool: PoolID{Service: "s", Target: "t00"},
				}) {
					requests, sum = requests+float64(result.sent), sum+result.utility()*float64(result.sent)
				}
			}
		}
		return sum / requests
	}
	even := utilityOf(func(speed float64) float64 { return speed })
	byCapacity := utilityOf(func(speed float64) float64 { return partition.Capacity(3, speed) })
	t.Logf("utility per request: %.3f at equal utilization, %.3f by capacity", even, byCapacity)
	assert.Assert(t, byCapacity > even+0.005, "%.3f and %.3f", byCapacity, even)
}

// TestDrainOfEarlierIncarnation checks that the leaving signal of an earlier incarnation
// of a target, or a repetition of it that arrives late, does not stop the present one.
func TestDrainOfEarlierIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		incarnation place.Incarnation
		leaving     bool
	}{
		"earlier":        {1, false},
		"present":        {2, true},
		"not yet listed": {3, true},
		"not stated":     {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHome(&oneRow{row: place.TargetRow{Target: "t", Slots: 3, Incarnation: 2, State: place.Live}})
			pool := PoolID{Service: "s"}
			h.Handle(now, Peer{Host: "h", Incarnation: 1}, Drain{Pool: pool, Target: "t", Incarnation: test.incarnation})
			assert.Equal(t, h.pools[pool].targets["t"].leaving, test.leaving)
		})
	}
}

// TestSlowTargetIsTriedAgain: a target that was too slow for a deadline gets a request again once it
// is idle and its last sample is old, one at a time. Its estimate refused all requests, so that no
// sample corrected it.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		idle  time.Duration
		tried bool
	}{
		"at once":          {probeInterval / 2, false},
		"after a while":    {probeInterval, true},
		"after many times": {10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHome(&oneRow{row: place.TargetRow{Target: "t", Slots: 3, Incarnation: 2, State: place.Live}})
			from, pool := Peer{Host: "h", Incarnation: 1}, PoolID{Service: "s"}
			for range 20 {
				h.Observe("c", 30*time.Millisecond)
			}
			ask := func(now time.Time, id TicketID, timeout time.Duration) (assigned bool) {
				for _, m := range h.Handle(now, from, Acquire{ID: id, Pool: pool, Class: "c", Timeout: timeout, SoftTimeout: timeout}) {
					_, ok := m.Message.(Assigned)
					assigned = assigned || ok
				}
				return assigned
			}
			now := start
			for id := range TicketID(20) {
				assert.Assert(t, ask(now, id, time.Hour))
				now = now.Add(3 * time.Second)
				h.Handle(now, from, Done{ID: id, Pool: pool, Target: "t", Class: "c", Result: ResultServed, Took: 3 * time.Second})
			}
			const timeout = 100 * time.Millisecond
			now = now.Add(test.idle)
			assert.Equal(t, ask(now, 100, timeout), test.tried)
			assert.Assert(t, !ask(now, 101, timeout))
			now = now.Add(30 * time.Millisecond)
			h.Handle(now, from, Done{ID: 100, Pool: pool, Target: "t", Class: "c", Result: ResultServed, Took: 30 * time.Millisecond})
			assert.Equal(t, ask(now, 102, 10*time.Second), true, "by the new sample")
			assert.Equal(t, h.pools[pool].targets["t"].slowdown <= 1, test.tried)
		})
	}
}

// TestShortenedAcquire: a queued Acquire that is sent again with an earlier deadline is refused at
// once if it is not expected to end by then; one that was delayed on its way keeps its own.
func TestShortenedAcquire(t *testing.T) {
	const work = 500 * time.Millisecond
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		timeout time.Duration
		refused bool
	}{
		"as before": {9990 * time.Millisecond, false},
		"in time":   {5 * time.Second, false},
		"too short": {600 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHome(&oneRow{row: place.TargetRow{Target: "t", Slots: 1, Incarnation: 2, State: place.Live}})
			from, pool := Peer{Host: "h", Incarnation: 1}, PoolID{Service: "s"}
			ask := func(now time.Time, id TicketID, timeout time.Duration) []PeerMessage {
				return h.Handle(now, from, Acquire{ID: id, Pool: pool, Class: "c", Timeout: timeout, SoftTimeout: timeout})
			}
			const requests = 4
			for id := range TicketID(requests) {
				h.Observe("c", work)
				ask(start, id, 10*time.Second)
			}
			refused := false
			for _, m := range ask(start.Add(10*time.Millisecond), requests-1, test.timeout) {
				_, ok := m.Message.(Refused)
				refused = refused || ok
			}
			assert.Equal(t, refused, test.refused)
		})
	}
}
