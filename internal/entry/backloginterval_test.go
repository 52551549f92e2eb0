package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBacklogInterval: nine entry hosts share three slots of a target that takes
// 60 ms; one that counted its own slots alone admitted requests for a wait
// nine times as long as it took them for.
func TestBacklogInterval(t *testing.T) {
	start := time.Unix(0, 0)
	for name, test := range map[string]struct {
		every   time.Duration
		waiting bool
		want    time.Duration
	}{
		"nothing waits":          {180 * time.Millisecond, false, 0},
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

// TestBacklogIntervalIgnoresIdleTime: the time in which nothing waited says
// nothing of the target.
func TestBacklogIntervalIgnoresIdleTime(t *testing.T) {
	start := time.Unix(0, 0)
	var p backlogInterval
	p.add(start, true)
	p.add(start.Add(20*time.Millisecond), false)
	p.add(start.Add(time.Hour), true)
	p.add(start.Add(time.Hour+20*time.Millisecond), true)
	assert.Assert(t, p.estimate() <= 20*time.Millisecond)
}
