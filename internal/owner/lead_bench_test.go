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

// BenchmarkLead is a second of a lead's decisions, with the load of its key space
// taken in and plans made, but without messages.
func BenchmarkLead(b *testing.B) {
	for _, targets := range []int{37, 164, 575, 1200} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			d := newDriver(targets)
			d.cfg.Plan = partition.Config{Moves: 12, Spans: 6, Imbalance: 0.1, Gap: 0.08}
			d.cfg.LevelMost, d.cfg.Renew, d.cfg.Publish, d.cfg.Pace = time.Second, 600*time.Millisecond, time.Second, 100*time.Millisecond
			rng := rand.New(rand.NewPCG(1, 2))
			var meter partition.Meter
			var load partition.Load
			measured := make(map[place.Target]partition.Target)
			speeds := []float64{0.7, 0.7, 1.6}
			for i := range targets {
				name := place.Target(fmt.Sprintf("t%d", i))
				measured[name] = partition.Target{Name: name, Capacity: partition.Capacity(3, speeds[i%3]), Doubt: 0.15}
			}
			second := func() {
				for range 5 {
					meter.Fade(d.now)
					for range targets {
						meter.Add(d.now, key.Point(rng.IntN(key.Points)), 1)
					}
					meter.Watch(d.now, d.Held())
					meter.Load(d.now, &load, 360*time.Millisecond)
					d.Load(&load, measured, nil)
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
