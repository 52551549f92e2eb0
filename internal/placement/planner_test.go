package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/placement"
)

// outcome sums up one run.
type outcome struct {
	mean, p95, worst float64 // of the busiest target's load over the mean
	movesPerMinute   float64
	wholePerMinute   float64 // of them, of whole shards
	mostInMinute     int
	lastMinute       int // moves in the last minute
	solos            int
	p99              time.Duration
	newTarget        float64 // load of the last target over the mean, at the end
}

// play runs a world for some minutes; a planner of nil keeps the rendezvous
// layout.
func play(sc scene, cfg placement.Config, p *placement.Planner) outcome {
	w := newWorld(sc)
	loads := placement.NewLoads()
	var imbalance []float64
	var starts []time.Time
	var out outcome
	for second := range sc.minutes * 60 {
		if !sc.steady && second > 0 && second%int(simShift.Seconds()) == 0 {
			w.shift()
		}
		w.join(second)
		report, truth := w.step()
		imbalance = append(imbalance, slices.Max(truth)/(simLoad/simTargets))
		if p == nil {
			continue
		}
		loads.Add(w.now, report)
		moves, whole := w.carryOut(p.Plan(w.now, cfg, w.layout, loads))
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
		out.mostInMinute, out.lastMinute = max(out.mostInMinute, recent), recent
	}
	out.p99 = w.p99()
	_, truth := w.step()
	out.newTarget = truth[len(truth)-1] / (simLoad / float64(len(truth)))
	out.solos = len(w.soloOf)
	out.movesPerMinute = float64(len(starts)) / float64(sc.minutes)
	slices.Sort(imbalance)
	for _, x := range imbalance {
		out.mean += x / float64(len(imbalance))
	}
	out.p95, out.worst = imbalance[len(imbalance)*95/100], imbalance[len(imbalance)-1]
	return out
}

func (o outcome) String() string {
	return fmt.Sprintf("imbalance mean %.2f p95 %.2f worst %.2f, moves a minute %.1f (shards %.1f, most %d), solo keys %d, p99 %v",
		o.mean, o.p95, o.worst, o.movesPerMinute, o.wholePerMinute, o.mostInMinute, o.solos, o.p99.Round(time.Millisecond/10))
}

// TestAgainstRendezvous compares placement with the static rendezvous layout,
// in one run, while 74 hot keys are replaced by others each minute.
func TestAgainstRendezvous(t *testing.T) {
	const minutes = 3
	for _, hotShare := range []float64{0.3, 0.6} {
		for _, budget := range []int{10, 30, 60} {
			if testing.Short() && (hotShare != 0.6 || budget != 30) {
				continue
			}
			t.Run(fmt.Sprintf("hot share %.1f, %d moves a minute", hotShare, budget), func(t *testing.T) {
				cfg := placement.Config{ImbalancePercent: 20, MovesPerMinute: budget, Shards: simShards}
				sc := scene{seed: 1, minutes: minutes, hotShare: hotShare, service: 10 * time.Millisecond}
				static := play(sc, cfg, nil)
				planned := play(sc, cfg, placement.NewPlanner())
				t.Logf("static:  %s", static)
				t.Logf("planned: %s", planned)
				assert.Assert(t, planned.mostInMinute <= budget)
				assert.Assert(t, planned.mean < static.mean)
				assert.Assert(t, planned.p99 < static.p99)
			})
		}
	}
}

// TestSteadyLoadSettles plays a load that does not change: after the first
// minutes, chance alone moves nothing, however few requests make the load.
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
			sc := scene{seed: 1, minutes: 4, hotShare: 0.3, service: service, steady: true}
			out := play(sc, cfg, placement.NewPlanner())
			t.Logf("%s, last minute %d moves", out, out.lastMinute)
			assert.Assert(t, out.lastMinute <= 1)
		})
	}
}

// TestNewTargetGetsItsPart adds a target to a service that is even without it.
func TestNewTargetGetsItsPart(t *testing.T) {
	cfg := placement.Config{ImbalancePercent: 40, MovesPerMinute: 30, Shards: simShards}
	sc := scene{seed: 1, minutes: 4, hotShare: 0.3, service: 10 * time.Millisecond, steady: true, joins: 90}
	out := play(sc, cfg, placement.NewPlanner())
	t.Logf("%s, new target at %.2f of the mean, last minute %d moves", out, out.newTarget, out.lastMinute)
	assert.Assert(t, out.newTarget > 0.6)
	assert.Assert(t, out.lastMinute <= 2)
}

// TestManyHotSets plays a long time in which more keys become hot than there
// may be solo keys.
func TestManyHotSets(t *testing.T) {
	minutes := 12
	if testing.Short() {
		minutes = 3
	}
	cfg := placement.Config{ImbalancePercent: 20, MovesPerMinute: 30, Shards: simShards}
	sc := scene{seed: 1, minutes: minutes, hotShare: 0.6, service: 10 * time.Millisecond}
	static, planned := play(sc, cfg, nil), play(sc, cfg, placement.NewPlanner())
	t.Logf("static:  %s", static)
	t.Logf("planned: %s", planned)
	assert.Assert(t, planned.mean < static.mean)
}
