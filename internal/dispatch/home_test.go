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

// TestServiceTime: the time of a class is known after a few requests, whatever it
// was at other targets, and is steady after many.
func TestServiceTime(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		before   time.Duration
		requests int
		took     time.Duration
		least    time.Duration
		most     time.Duration
	}{
		"the first one counts":     {requests: 1, took: 160 * ms, least: 160 * ms, most: 160 * ms},
		"others count beside it":   {before: 260 * ms, requests: 1, took: 160 * ms, least: 230 * ms, most: 250 * ms},
		"after a dozen":            {before: 260 * ms, requests: 12, took: 160 * ms, least: 160 * ms, most: 190 * ms},
		"after hundreds it sticks": {before: 160 * ms, requests: 300, took: 160 * ms, least: 159 * ms, most: 161 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			c := serviceTime{mean: test.before}
			if test.before > 0 {
				c.priorSamples = priorWeight
			}
			for range test.requests {
				c.add(test.took)
			}
			assert.Assert(t, c.mean >= test.least && c.mean <= test.most, "%v", c.mean)
		})
	}
}

// TestDominantMean: the time of a target is that of its usual requests. Rare ones
// that are over in a moment, such as those of routes just added, don't make it
// look fast; one that has served nothing yet has no time.
func TestDominantMean(t *testing.T) {
	const ms = time.Millisecond
	const usual, rare = 270 * ms, 30 * ms
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		usual, rare int
		used        bool
	}{
		"usual ones": {usual: 40, used: true},
		"and rare":   {usual: 40, rare: 3, used: true},
		// A target that has just begun, of which most is known by rare ones.
		"first ones": {usual: 1, rare: 6, used: true},
		"none yet":   {},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHome(nil)
			p := newPool(PoolID{Service: "s", Target: "t"}, h.observed, h.breakers)
			h.pools[p.id] = p
			p.setTargets(now, []place.TargetRow{{Target: "t", Service: "s", Slots: 3}})
			for range test.usual {
				p.class("usual").add(usual)
			}
			for i := range test.rare {
				p.class(traffic.RouteName(fmt.Sprint("rare-", i))).add(rare)
			}
			o := h.TargetStats(now)
			assert.Equal(t, len(o), 1)
			assert.Equal(t, o[0].Used, test.used)
			if test.used {
				assert.Assert(t, o[0].Mean > usual*9/10 && o[0].Mean <= usual, "%v", o[0].Mean)
			}
		})
	}
}

// TestBreaker: once some targets of a zone were out of reach, a host that is alone
// refuses what goes there at once, tries again now and then, and forgets it when
// one answers.
func TestBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newBreakers()
	for i, name := range []place.Target{"a", "b", "b", "c"} {
		assert.Assert(t, c.available(now, "z"), "after %d", i)
		c.connectFailed(now, "z", name)
	}
	assert.Assert(t, !c.available(now, "z"))
	assert.Assert(t, c.available(now, "y"))
	now = now.Add(breakerProbeInterval)
	assert.Assert(t, c.available(now, "z"))
	c.attempted(now, "z")
	assert.Assert(t, !c.available(now, "z"), "one probe at a time")
	c.reset("z")
	assert.Assert(t, c.available(now, "z"))
}

// TestBreakerLimitsAttempts: the zone of many targets is cut off together with the homes
// there. A few requests find out, the others are refused at once.
func TestBreakerLimitsAttempts(t *testing.T) {
	d := &isolatedHome{now: time.Unix(1000, 0)}
	d.home = NewHome(d)
	tried := 0
	for i := range 100 {
		d.now = d.now.Add(50 * time.Millisecond)
		pool := PoolID{Service: "s", Target: place.Target(fmt.Sprintf("t%d", i))}
		ask := Acquire{ID: TicketID(i + 1), Pool: pool, Isolated: true, Timeout: time.Second, SoftTimeout: time.Second}
		for _, l := range d.home.Handle(d.now, Peer{Host: "h", Incarnation: 1}, ask) {
			switch m := l.Message.(type) {
			case Assigned:
				tried++
				d.home.Handle(d.now, Peer{Host: "h", Incarnation: 1}, Done{ID: m.ID, Pool: pool, Result: ResultUnreachable})
			case Refused:
				assert.Equal(t, m.Reason, ReasonNoTarget)
				assert.Assert(t, m.RetryAfter > 0)
			}
		}
	}
	assert.Assert(t, tried <= 25, "%d of 100 requests were sent into the cut", tried)
	assert.Assert(t, tried >= 10, "only %d probes in five seconds", tried)
}

// isolatedHome has any target, each in the zone that is cut off.
type isolatedHome struct {
	now  time.Time
	home *Home
}

func (d *isolatedHome) Members(pool PoolID) []place.TargetRow {
	return []place.TargetRow{{Target: pool.Target, Zone: "cut", Slots: 3}}
}

// TestCapacityWeighting: three targets of different speeds get work by their capacity;
// more of it is on time than if each had the same use.
func TestCapacityWeighting(t *testing.T) {
	speeds := []float64{0.6, 1, 1.4}
	worth := func(weight func(speed float64) float64) float64 {
		var total, asked, got float64
		for _, s := range speeds {
			total += weight(s)
		}
		for _, s := range speeds {
			k := lookups.withRate(0.7 * 3 * 3 / lookups.work.Seconds() * weight(s) / total)
			for seed := range uint64(4) {
				for _, o := range simulate(simConfig{
					workloads: []workload{k}, speeds: []float64{s}, slots: 3, queue: 12, hosts: 6, duration: 30 * time.Second, seed: seed,
					pool: PoolID{Service: "s", Target: "t00"},
				}) {
					asked, got = asked+float64(o.sent), got+o.utility()*float64(o.sent)
				}
			}
		}
		return got / asked
	}
	even := worth(func(speed float64) float64 { return speed })
	tilted := worth(func(speed float64) float64 { return partition.Capacity(3, speed) })
	t.Logf("worth a request: %.3f at the same use, %.3f tilted", even, tilted)
	assert.Assert(t, tilted > even+0.005, "%.3f and %.3f", tilted, even)
}
