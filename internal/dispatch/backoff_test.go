package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// TestBackoffs checks that a signal applies to one incarnation of a target, and a pause
// for its duration.
func TestBackoffs(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		signals []target.Signal
		after   time.Duration
		inc     place.Incarnation
		leaving bool
		pause   time.Duration
	}{
		"no signal":            {[]target.Signal{{}}, 0, 1, false, 0},
		"a pause":              {[]target.Signal{{Pause: 3 * time.Second}}, time.Second, 1, false, 2 * time.Second},
		"a pause that is over": {[]target.Signal{{Pause: 3 * time.Second}}, 3 * time.Second, 1, false, 0},
		"the longer pause":     {[]target.Signal{{Pause: 3 * time.Second}, {Pause: time.Second}}, 0, 1, false, 3 * time.Second},
		"leaving stays":        {[]target.Signal{{Leaving: true}, {}}, time.Minute, 1, true, 0},
		"another incarnation":  {[]target.Signal{{Leaving: true, Pause: time.Minute}}, 0, 2, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBackoffs()
			for _, s := range test.signals {
				b.Record(start, "a", 1, s)
			}
			now := start.Add(test.after)
			leaving, pause := b.State(now, "a", test.inc)
			assert.Equal(t, !leaving.IsZero(), test.leaving)
			assert.Equal(t, pause, test.pause)
			rows := []place.TargetRow{{Target: "a", Incarnation: test.inc}, {Target: "b", Incarnation: 1}}
			assert.Equal(t, len(b.Excluded(now, rows)) > 0, test.leaving || test.pause > 0)
		})
	}
}

// TestDrainNoticeRepeats checks that the Drain for a leaving target is repeated, but not
// for each response.
func TestDrainNoticeRepeats(t *testing.T) {
	b, now, notices := NewBackoffs(), time.Unix(1000, 0), 0
	for range 100 {
		if b.Record(now, "a", 1, target.Signal{Leaving: true}) {
			notices++
		}
		now = now.Add(drainNoticeInterval / 20)
	}
	assert.Equal(t, notices, 5)
}

// TestLeavingRetained checks that the leaving signal of a target survives while the
// platform's list loses the target and lists it again.
func TestLeavingRetained(t *testing.T) {
	b, now := NewBackoffs(), time.Unix(1000, 0)
	b.Record(now, "a", 1, target.Signal{Leaving: true})
	b.Record(now, "b", 1, target.Signal{Pause: time.Second})
	none := func(place.Target) bool { return false }
	b.Prune(now.Add(time.Minute), none)
	leaving, _ := b.State(now.Add(time.Minute), "a", 1)
	assert.Assert(t, !leaving.IsZero())
	assert.Equal(t, len(b.targets), 1)
	b.Prune(now.Add(leavingRetention+time.Second), none)
	assert.Equal(t, len(b.targets), 0)
}
