package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestMissingTarget: how long a target is used whose entry is missing depends on what
// the watchers know of the store. One that was turned away alone must not make
// hosts keep what another one has surely seen go.
func TestMissingTarget(t *testing.T) {
	row := place.TargetRow{Target: "t", Incarnation: 1, State: place.Live}
	leaving := row
	leaving.State = place.Leaving
	there, gone := List{Targets: []place.TargetRow{row}}, List{}
	unsure, steady := List{RecentOutage: true}, List{StoreStable: true}
	const step = 100 * time.Millisecond // between two lists
	tests := map[string]struct {
		lists []List
		grace time.Duration // after the first list without it
	}{
		"gone":                          {[]List{there, gone}, missingGrace},
		"gone after its notice":         {[]List{{Targets: []place.TargetRow{leaving}}, gone}, 0},
		"store was away":                {[]List{there, unsure}, outageGrace},
		"store was away, is read anew":  {[]List{there, unsure, gone}, outageGrace},
		"another watcher surely knows":  {[]List{there, unsure, steady}, step + missingGrace},
		"another one, then this again":  {[]List{there, unsure, steady, unsure}, step + missingGrace},
		"surely gone, then store away":  {[]List{there, steady, unsure}, missingGrace},
		"one watcher's store was never": {[]List{there, unsure, unsure, unsure}, outageGrace},
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

// TestRestoredEntries: a store that comes back from an older copy brings entries of targets
// that have left or gone with it.
func TestRestoredEntries(t *testing.T) {
	row := place.TargetRow{Target: "t", Incarnation: 1, State: place.Live}
	leaving, again := row, row
	leaving.State, again.Incarnation = place.Leaving, 2
	list := func(r place.TargetRow) List { return List{Targets: []place.TargetRow{r}} }
	const step = time.Second
	type listed struct {
		List
		era platform.Era
	}
	for name, test := range map[string]struct {
		lists []listed
		// want is the state a step after the last list, later that when a copy's entry
		// of a dead target would have lapsed.
		want, later place.Liveness
	}{
		"leaves, by the copy not yet":   {[]listed{{list(leaving), 1}, {list(row), 2}}, place.Leaving, place.Leaving},
		"left, back with the copy":      {[]listed{{list(leaving), 1}, {List{}, 1}, {list(row), 2}}, place.Absent, place.Absent},
		"left, started again":           {[]listed{{list(leaving), 1}, {List{}, 1}, {list(again), 2}}, place.Live, place.Live},
		"gone, back with the copy":      {[]listed{{list(row), 1}, {List{}, 1}, {list(row), 2}}, place.Absent, place.Live},
		"gone, back in the same era":    {[]listed{{list(row), 1}, {List{}, 1}, {list(row), 1}}, place.Live, place.Live},
		"gone, back and gone":           {[]listed{{list(row), 1}, {List{}, 1}, {list(row), 2}, {List{}, 2}}, place.Absent, place.Absent},
		"there all the while":           {[]listed{{list(row), 1}, {list(row), 2}}, place.Live, place.Live},
		"leaves and is called off":      {[]listed{{list(leaving), 1}, {list(row), 1}}, place.Leaving, place.Leaving},
		"started again while it leaves": {[]listed{{list(leaving), 1}, {list(again), 1}}, place.Live, place.Live},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := NewTracker()
			for _, l := range test.lists {
				tracker.Update(now, l.List, l.era)
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
			assert.Equal(t, state(now.Add(restoredHoldOff)), test.later)
		})
	}
}
