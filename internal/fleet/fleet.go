// Package fleet follows which targets are there. Targets list themselves in the
// platform's service; an entry that is gone may mean that its target has left,
// or only that the service was away.
package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// List is the list of targets at one revision of the store.
type List struct {
	Targets []place.TargetRow
	// RecentOutage tells that the store was out of reach a moment ago: entries that
	// lapsed meanwhile come back within moments.
	RecentOutage bool
	// StoreStable tells that the store has answered each read for a while: entries
	// that are missing have not lapsed in an outage.
	StoreStable bool
}

type wireList struct {
	Targets      []wireTarget `cbor:"1,keyasint"`
	RecentOutage bool         `cbor:"2,keyasint,omitempty"`
	StoreStable  bool         `cbor:"3,keyasint,omitempty"`
}

type wireTarget struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Service     string
	Zone        string
	State       uint8
	Addr        netip.AddrPort
	Incarnation uint64
	Slots       int
	WarmupLeft  int64
}

// Encode returns the list as hosts pass it on.
func (d *List) Encode() ([]byte, error) {
	w := wireList{RecentOutage: d.RecentOutage, StoreStable: d.StoreStable}
	for _, t := range d.Targets {
		w.Targets = append(w.Targets, wireTarget{
			Target: string(t.Target), Service: t.Service, Zone: string(t.Zone), State: uint8(t.State),
			Addr: t.Addr, Incarnation: uint64(t.Incarnation), Slots: t.Slots, WarmupLeft: t.WarmupLeft.Milliseconds(),
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("fleet: encode: %w", err)
	}
	return body, nil
}

// Decode reads what Encode wrote.
func Decode(body []byte) (List, error) {
	var w wireList
	if err := cbor.Unmarshal(body, &w); err != nil {
		return List{}, fmt.Errorf("fleet: decode: %w", err)
	}
	d := List{RecentOutage: w.RecentOutage, StoreStable: w.StoreStable}
	for _, t := range w.Targets {
		d.Targets = append(d.Targets, place.TargetRow{
			Target: place.Target(t.Target), Service: t.Service, Zone: place.Zone(t.Zone), State: place.Liveness(t.State),
			Addr: t.Addr, Incarnation: place.Incarnation(t.Incarnation), Slots: t.Slots, WarmupLeft: time.Duration(t.WarmupLeft) * time.Millisecond,
		})
	}
	return d, nil
}

const (
	// missingGrace is how long a target whose entry is gone is still used: long
	// enough for a list that was read in the middle of a change.
	missingGrace = 200 * time.Millisecond
	// outageGrace is the same after the store was away. The platform has
	// entries back within two seconds.
	outageGrace = 2500 * time.Millisecond
)

// Tracker follows the lists over time. It is not safe for concurrent use.
type Tracker struct {
	targets map[place.Target]*trackedTarget
	// ended are the lives that have left or gone, and era that of the last list.
	ended map[place.Target]endedTarget
	era   platform.Era
}

// endedTarget is the end of one life of a target.
type endedTarget struct {
	incarnation place.Incarnation
	// wasLeaving tells that it had said that it leaves.
	wasLeaving bool
	// era is that of the store when its entry was gone, at the time of that.
	era platform.Era
	at  time.Time
}

const (
	// endedRetention is how long the end of a life is remembered: a store that comes back
	// from an older copy has lost some seconds.
	endedRetention = time.Minute
	// restoredHoldOff is how long an entry that is back with such a copy is not gone by:
	// without a sign of its target, which writes about once a second, it lapses after
	// three times that.
	restoredHoldOff = 4 * time.Second
)

type trackedTarget struct {
	place.TargetRow

	// leavingSince is when its notice was first seen.
	leavingSince time.Time
	// usableFrom is when a target that is back with a copy of the store is used again.
	usableFrom time.Time
	// removeAt is when a target whose entry is gone is no longer used; zero
	// while the entry is there.
	removeAt time.Time
}

// NewTracker returns a tracker that knows no target.
func NewTracker() *Tracker {
	return &Tracker{targets: make(map[place.Target]*trackedTarget), ended: make(map[place.Target]endedTarget)}
}

// readmit returns from when on a target that had ended is used again, zero for at
// once, and whether it may come back at all.
func (t *Tracker) readmit(now time.Time, row *place.TargetRow) (from time.Time, ok bool) {
	e, known := t.ended[row.Target]
	delete(t.ended, row.Target)
	if !known || e.incarnation != row.Incarnation || now.Sub(e.at) > endedRetention {
		return time.Time{}, true
	}
	if e.wasLeaving {
		t.ended[row.Target] = e
		return time.Time{}, false
	}
	if t.era > e.era {
		return now.Add(restoredHoldOff), true
	}
	return time.Time{}, true
}

// Update takes over a newer list, of a store in an era.
func (t *Tracker) Update(now time.Time, d List, era platform.Era) {
	t.expire(now)
	t.era = max(t.era, era)
	listed := make(map[place.Target]bool, len(d.Targets))
	for _, row := range d.Targets {
		from, ok := t.readmit(now, &row)
		if !ok {
			continue
		}
		listed[row.Target] = true
		known := t.targets[row.Target]
		if known != nil && row.Incarnation < known.Incarnation {
			continue // a late word of an earlier life
		}
		if known != nil && known.State == place.Leaving && row.Incarnation == known.Incarnation {
			row.State = place.Leaving // a life that leaves does not come back
		}
		next := &trackedTarget{TargetRow: row, usableFrom: from}
		if known != nil && known.Incarnation == row.Incarnation {
			next.usableFrom = known.usableFrom
		}
		if row.State == place.Leaving {
			next.leavingSince = now
			if known != nil && known.State == place.Leaving && known.Incarnation == row.Incarnation {
				next.leavingSince = known.leavingSince
			}
		}
		t.targets[row.Target] = next
	}
	grace := missingGrace
	if d.RecentOutage {
		grace = outageGrace
	}
	for name, row := range t.targets {
		switch {
		case listed[name]:
		case row.State == place.Leaving:
			row.removeAt = now
		case row.removeAt.IsZero():
			row.removeAt = now.Add(grace)
		case d.StoreStable:
			if sure := now.Add(missingGrace); sure.Before(row.removeAt) {
				row.removeAt = sure
			}
		}
	}
	t.expire(now)
}

func (t *Tracker) expire(now time.Time) {
	for name, row := range t.targets {
		if !now.Before(row.usableFrom) {
			row.usableFrom = time.Time{}
		}
		if !row.removeAt.IsZero() && !now.Before(row.removeAt) {
			t.ended[name] = endedTarget{row.Incarnation, row.State == place.Leaving, t.era, now}
			delete(t.targets, name)
		}
	}
}

// Rows returns the targets that are there at now, sorted by name.
func (t *Tracker) Rows(now time.Time) []place.TargetRow {
	t.expire(now)
	out := make([]place.TargetRow, 0, len(t.targets))
	for _, row := range t.targets {
		if row.usableFrom.IsZero() {
			out = append(out, row.TargetRow)
		}
	}
	slices.SortFunc(out, func(a, b place.TargetRow) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// NextChange returns when Rows changes by itself, or the zero time.
func (t *Tracker) NextChange() time.Time {
	var next time.Time
	for _, row := range t.targets {
		for _, at := range []time.Time{row.removeAt, row.usableFrom} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}
