package owner

import (
	"time"

	"citrontray.example/citrontray/internal/evacuation"
	"citrontray.example/citrontray/internal/place"
)

// SetEvacuations sets the zones that are evacuated. Their targets get no ranges, and lose
// those that they have while there are other targets.
func (c *Core) SetEvacuations(s evacuation.State) { c.evacuation = s }

// OwnedIn returns the number of ranges that targets of a zone own or may own.
func (c *Core) OwnedIn(zone place.Zone) int {
	n := 0
	for _, r := range c.rows {
		if r.Target != "" && r.state != free && r.state != writing && c.targetRows[r.Target].Zone == zone {
			n++
		}
	}
	return n
}

// mayEvacuate reports whether ranges may leave evacuated zones now. A move that the store
// can't record is canceled, so none starts while the store is unavailable, and none without
// a target to move to.
func (c *Core) mayEvacuate(now time.Time) bool {
	if !c.evacuation.Any() || now.Before(c.frozenUntil) || !c.LeaseFresh(now) || now.Sub(c.reclaimedAt) <= reclaimPause {
		return false
	}
	return c.hasAlternative(now, "")
}

// evacuationDue reports whether a range has to leave the evacuated zone of its owner now.
func (c *Core) evacuationDue(now time.Time, r *row) bool {
	at, evacuated := c.evacuation.MoveAt(c.targetRows[r.Target].Zone, r.Range.First)
	return evacuated && !now.Before(at) && c.ownerLive(r)
}
