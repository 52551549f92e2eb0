package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/placement"
)

// simResult is the result of a run.
type simResult struct {
	mean, p95, worst float64 // of the busiest target's load divided by the mean
	movesPerMinute   float64
	wholePerMinute   float64 // of hash-range shards
	maxPerMinute     int
	lastMinute       int // moves in the last minute
	singleKeys       int
	p99              time.Duration
	newTargetRatio   float64 // load of the last target divided by the mean, at the end
}

// simulate runs a scenario. Without a planner the layout stays that by rendezvous hashing.
func simulate(sc scenario, cfg placement.Config, p *placement.Planner) simResult {
	w := newSim(sc)
	loads := placement.NewLoads()
	var imbalance []float64
	var starts []time.Time
	var out simResult
	for second := range sc.minutes * 60 {
		if !sc.steady && second > 0 && second%int(simHotSetPeriod.Seconds()) == 0 {
			w.replaceHotSet()
		}
		w.join(second)
		report, truth := w.runSecond()
		imbalance = append(imbalance, slices.Max(truth)/(simLoad/simTargets))
		if p == nil {
			continue
		}
		loads.Add(w.now, report)
		moves, whole := w.applyPlan(p.Plan(w.now, cfg, w.layout, loads))
		out.wholePerMinute += float64(whole) / float64(sc.minutes)
		for range moves {
			starts = append(starts, w.now)
		}
		recent := 0
		for _, at := range starts {
			if w.now.Sub(at) < time.Minute {
				recent++
			}
		}
		out.maxPerMinute, out.lastMinute = max(out.maxPerMinute, recent), recent
	}
	out.p99 = w.p99()
	_, truth := w.runSecond()
	out.newTargetRatio = truth[len(truth)-1] / (simLoad / float64(len(truth)))
	out.singleKeys = len(w.singleKeyShards)
	out.movesPerMinute = float64(len(starts)) / float64(sc.minutes)
	slices.Sort(imbalance)
	for _, x := range imbalance {
		out.mean += x / float64(len(imbalance))
	}
	out.p95, out.worst = imbalance[len(imbalance)*95/100], imbalance[len(imbalance)-1]
	return out
}

func (o simResult) String() string {
	return fmt.Sprintf("imbalance mean %.2f p95 %.2f worst %.2f, moves a minute %.1f (shards %.1f, max %d), single keys %d, p99 %v",
		o.mean, o.p95, o.worst, o.movesPerMinute, o.wholePerMinute, o.maxPerMinute, o.singleKeys, o.p99.Round(time.Millisecond/10))
}

// TestAgainstRendezvous compares placement with the static layout by rendezvous hashing,
// while all 74 hot keys are replaced every minute.
func TestAgainstRendezvous(t *testing.T) {
	const minutes = 3
	for _, hotShare := range []float64{0.3, 0.6} {
		for _, budget := range []int{10, 30, 60} {
			if testing.Short() && (hotShare != 0.6 || budget != 30) {
				continue
			}
			t.Run(fmt.Sprintf("hot share %.1f, %d moves a minute", hotShare, budget), func(t *testing.T) {
				cfg := placement.Config{ImbalancePercent: 20, MovesPerMinute: budget, Shards: simShards}
				sc := scenario{seed: 1, minutes: minutes, hotShare: hotShare, serviceTime: 10 * time.Millisecond}
				static := simulate(sc, cfg, nil)
				planned := simulate(sc, cfg, placement.NewPlanner())
				t.Logf("static:  %s", static)
				t.Logf("planned: %s", planned)
				assert.Assert(t, planned.maxPerMinute <= budget)
				assert.Assert(t, planned.mean < static.mean)
				assert.Assert(t, planned.p99 < static.p99)
			})
		}
	}
}

// TestSteadyLoadSettles checks that under a steady load, noise causes no more moves after
// the first minutes, however few requests make up the load.
func TestSteadyLoadSettles(t *testing.T) {
	for name, service := range map[string]time.Duration{
		"3000 requests a second": 10 * time.Millisecond,
		"300 requests a second":  100 * time.Millisecond,
		"30 requests a second":   time.Second,
	} {
		if testing.Short() && service != 100*time.Millisecond {
			continue
		}
		t.Run(name, func(t *testing.T) {
			cfg := placement.Config{ImbalancePercent: 20, MovesPerMinute: 60, Shards: simShards}
			sc := scenario{seed: 1, minutes: 4, hotShare: 0.3, serviceTime: service, steady: true}
			out := simulate(sc, cfg, placement.NewPlanner())
			t.Logf("%s, last minute %d moves", out, out.lastMinute)
			assert.Assert(t, out.lastMinute <= 1)
		})
	}
}

// TestNewTargetReceivesLoad adds a target to a service whose load is even without it.
func TestNewTargetReceivesLoad(t *testing.T) {
	cfg := placement.Config{ImbalancePercent: 40, MovesPerMinute: 30, Shards: simShards}
	sc := scenario{seed: 1, minutes: 4, hotShare: 0.3, serviceTime: 10 * time.Millisecond, steady: true, joinSecond: 90}
	out := simulate(sc, cfg, placement.NewPlanner())
	t.Logf("%s, new target at %.2f of the mean, last minute %d moves", out, out.newTargetRatio, out.lastMinute)
	assert.Assert(t, out.newTargetRatio > 0.6)
	assert.Assert(t, out.lastMinute <= 2)
}

// TestManyHotSets runs so long that more keys become hot than there may be single keys.
func TestManyHotSets(t *testing.T) {
	minutes := 12
	if testing.Short() {
		minutes = 3
	}
	cfg := placement.Config{ImbalancePercent: 20, MovesPerMinute: 30, Shards: simShards}
	sc := scenario{seed: 1, minutes: minutes, hotShare: 0.6, serviceTime: 10 * time.Millisecond}
	static, planned := simulate(sc, cfg, nil), simulate(sc, cfg, placement.NewPlanner())
	t.Logf("static:  %s", static)
	t.Logf("planned: %s", planned)
	assert.Assert(t, planned.mean < static.mean)
}
