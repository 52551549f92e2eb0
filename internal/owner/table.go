package owner

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// Version orders the routing tables of a service.
type Version struct {
	Term     Term
	Sequence uint64
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Term != w.Term {
		return v.Term < w.Term
	}
	return v.Sequence < w.Sequence
}

// Table is a routing table: it names the target that serves each range.
type Table struct {
	Service key.Service
	Version Version
	Leader  place.Host
	// LeaderIncarnation is the incarnation of the leader's process.
	LeaderIncarnation place.Incarnation
	// DocRevision is the revision of the document that the table is made from.
	DocRevision platform.Revision
	// Spans cover the key space without gaps, in order.
	Spans []Span
}

// Span is a range and its current owner.
type Span struct {
	Range key.Range
	// Target is empty while the range has no owner to send requests to.
	Target place.Target
	Addr   netip.AddrPort
	// AvailableIn is the estimated time from the making of the table until a range
	// without an owner has one again.
	AvailableIn time.Duration
	// ColdFor is how long after the making of the table the keys are slow, as their
	// owner took them without a handover.
	ColdFor time.Duration
}

// add appends a span, or extends the last span if only the ranges differ.
func (t *Table) add(s Span) {
	if n := len(t.Spans); n > 0 {
		if last := &t.Spans[n-1]; last.Target == s.Target && last.AvailableIn == s.AvailableIn && last.ColdFor == s.ColdFor {
			last.Range.Last = s.Range.Last
			return
		}
	}
	t.Spans = append(t.Spans, s)
}

// Find returns the span that contains a point.
func (t *Table) Find(p key.Point) *Span {
	i := sort.Search(len(t.Spans), func(i int) bool { return t.Spans[i].Range.Last >= p })
	if i == len(t.Spans) {
		return nil
	}
	return &t.Spans[i]
}

// TableFromDoc returns the table that follows from a document alone, for hosts that get
// no tables from a leader. It does not show which ranges are on the move.
func TableFromDoc(d *Doc, revision platform.Revision) *Table {
	t := &Table{Service: d.Service, Version: Version{Term: d.Term}, Leader: d.Leader, LeaderIncarnation: d.LeaderIncarnation, DocRevision: revision}
	for _, r := range d.Rows {
		t.add(Span{Range: r.Range, Target: r.Target, Addr: r.Addr})
	}
	return t
}

// wireTable holds targets and spans in byte columns, so that a host decodes a table of
// a thousand spans, several times a second, with a few allocations.
type wireTable struct {
	Service  string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Leader   string `cbor:"4,keyasint"`
	// Targets holds, for each target, the length of the name, the name, the length of
	// the address, and the address. Spans holds, for each span, the number of keys
	// minus one and a code: 0 for no owner, followed by AvailableIn in ms; 2i+1 for
	// target i; or 2i+2 for target i, followed by ColdFor in ms.
	Targets           []byte `cbor:"5,keyasint"`
	Spans             []byte `cbor:"6,keyasint"`
	DocRevision       uint64 `cbor:"7,keyasint,omitempty"`
	LeaderIncarnation uint64 `cbor:"8,keyasint,omitempty"`
}

// Encode returns the table as hosts distribute it.
func (t *Table) Encode() ([]byte, error) {
	w := wireTable{
		Service: string(t.Service), Term: uint64(t.Version.Term), Sequence: t.Version.Sequence, Leader: string(t.Leader),
		DocRevision: uint64(t.DocRevision), LeaderIncarnation: uint64(t.LeaderIncarnation),
	}
	index := make(map[place.Target]uint64)
	for _, s := range t.Spans {
		w.Spans = binary.AppendUvarint(w.Spans, uint64(s.Range.Last-s.Range.First))
		if s.Target == "" {
			w.Spans = binary.AppendUvarint(append(w.Spans, 0), uint64(s.AvailableIn.Milliseconds()))
			continue
		}
		at, ok := index[s.Target]
		if !ok {
			at = uint64(len(index))
			index[s.Target] = at
			addr, err := s.Addr.MarshalBinary()
			if err != nil {
				return nil, fmt.Errorf("owner: encode table: %w", err)
			}
			w.Targets = append(binary.AppendUvarint(w.Targets, uint64(len(s.Target))), s.Target...)
			w.Targets = append(binary.AppendUvarint(w.Targets, uint64(len(addr))), addr...)
		}
		if s.ColdFor == 0 {
			w.Spans = binary.AppendUvarint(w.Spans, 2*at+1)
			continue
		}
		w.Spans = binary.AppendUvarint(binary.AppendUvarint(w.Spans, 2*at+2), uint64(s.ColdFor.Milliseconds()))
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("owner: encode table: %w", err)
	}
	return body, nil
}

