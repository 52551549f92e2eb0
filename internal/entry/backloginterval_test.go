package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBacklogInterval tests that the interval counts the requests of other entry hosts.
// Nine hosts share the three slots of a target that takes 60 ms per request. A host that
// assumes it has all slots admits requests for a wait nine times as long as it estimates.
func TestBacklogInterval(t *testing.T) {
	start := time.Unix(0, 0)
	for name, test := range map[string]struct {
		every   time.Duration
		waiting bool
		want    time.Duration
	}{
		"no request waits":       {180 * time.Millisecond, false, 0},
		"a ninth of three slots": {180 * time.Millisecond, true, 180 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var p backlogInterval
			for i := range 100 {
				p.add(start.Add(time.Duration(i)*test.every), test.waiting)
			}
			assert.Equal(t, p.estimate().Round(time.Millisecond), test.want)
		})
	}
}

// TestBacklogIntervalIgnoresIdleTime tests that time in which no request waited does not
// count, since it says nothing about the target.
func TestBacklogIntervalIgnoresIdleTime(t *testing.T) {
	start := time.Unix(0, 0)
	var p backlogInterval
	p.add(start, true)
	p.add(start.Add(20*time.Millisecond), false)
	p.add(start.Add(time.Hour), true)
	p.add(start.Add(time.Hour+20*time.Millisecond), true)
	assert.Assert(t, p.estimate() <= 20*time.Millisecond)
}
