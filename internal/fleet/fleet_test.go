package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestMissingTarget: how long a target with a missing entry is still used depends on
// whether the watchers could read the store. If the store was unavailable to only one
// watcher, its lists must not make hosts keep a target that was missing while the store
// was stable for another watcher.
func TestMissingTarget(t *testing.T) {
	row := place.TargetRow{Target: "t", Incarnation: 1, State: place.Live}
	leaving := row
	leaving.State = place.Leaving
	listed, gone := List{Targets: []place.TargetRow{row}}, List{}
	outage, stable := List{RecentOutage: true}, List{StoreStable: true}
	const step = 100 * time.Millisecond // between two lists
	tests := map[string]struct {
		lists []List
		grace time.Duration // after the first list without the target
	}{
		"gone":                                    {[]List{listed, gone}, missingGrace},
		"gone while leaving":                      {[]List{{Targets: []place.TargetRow{leaving}}, gone}, 0},
		"store outage":                            {[]List{listed, outage}, outageGrace},
		"store outage, then a read":               {[]List{listed, outage, gone}, outageGrace},
		"another watcher's store is stable":       {[]List{listed, outage, stable}, step + missingGrace},
		"stable for another watcher, then outage": {[]List{listed, outage, stable, outage}, step + missingGrace},
		"stable store, then outage":               {[]List{listed, stable, outage}, missingGrace},
		"outage in all lists":                     {[]List{listed, outage, outage, outage}, outageGrace},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := NewTracker()
			tracker.Update(now, test.lists[0], 0)
			missing := now.Add(step)
			for _, l := range test.lists[1:] {
				now = now.Add(step)
				tracker.Update(now, l, 0)
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

// TestRestoredEntries: a store that is restored from an older snapshot also restores
// the entries of targets that have left or disappeared since.
func TestRestoredEntries(t *testing.T) {
	row := place.TargetRow{Target: "t", Incarnation: 1, State: place.Live}
	leaving, second := row, row
	leaving.State, second.Incarnation = place.Leaving, 2
	list := func(r place.TargetRow) List { return List{Targets: []place.TargetRow{r}} }
	const step = time.Second
	type listed struct {
		List
		era platform.Era
	}
	for name, test := range map[string]struct {
		lists []listed
		// want is the state a step after the last list, later the state when the
		// restored entry of an ended target would have expired.
		want, later place.Liveness
	}{
		"leaving, live in the snapshot":       {[]listed{{list(leaving), 1}, {list(row), 2}}, place.Leaving, place.Leaving},
		"left, restored with the snapshot":    {[]listed{{list(leaving), 1}, {List{}, 1}, {list(row), 2}}, place.Absent, place.Absent},
		"left, restarted":                     {[]listed{{list(leaving), 1}, {List{}, 1}, {list(second), 2}}, place.Live, place.Live},
		"missing, restored with the snapshot": {[]listed{{list(row), 1}, {List{}, 1}, {list(row), 2}}, place.Absent, place.Live},
		"missing, back in the same era":       {[]listed{{list(row), 1}, {List{}, 1}, {list(row), 1}}, place.Live, place.Live},
		"missing, restored, missing again":    {[]listed{{list(row), 1}, {List{}, 1}, {list(row), 2}, {List{}, 2}}, place.Absent, place.Absent},
		"listed throughout":                   {[]listed{{list(row), 1}, {list(row), 2}}, place.Live, place.Live},
		"leaving, then listed as live":        {[]listed{{list(leaving), 1}, {list(row), 1}}, place.Leaving, place.Leaving},
		"restarted while leaving":             {[]listed{{list(leaving), 1}, {list(second), 1}}, place.Live, place.Live},
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
