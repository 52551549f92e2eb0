package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
)

// BenchmarkLeader measures one simulated second of a leader's decisions, including the
// load and the plans but no messages.
func BenchmarkLeader(b *testing.B) {
	for _, targets := range []int{37, 164, 575, 1200} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			d := newDriver(targets)
			d.cfg.Plan = partition.Config{MaxMoves: 12, MaxSpans: 6, MaxImbalance: 0.1, MinGap: 0.08}
			d.cfg.MaxRebalanceInterval, d.cfg.RenewInterval, d.cfg.MaxPublishInterval, d.cfg.MinPublishInterval = time.Second, 600*time.Millisecond, time.Second, 100*time.Millisecond
			rng := rand.New(rand.NewPCG(1, 2))
			var meter partition.Meter
			var load partition.Load
			measured := make(map[place.Target]partition.Target)
			speeds := []float64{0.7, 0.7, 1.6}
			for i := range targets {
				name := place.Target(fmt.Sprintf("t%d", i))
				measured[name] = partition.Target{Name: name, Capacity: partition.Capacity(3, speeds[i%3]), RelStdDev: 0.15}
			}
			second := func() {
				for range 5 {
					meter.Decay(d.now)
					for range targets {
						meter.Add(d.now, key.Point(rng.IntN(key.Points)), 1)
					}
					meter.DetectChanges(d.now, d.Ranges())
					meter.Load(d.now, &load, 360*time.Millisecond)
					d.SetLoad(&load, measured, nil)
					d.run(200 * time.Millisecond)
				}
				d.tables, d.notes = nil, nil
			}
			for range 15 {
				second()
			}
			b.ReportMetric(float64(len(d.rows)), "rows")
			for b.Loop() {
				second()
			}
		})
	}
}
