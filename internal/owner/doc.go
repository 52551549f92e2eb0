// Package owner decides which target owns which range of a service's keys.
//
// One host leads a service: it holds the service's key in the store, renews the
// grants of all owners, and moves ranges between them. What must outlast it
// stands in one document in the store. The rules that keep a range from having
// two owners are in docs/design/ranges.md.
//
// The core is pure: events and the present time go in, effects come out.
package owner

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// Term numbers the leads of a service; it rises with each one.
type Term uint64

// termsPerEra is how many terms there are in an era of the store. A lead of one era
// does not know which terms an earlier one gave out last; its own are higher.
const termsPerEra = 1 << 20

// Next returns the next term in an era.
func (t Term) Next(era platform.Era) Term { return max(t+1, Term(era)*termsPerEra+1) }

// Era returns the era of the store that a term began in.
func (t Term) Era() platform.Era { return platform.Era(t / termsPerEra) }

// fencesPerTerm is how many fences a lead may use before it must raise its
// term. Fences of a later term are higher than all of an earlier one, so a lead
// takes a new fence without a write to the store.
const fencesPerTerm = 1 << 20

// fence returns the fence of that number in a term.
func (t Term) fence(n uint64) target.FencingToken {
	return target.FencingToken(uint64(t)*fencesPerTerm + n)
}

// Doc is what the store holds of a service: who may own what.
type Doc struct {
	Service key.Service
	Term    Term
	// Leader and Life name the process that wrote it; Lead is empty once that
	// has stopped and will send no more grants.
	Leader            place.Host
	LeaderIncarnation place.Incarnation
	// PriorMayRenew tells that a lead before this one may still renew.
	PriorMayRenew bool
	// AfterRestore tells that the store came back from an older copy a moment before, so that
	// the rows may not name those that hold the ranges.
	AfterRestore bool
	// WriteID tells this write from all others.
	WriteID uint64
	// Rows cover the key space, in order.
	Rows []Row
}

// Row is a range and the one target that may hold it.
type Row struct {
	Range key.Range
	// Target is empty where no target may hold the range.
	Target      place.Target
	Incarnation place.Incarnation
	Addr        netip.AddrPort
	// Handover is what the last owner handed on, until the new one has it.
	Handover target.Handover
}

// HistoryLost reports whether leads and owners since the document was written may be
// known to nobody: the store is of a later era, or came back a moment before it. Where
// there is no document, first tells that there has been none: not before this process
// started, nor before the era did.
func (d *Doc) HistoryLost(era platform.Era, first bool) bool {
	if d.Term == 0 {
		return era > 0 && !first
	}
	return d.AfterRestore || d.Term.Era() < era
}

// EmptyDoc returns the document of a service that nobody has led yet.
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

// Encode returns the document as the store holds it.
func (d *Doc) Encode() ([]byte, error) {
	w := wireDoc{
		Service: string(d.Service), Term: uint64(d.Term), Leader: string(d.Leader), LeaderIncarnation: uint64(d.LeaderIncarnation), WriteID: d.WriteID,
		PriorMayRenew: d.PriorMayRenew, AfterRestore: d.AfterRestore,
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

// DecodeDoc reads a document; one whose rows do not cover the key space once
// is an error.
func DecodeDoc(body []byte) (Doc, error) {
	var w wireDoc
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Doc{}, fmt.Errorf("owner: decode document: %w", err)
	}
	d := Doc{
		Service: key.Service(w.Service), Term: Term(w.Term), Leader: place.Host(w.Leader),
		LeaderIncarnation: place.Incarnation(w.LeaderIncarnation), WriteID: w.WriteID, PriorMayRenew: w.PriorMayRenew, AfterRestore: w.AfterRestore,
	}
	next := key.Point(0)
	for _, r := range w.Rows {
		row := Row{
			Range: key.Range{First: key.Point(r.First), Last: key.Point(r.Last)}, Target: place.Target(r.Target),
			Incarnation: place.Incarnation(r.Incarnation), Addr: r.Addr, Handover: target.Handover(r.Handover),
		}
		if !row.Range.Valid() || row.Range.First != next {
			return Doc{}, fmt.Errorf("owner: decode document: range %s does not follow %d", row.Range, next)
		}
		next = row.Range.Last + 1
		d.Rows = append(d.Rows, row)
	}
	if next != key.Points {
		return Doc{}, fmt.Errorf("owner: decode document: rows end at %d", next)
	}
	return d, nil
}
