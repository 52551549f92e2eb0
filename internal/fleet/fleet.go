// Package fleet tracks which targets are available. Targets list themselves in the
// platform's store; a missing entry may mean that its target has left, or only that the
// store was unavailable.
package fleet

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// List is the list of targets at one revision of the store.
type List struct {
	Targets []place.TargetRow
	// RecentOutage is true if the store was recently unavailable: entries that expired
	// in the outage come back within moments.
	RecentOutage bool
	// StoreStable is true if all reads of the store have succeeded for a while, so that
	// missing entries did not expire in an outage.
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

// Encode returns the list as hosts distribute it.
func (l *List) Encode() ([]byte, error) {
	w := wireList{RecentOutage: l.RecentOutage, StoreStable: l.StoreStable}
	for _, t := range l.Targets {
		w.Targets = append(w.Targets, wireTarget{
			Target: string(t.Target), Service: t.Service, Zone: string(t.Zone), State: uint8(t.State),
			Addr: t.Addr, Incarnation: uint64(t.Incarnation), Slots: t.Slots, WarmupLeft: t.WarmupLeft.Milliseconds(),
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("fleet: encode list: %w", err)
	}
	return body, nil
}

// Decode reads a list that Encode wrote.
func Decode(body []byte) (List, error) {
	var w wireList
	if err := compat.Unmarshal(body, &w); err != nil {
		return List{}, fmt.Errorf("fleet: decode list: %w", err)
	}
	l := List{RecentOutage: w.RecentOutage, StoreStable: w.StoreStable}
	for _, t := range w.Targets {
		l.Targets = append(l.Targets, place.TargetRow{
			Target: place.Target(t.Target), Service: t.Service, Zone: place.Zone(t.Zone), State: place.Liveness(t.State),
			Addr: t.Addr, Incarnation: place.Incarnation(t.Incarnation), Slots: t.Slots, WarmupLeft: time.Duration(t.WarmupLeft) * time.Millisecond,
		})
	}
	return l, nil
}

const (
	// missingGrace is how long a target is still used after its entry is gone. It
	// covers a list that was read in the middle of a change.
	missingGrace = 200 * time.Millisecond
	// outageGrace is the same after a store outage. The platform has the entries back
	// within two seconds.
	outageGrace = 2500 * time.Millisecond
)

// Tracker follows the lists over time. It is not safe for concurrent use.
type Tracker struct {
	targets map[place.Target]*trackedTarget
	// ended holds the incarnations that have left or disappeared, era is the era of the
	// last list.
	ended map[place.Target]endedTarget
	era   platform.Era
}

// endedTarget is an incarnation of a target that has ended.
type endedTarget struct {
	incarnation place.Incarnation
	// wasLeaving is true if the target had announced that it is leaving.
	wasLeaving bool
	// era and at are the era of the store and the time at which the entry was gone.
	era platform.Era
	at  time.Time
}

const (
	// endedRetention is how long the end of an incarnation is remembered. A store that
	// is restored from an older snapshot has lost only the writes of the last seconds.
	endedRetention = time.Minute
	// restoredHoldOff is how long an entry that came back with an older snapshot is
	// ignored. Targets renew their entries about once a second, and an entry expires
	// after three such periods without a renewal.
	restoredHoldOff = 4 * time.Second
)

type trackedTarget struct {
	place.TargetRow

	// leavingSince is when the target was first seen to be leaving.
	leavingSince time.Time
	// usableFrom is when a target that came back with an older snapshot is used again.
	usableFrom time.Time
	// removeAt is when a target with a missing entry is removed; zero while the entry
	// is there.
	removeAt time.Time
}

// NewTracker returns a tracker without targets.
func NewTracker() *Tracker {
	return &Tracker{targets: make(map[place.Target]*trackedTarget), ended: make(map[place.Target]endedTarget)}
}

// readmit reports whether the entry of a target that had ended is accepted, and from
// when on the target is used again; zero means at once.
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

// Update applies a newer list, read in the given era of the store.
func (t *Tracker) Update(now time.Time, l List, era platform.Era) {
	t.expire(now)
	t.era = max(t.era, era)
	listed := make(map[place.Target]bool, len(l.Targets))
	for _, row := range l.Targets {
		from, ok := t.readmit(now, &row)
		if !ok {
			continue
		}
		listed[row.Target] = true
		known := t.targets[row.Target]
		if known != nil && row.Incarnation < known.Incarnation {
			continue // late entry of an earlier incarnation
		}
		if known != nil && known.State == place.Leaving && row.Incarnation == known.Incarnation {
			row.State = place.Leaving // an incarnation that is leaving does not become live again
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
	if l.RecentOutage {
		grace = outageGrace
	}
	for name, row := range t.targets {
		switch {
		case listed[name]:
		case row.State == place.Leaving:
			row.removeAt = now
		case row.removeAt.IsZero():
			row.removeAt = now.Add(grace)
		case l.StoreStable:
			if end := now.Add(missingGrace); end.Before(row.removeAt) {
				row.removeAt = end
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

// Rows returns the targets that are available at now, sorted by name.
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

// Leaving returns the listed targets that are leaving, each with the time at which that was
// first seen.
func (t *Tracker) Leaving() map[place.Target]time.Time {
	out := make(map[place.Target]time.Time)
	for name, row := range t.targets {
		if row.State == place.Leaving {
			out[name] = row.leavingSince
		}
	}
	return out
}

// NextChange returns when Rows next changes without an update, or the zero time.
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
