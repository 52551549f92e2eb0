package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSendUntil: a request is bounded by a stop only if it may outlast that, and then earlier
// the longer it takes.
func TestSendUntil(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		schedule *Schedule
		deadline time.Time
		work     time.Duration
		until    time.Time
		bounded  bool
	}{
		"no stop":                {nil, at(9000), time.Second, time.Time{}, false},
		"ends before":            {New(start, 6*time.Second), at(5300), time.Second, time.Time{}, false},
		"may outlast it":         {New(start, 6*time.Second), at(5301), time.Second, at(4150), true},
		"no time at the target":  {New(start, 6*time.Second), at(9000), 0, at(5150), true},
		"longer than the stop":   {New(start, 6*time.Second), at(30000), 8 * time.Second, at(-2850), true},
		"grace below the margin": {New(start, 500*time.Millisecond), at(9000), 0, at(-350), true},
	} {
		t.Run(name, func(t *testing.T) {
			until, bounded := test.schedule.SendUntil(test.deadline, test.work)
			assert.Equal(t, bounded, test.bounded)
			assert.Assert(t, until.Equal(test.until), "%v", until.Sub(start))
		})
	}
}

// TestWorkTimes: the longest time follows the samples, and covers their spread.
func TestWorkTimes(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		samples       []time.Duration
		least, longer time.Duration
	}{
		"none":         {nil, unknownWork, unknownWork},
		"one":          {[]time.Duration{100 * ms}, 250 * ms, 250 * ms},
		"steady":       {[]time.Duration{600 * ms}, 600 * ms, 610 * ms},
		"spread":       {[]time.Duration{200 * ms, 600 * ms}, 600 * ms, 1200 * ms},
		"rarely long":  {[]time.Duration{100 * ms, 100 * ms, 100 * ms, 900 * ms}, 900 * ms, 1900 * ms},
		"not measured": {[]time.Duration{0}, 0, ms},
	} {
		t.Run(name, func(t *testing.T) {
			w := NewWorkTimes()
			rounds := 60
			if name == "one" {
				rounds = 1
			}
			for range rounds {
				for _, took := range test.samples {
					w.Record("route", took)
				}
			}
			longest := w.Longest("route")
			assert.Assert(t, longest >= test.least && longest <= test.longer, "%v", longest)
		})
	}
}
