// Package evacuation decides which zones are evacuated, until when a host may send requests
// to their targets, and when the ranges of these targets move. It does no I/O.
package evacuation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// maxZones bounds the zones of a document, maxNameBytes the name of one.
	maxZones     = 64
	maxNameBytes = 128
	// maxEnded is how many ended evacuations are remembered, for a restore of the store
	// from a snapshot that still has them.
	maxEnded = 16
)

// Entry is an operator's entry of an evacuation.
type Entry struct {
	Zone     place.Zone
	Revision platform.Revision
}

// Status tells why a zone is in a document.
type Status uint8

const (
	// Listed zones are evacuated, by an entry in the store.
	Listed Status = iota
	// Kept zones are evacuated, though a restore of the store from an older snapshot has
	// lost the entry.
	Kept
	// Ignored zones are not evacuated: a restore has brought the entry back.
	Ignored
)

// Zone is a zone in a document.
type Zone struct {
	Entry

	Status Status
}

// Document holds the evacuations in force and what is needed to recognize the entries of
// ended ones after a restore of the store.
type Document struct {
	// Era is the era of the store in which the document was read.
	Era platform.Era
	// Zones are sorted by name.
	Zones []Zone
	// Ended are the entries that were removed or written again last, oldest first.
	Ended []Entry
}

// ParseEntries returns the evacuations among entries of the store, and those with an
// invalid name.
func ParseEntries(entries []platform.Entry) (valid []Entry, invalid []platform.Entry) {
	for _, e := range entries {
		name := strings.TrimPrefix(string(e.Path), string(platform.PathEvacuations))
		if name == "" || len(name) > maxNameBytes {
			invalid = append(invalid, e)
			continue
		}
		valid = append(valid, Entry{place.Zone(name), e.Revision})
	}
	return valid, invalid
}

// Next returns the document after the store was read in an era. A restore of the store
// from an older snapshot neither ends nor revives an evacuation.
func (d *Document) Next(era platform.Era, entries []Entry) Document {
	if era < d.Era {
		return *d
	}
	restored := era > d.Era
	next := Document{Era: era, Ended: slices.Clone(d.Ended)}
	listed := make(map[place.Zone]bool, len(entries))
	for _, e := range entries {
		listed[e.Zone] = true
		known, ok := d.zone(e.Zone)
		if !ok && len(d.Zones)+len(next.Zones) >= maxZones {
			continue
		}
		if ok && !restored && known.Revision != e.Revision {
			next.Ended = append(next.Ended, known.Entry)
		}
		z := Zone{Entry: e}
		if ok && known.Status == Ignored && known.Revision.Number() == e.Revision.Number() && (restored || known.Revision == e.Revision) ||
			!ok && restored && d.hasEnded(e) {
			z.Status = Ignored
		}
		next.Zones = append(next.Zones, z)
	}
	for _, z := range d.Zones {
		switch {
		case listed[z.Zone]:
		case z.Status == Kept, z.Status == Listed && restored:
			z.Status = Kept
			next.Zones = append(next.Zones, z)
		default:
			next.Ended = append(next.Ended, z.Entry)
		}
	}
	next.Ended = next.Ended[max(0, len(next.Ended)-maxEnded):]
	slices.SortFunc(next.Zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	return next
}

func (d *Document) zone(name place.Zone) (Zone, bool) {
	i := slices.IndexFunc(d.Zones, func(z Zone) bool { return z.Zone == name })
	if i < 0 {
		return Zone{}, false
	}
	return d.Zones[i], true
}

// hasEnded reports whether an entry that a restore has brought back was removed before.
// The store numbers its revisions anew after a restore, so only their numbers compare.
func (d *Document) hasEnded(e Entry) bool {
	return slices.ContainsFunc(d.Ended, func(o Entry) bool { return o.Zone == e.Zone && o.Revision.Number() == e.Revision.Number() })
}

// Evacuated returns the names of the zones that are evacuated.
func (d *Document) Evacuated() []place.Zone {
	var out []place.Zone
	for _, z := range d.Zones {
		if z.Status != Ignored {
			out = append(out, z.Zone)
		}
	}
	return out
}

type wireDocument struct {
	Era   uint64      `cbor:"1,keyasint"`
	Zones []wireZone  `cbor:"2,keyasint"`
	Ended []wireEntry `cbor:"3,keyasint"`
}

type wireZone struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Revision uint64
	Status   uint8
}

type wireEntry struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Revision uint64
}

// Encode returns the document as hosts distribute it.
func (d *Document) Encode() ([]byte, error) {
	w := wireDocument{Era: uint64(d.Era)}
	for _, z := range d.Zones {
		w.Zones = append(w.Zones, wireZone{Zone: string(z.Zone), Revision: uint64(z.Revision), Status: uint8(z.Status)})
	}
	for _, e := range d.Ended {
		w.Ended = append(w.Ended, wireEntry{Zone: string(e.Zone), Revision: uint64(e.Revision)})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("evacuation: encode document: %w", err)
	}
	return body, nil
}

// Decode reads a document that Encode wrote.
func Decode(body []byte) (Document, error) {
	var w wireDocument
	if err := compat.Unmarshal(body, &w); err != nil {
		return Document{}, fmt.Errorf("evacuation: decode document: %w", err)
	}
	d := Document{Era: platform.Era(w.Era)}
	for _, z := range w.Zones {
		d.Zones = append(d.Zones, Zone{Entry{place.Zone(z.Zone), platform.Revision(z.Revision)}, Status(z.Status)})
	}
	for _, e := range w.Ended {
		d.Ended = append(d.Ended, Entry{place.Zone(e.Zone), platform.Revision(e.Revision)})
	}
	return d, nil
}
