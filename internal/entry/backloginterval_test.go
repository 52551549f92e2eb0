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
			var b backlogInterval
			for i := range 100 {
				b.add(start.Add(time.Duration(i)*test.every), test.waiting)
			}
			assert.Equal(t, b.estimate().Round(time.Millisecond), test.want)
		})
	}
}

// TestBacklogIntervalIgnoresIdleTime tests that time in which no request waited does not
// count, since it does not depend on the target's speed.
func TestBacklogIntervalIgnoresIdleTime(t *testing.T) {
	start := time.Unix(0, 0)
	var b backlogInterval
	b.add(start, true)
	b.add(start.Add(20*time.Millisecond), false)
	b.add(start.Add(time.Hour), true)
	b.add(start.Add(time.Hour+20*time.Millisecond), true)
	assert.Assert(t, b.estimate() <= 20*time.Millisecond)
}
