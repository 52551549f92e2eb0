package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestMissing: how long a target is used whose entry is missing depends on what
// the watchers know of the store. One that was turned away alone must not make
// hosts keep what another one has surely seen go.
func TestMissing(t *testing.T) {
	row := place.TargetRow{Target: "t", Born: 1, State: place.Live}
	leaving := row
	leaving.State = place.Leaving
	there, gone := Doc{Targets: []place.TargetRow{row}}, Doc{}
	unsure, steady := Doc{Unsure: true}, Doc{Steady: true}
	const step = 100 * time.Millisecond // between two lists
	tests := map[string]struct {
		lists []Doc
		grace time.Duration // after the first list without it
	}{
		"gone":                          {[]Doc{there, gone}, graceSure},
		"gone after its notice":         {[]Doc{{Targets: []place.TargetRow{leaving}}, gone}, 0},
		"store was away":                {[]Doc{there, unsure}, graceUnsure},
		"store was away, is read anew":  {[]Doc{there, unsure, gone}, graceUnsure},
		"another watcher surely knows":  {[]Doc{there, unsure, steady}, step + graceSure},
		"another one, then this again":  {[]Doc{there, unsure, steady, unsure}, step + graceSure},
		"surely gone, then store away":  {[]Doc{there, steady, unsure}, graceSure},
		"one watcher's store was never": {[]Doc{there, unsure, unsure, unsure}, graceUnsure},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := NewTracker()
			tracker.Update(now, test.lists[0], 0)
			missing := now.Add(step)
			for _, d := range test.lists[1:] {
				now = now.Add(step)
				tracker.Update(now, d, 0)
			}
			end := missing.Add(test.grace)
			if test.grace > 0 {
				assert.Equal(t, tracker.NextChange(), end)
			}
			assert.Equal(t, len(tracker.Rows(end.Add(-time.Millisecond))) == 1, test.grace > 0)
			assert.Equal(t, len(tracker.Rows(end)), 0)
		})
	}
}

// TestOlderCopy: a store that comes back from an older copy brings entries of targets
// that have left or gone with it.
func TestOlderCopy(t *testing.T) {
	row := place.TargetRow{Target: "t", Born: 1, State: place.Live}
	leaving, again := row, row
	leaving.State, again.Born = place.Leaving, 2
	list := func(r place.TargetRow) Doc { return Doc{Targets: []place.TargetRow{r}} }
	const step = time.Second
	type listed struct {
		Doc
		era platform.Era
	}
	for name, test := range map[string]struct {
		lists []listed
		// want is the state a step after the last list, later that when a copy's entry
		// of a dead target would have lapsed.
		want, later place.Liveness
	}{
		"leaves, by the copy not yet":   {[]listed{{list(leaving), 1}, {list(row), 2}}, place.Leaving, place.Leaving},
		"left, back with the copy":      {[]listed{{list(leaving), 1}, {Doc{}, 1}, {list(row), 2}}, place.Absent, place.Absent},
		"left, started again":           {[]listed{{list(leaving), 1}, {Doc{}, 1}, {list(again), 2}}, place.Live, place.Live},
		"gone, back with the copy":      {[]listed{{list(row), 1}, {Doc{}, 1}, {list(row), 2}}, place.Absent, place.Live},
		"gone, back in the same era":    {[]listed{{list(row), 1}, {Doc{}, 1}, {list(row), 1}}, place.Live, place.Live},
		"gone, back and gone":           {[]listed{{list(row), 1}, {Doc{}, 1}, {list(row), 2}, {Doc{}, 2}}, place.Absent, place.Absent},
		"there all the while":           {[]listed{{list(row), 1}, {list(row), 2}}, place.Live, place.Live},
		"leaves and is called off":      {[]listed{{list(leaving), 1}, {list(row), 1}}, place.Leaving, place.Leaving},
		"started again while it leaves": {[]listed{{list(leaving), 1}, {list(again), 1}}, place.Live, place.Live},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := NewTracker()
			for _, l := range test.lists {
				tracker.Update(now, l.Doc, l.era)
				now = now.Add(step)
			}
			state := func(now time.Time) place.Liveness {
				rows := tracker.Rows(now)
				if len(rows) == 0 {
					return place.Absent
				}
				return rows[0].State
			}
			assert.Equal(t, state(now), test.want)
			assert.Equal(t, state(now.Add(copyFor)), test.later)
		})
	}
}