// DecodeTable reads a table that Encode wrote.
func DecodeTable(body []byte) (*Table, error) {
	var w wireTable
	if err := compat.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("owner: decode table: %w", err)
	}
	t := &Table{
		Service: key.Service(w.Service), Leader: place.Host(w.Leader),
		Version: Version{Term: Term(w.Term), Sequence: w.Sequence}, DocRevision: platform.Revision(w.DocRevision),
		LeaderIncarnation: place.Incarnation(w.LeaderIncarnation),
	}
	targets, err := decodeTargets(w.Targets)
	if err != nil {
		return nil, fmt.Errorf("owner: decode table: %w", err)
	}
	if t.Spans, err = decodeSpans(w.Spans, targets); err != nil {
		return nil, fmt.Errorf("owner: decode table: %w", err)
	}
	return t, nil
}

// tableTarget is a target named in a table.
type tableTarget struct {
	name place.Target
	addr netip.AddrPort
}

var errTruncated = errors.New("truncated column")

func decodeTargets(column []byte) ([]tableTarget, error) {
	const shortest = 12 // approximate bytes per target
	out := make([]tableTarget, 0, len(column)/shortest)
	names := string(column) // one allocation for all names
	for at := 0; at < len(column); {
		first, last, ok := fieldBounds(column, at)
		if !ok {
			return nil, errTruncated
		}
		t := tableTarget{name: place.Target(names[first:last])}
		if first, last, ok = fieldBounds(column, last); !ok {
			return nil, errTruncated
		}
		if err := t.addr.UnmarshalBinary(column[first:last]); err != nil {
			return nil, err
		}
		out, at = append(out, t), last
	}
	return out, nil
}

// fieldBounds returns the bounds of the length-prefixed field at an offset.
func fieldBounds(column []byte, at int) (first, last int, ok bool) {
	length, n := binary.Uvarint(column[at:])
	if n <= 0 || length > uint64(len(column)-at-n) {
		return 0, 0, false
	}
	return at + n, at + n + int(length), true
}

// uvarintReader reads the unsigned varints of a column one after the other.
type uvarintReader struct {
	column    []byte
	truncated bool
}

func (r *uvarintReader) next() uint64 {
	v, n := binary.Uvarint(r.column)
	if n <= 0 {
		r.truncated, r.column = true, nil
		return 0
	}
	r.column = r.column[n:]
	return v
}

// maxDurationMs bounds the durations in a table, in milliseconds.
const maxDurationMs = uint64(time.Hour / time.Millisecond)

func (r *uvarintReader) duration() time.Duration {
	return time.Duration(min(r.next(), maxDurationMs)) * time.Millisecond
}

func decodeSpans(column []byte, targets []tableTarget) ([]Span, error) {
	const shortest = 3 // approximate bytes per span
	out := make([]Span, 0, len(column)/shortest)
	next := uint64(0)
	for r := (uvarintReader{column: column}); len(r.column) > 0; {
		last := next + r.next()
		if r.truncated || last < next || last >= key.Points {
			return nil, fmt.Errorf("invalid span at point %d", next)
		}
		s := Span{Range: key.Range{First: key.Point(next), Last: key.Point(last)}}
		code := r.next()
		switch {
		case code == 0:
			s.AvailableIn = r.duration()
		case (code-1)/2 < uint64(len(targets)):
			t := targets[(code-1)/2]
			s.Target, s.Addr = t.name, t.addr
			if code%2 == 0 {
				s.ColdFor = r.duration()
			}
		default:
			return nil, fmt.Errorf("no target with index %d", (code-1)/2)
		}
		if r.truncated {
			return nil, errTruncated
		}
		next = last + 1
		out = append(out, s)
	}
	return out, nil
}
