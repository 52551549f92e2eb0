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

// Doc is the list of targets at one revision of the store.
type Doc struct {
	Targets []place.TargetRow
	// Unsure tells that the store was out of reach a moment ago: entries that
	// lapsed meanwhile come back within moments.
	Unsure bool
	// Steady tells that the store has answered each read for a while: entries
	// that are missing have not lapsed in an outage.
	Steady bool
}

type wireDoc struct {
	Targets []wireTarget `cbor:"1,keyasint"`
	Unsure  bool         `cbor:"2,keyasint,omitempty"`
	Steady  bool         `cbor:"3,keyasint,omitempty"`
}

type wireTarget struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Service string
	Zone    string
	State   uint8
	Addr    netip.AddrPort
	Born    uint64
	Slots   int
	Warming int64
}

// Encode returns the list as hosts pass it on.
func (d *Doc) Encode() ([]byte, error) {
	w := wireDoc{Unsure: d.Unsure, Steady: d.Steady}
	for _, t := range d.Targets {
		w.Targets = append(w.Targets, wireTarget{
			Target: string(t.Target), Service: t.Service, Zone: string(t.Zone), State: uint8(t.State),
			Addr: t.Addr, Born: uint64(t.Born), Slots: t.Slots, Warming: t.Warming.Milliseconds(),
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("fleet: encode: %w", err)
	}
	return body, nil
}

// Decode reads what Encode wrote.
func Decode(body []byte) (Doc, error) {
	var w wireDoc
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Doc{}, fmt.Errorf("fleet: decode: %w", err)
	}
	d := Doc{Unsure: w.Unsure, Steady: w.Steady}
	for _, t := range w.Targets {
		d.Targets = append(d.Targets, place.TargetRow{
			Target: place.Target(t.Target), Service: t.Service, Zone: place.Zone(t.Zone), State: place.Liveness(t.State),
			Addr: t.Addr, Born: place.Incarnation(t.Born), Slots: t.Slots, Warming: time.Duration(t.Warming) * time.Millisecond,
		})
	}
	return d, nil
}

const (
	// graceSure is how long a target whose entry is gone is still used: long
	// enough for a list that was read in the middle of a change.
	graceSure = 200 * time.Millisecond
	// graceUnsure is the same after the store was away. The platform has
	// entries back within two seconds.
	graceUnsure = 2500 * time.Millisecond
)

// Tracker follows the lists over time. It is not safe for concurrent use.
type Tracker struct {
	rows map[place.Target]*tracked
	// ended are the lives that have left or gone, and era that of the last list.
	ended map[place.Target]ended
	era   platform.Era
}

// ended is the end of one life of a target.
type ended struct {
	born place.Incarnation
	// left tells that it had said that it leaves.
	left bool
	// era is that of the store when its entry was gone, at the time of that.
	era platform.Era
	at  time.Time
}

const (
	// endedFor is how long the end of a life is remembered: a store that comes back
	// from an older copy has lost some seconds.
	endedFor = time.Minute
	// copyFor is how long an entry that is back with such a copy is not gone by:
	// without a sign of its target, which writes about once a second, it lapses after
	// three times that.
	copyFor = 4 * time.Second
)

type tracked struct {
	place.TargetRow

	// leavingAt is when its notice was first seen.
	leavingAt time.Time
	// from is when a target that is back with a copy of the store is used again.
	from time.Time
	// goneAt is when a target whose entry is gone is no longer used; zero
	// while the entry is there.
	goneAt time.Time
}

// NewTracker returns a tracker that knows no target.
func NewTracker() *Tracker {
	return &Tracker{rows: make(map[place.Target]*tracked), ended: make(map[place.Target]ended)}
}

// returned returns from when on a target that had ended is used again, zero for at
// once, and whether it may come back at all.
func (t *Tracker) returned(now time.Time, row *place.TargetRow) (from time.Time, ok bool) {
	e, known := t.ended[row.Target]
	delete(t.ended, row.Target)
	if !known || e.born != row.Born || now.Sub(e.at) > endedFor {
		return time.Time{}, true
	}
	if e.left {
		t.ended[row.Target] = e
		return time.Time{}, false
	}
	if t.era > e.era {
		return now.Add(copyFor), true
	}
	return time.Time{}, true
}

// Update takes over a newer list, of a store in an era.
func (t *Tracker) Update(now time.Time, d Doc, era platform.Era) {
	t.expire(now)
	t.era = max(t.era, era)
	listed := make(map[place.Target]bool, len(d.Targets))
	for _, row := range d.Targets {
		from, ok := t.returned(now, &row)
		if !ok {
			continue
		}
		listed[row.Target] = true
		known := t.rows[row.Target]
		if known != nil && row.Born < known.Born {
			continue // a late word of an earlier life
		}
		if known != nil && known.State == place.Leaving && row.Born == known.Born {
			row.State = place.Leaving // a life that leaves does not come back
		}
		next := &tracked{TargetRow: row, from: from}
		if known != nil && known.Born == row.Born {
			next.from = known.from
		}
		if row.State == place.Leaving {
			next.leavingAt = now
			if known != nil && known.State == place.Leaving && known.Born == row.Born {
				next.leavingAt = known.leavingAt
			}
		}
		t.rows[row.Target] = next
	}
	grace := graceSure
	if d.Unsure {
		grace = graceUnsure
	}
	for name, row := range t.rows {
		switch {
		case listed[name]:
		case row.State == place.Leaving:
			row.goneAt = now
		case row.goneAt.IsZero():
			row.goneAt = now.Add(grace)
		case d.Steady:
			if sure := now.Add(graceSure); sure.Before(row.goneAt) {
				row.goneAt = sure
			}
		}
	}
	t.expire(now)
}

func (t *Tracker) expire(now time.Time) {
	for name, row := range t.rows {
		if !now.Before(row.from) {
			row.from = time.Time{}
		}
		if !row.goneAt.IsZero() && !now.Before(row.goneAt) {
			t.ended[name] = ended{row.Born, row.State == place.Leaving, t.era, now}
			delete(t.rows, name)
		}
	}
}

// Rows returns the targets that are there at now, sorted by name.
func (t *Tracker) Rows(now time.Time) []place.TargetRow {
	t.expire(now)
	out := make([]place.TargetRow, 0, len(t.rows))
	for _, row := range t.rows {
		if row.from.IsZero() {
			out = append(out, row.TargetRow)
		}
	}
	slices.SortFunc(out, func(a, b place.TargetRow) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// NextChange returns when Rows changes by itself, or the zero time.
func (t *Tracker) NextChange() time.Time {
	var next time.Time
	for _, row := range t.rows {
		for _, at := range []time.Time{row.goneAt, row.from} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}
