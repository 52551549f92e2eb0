// Package owner decides which target owns which range of a service's keys.
//
// One host is the leader of a service: it holds the service's leader entry in the
// store, renews the grants of all owners, and moves ranges between them. State that
// must outlast the leader is kept in one document in the store. The rules that keep a
// range from having two owners are in docs/design/ranges.md.
//
// Core does no I/O and reads no clock: events and the current time go in, effects come
// out.
package owner

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// Term numbers the leaders of a service; each new leader has a higher term.
type Term uint64

// termsPerEra is the number of terms in an era of the store. The last terms of an
// earlier era may have been lost in a restore; those of a later era are higher all the
// same.
const termsPerEra = 1 << 20

// Next returns the term that follows t in an era.
func (t Term) Next(era platform.Era) Term { return max(t+1, Term(era)*termsPerEra+1) }

// Era returns the era of the store in which a term began.
func (t Term) Era() platform.Era { return platform.Era(t / termsPerEra) }

// defaultFencesPerTerm is the number of fencing tokens reserved for each term. Tokens of a
// later term are higher than all of an earlier one, so a leader takes a new token
// without a write to the store.
const defaultFencesPerTerm = 1 << 20

// Doc is the stored document of a service: which target may own which range.
type Doc struct {
	Service key.Service
	Term    Term
	// Leader and LeaderIncarnation name the process that wrote the document. Leader is
	// empty once that process has stopped and will send no more grants.
	Leader            place.Host
	LeaderIncarnation place.Incarnation
	// PriorMayRenew is true while a leader before this one may still renew grants.
	PriorMayRenew bool
	// PriorInTransit is true while orders of a leader before this one may be in transit
	// although its process has ended.
	PriorInTransit bool
	// AfterRestore is true if the store was recently restored from an older snapshot,
	// so that the rows may not name the targets that hold the ranges.
	AfterRestore bool
	// WriteID is unique to this write.
	WriteID uint64
	// Rows cover the key space without gaps, in order.
	Rows []Row
}

// Row is a range and the only target that may hold it.
type Row struct {
	Range key.Range
	// Target is empty where no target may hold the range.
	Target      place.Target
	Incarnation place.Incarnation
	Addr        netip.AddrPort
	// Handover is what the last owner handed over, until the new owner has it.
	Handover target.Handover
}

// flagged reports whether a state of prior leaders is noted that ends after a time.
func (d *Doc) flagged() bool { return d.PriorMayRenew || d.PriorInTransit || d.AfterRestore }

// HistoryLost reports whether a restore of the store may have lost the names of
// leaders and owners that came after this document: the store is of a later era, or was
// restored shortly before the document was written. If there is no document, first
// decides: it is true if none existed before this process started, nor before the era
// began.
func (d *Doc) HistoryLost(era platform.Era, first bool) bool {
	if d.Term == 0 {
		return era > 0 && !first
	}
	return d.AfterRestore || d.Term.Era() < era
}

// EmptyDoc returns the document of a service that has never had a leader.
func EmptyDoc(service key.Service) Doc {
	return Doc{Service: service, Rows: []Row{{Range: key.FullRange()}}}
}

type wireDoc struct {
	Service           string    `cbor:"1,keyasint"`
	Term              uint64    `cbor:"2,keyasint"`
	Leader            string    `cbor:"3,keyasint"`
	LeaderIncarnation uint64    `cbor:"4,keyasint"`
	WriteID           uint64    `cbor:"5,keyasint"`
	Rows              []wireRow `cbor:"6,keyasint"`
	PriorMayRenew     bool      `cbor:"7,keyasint,omitempty"`
	AfterRestore      bool      `cbor:"8,keyasint,omitempty"`
	PriorInTransit    bool      `cbor:"9,keyasint,omitempty"`
}

type wireRow struct {
	_           struct{} `cbor:",toarray"`
	First       uint32
	Last        uint32
	Target      string
	Incarnation uint64
	Addr        netip.AddrPort
	Handover    string
}

// Encode returns the document in its stored form.
func (d *Doc) Encode() ([]byte, error) {
	w := wireDoc{
		Service: string(d.Service), Term: uint64(d.Term), Leader: string(d.Leader), LeaderIncarnation: uint64(d.LeaderIncarnation), WriteID: d.WriteID,
		PriorMayRenew: d.PriorMayRenew, AfterRestore: d.AfterRestore, PriorInTransit: d.PriorInTransit,
	}
	for _, r := range d.Rows {
		w.Rows = append(w.Rows, wireRow{
			First: uint32(r.Range.First), Last: uint32(r.Range.Last), Target: string(r.Target),
			Incarnation: uint64(r.Incarnation), Addr: r.Addr, Handover: string(r.Handover),
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("owner: encode document: %w", err)
	}
	return body, nil
}

// DecodeDoc reads a document. Rows that do not cover the key space exactly once are an
// error.
func DecodeDoc(body []byte) (Doc, error) {
	var w wireDoc
	if err := compat.Unmarshal(body, &w); err != nil {
		return Doc{}, fmt.Errorf("owner: decode document: %w", err)
	}
	d := Doc{
		Service: key.Service(w.Service), Term: Term(w.Term), Leader: place.Host(w.Leader),
		LeaderIncarnation: place.Incarnation(w.LeaderIncarnation), WriteID: w.WriteID,
		PriorMayRenew: w.PriorMayRenew, AfterRestore: w.AfterRestore, PriorInTransit: w.PriorInTransit,
	}
	next := key.Point(0)
	for _, r := range w.Rows {
		row := Row{
			Range: key.Range{First: key.Point(r.First), Last: key.Point(r.Last)}, Target: place.Target(r.Target),
			Incarnation: place.Incarnation(r.Incarnation), Addr: r.Addr, Handover: target.Handover(r.Handover),
		}
		if !row.Range.Valid() || row.Range.First != next {
			return Doc{}, fmt.Errorf("owner: decode document: range %s does not start at point %d", row.Range, next)
		}
		next = row.Range.Last + 1
		d.Rows = append(d.Rows, row)
	}
	if next != key.Points {
		return Doc{}, fmt.Errorf("owner: decode document: rows end before point %d", next)
	}
	return d, nil
}
