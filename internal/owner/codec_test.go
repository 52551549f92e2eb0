package owner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/key"
)

func codecTable() *Table {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	return &Table{
		Service: "s", Version: Version{Term: 3, Sequence: 9}, Leader: "h", LeaderIncarnation: 7, DocRevision: 11,
		Spans: []Span{
			{Range: key.Range{First: 0, Last: 9}, Target: "a", Addr: addr},
			{Range: key.Range{First: 10, Last: 10}, AvailableIn: 300 * time.Millisecond},
			{Range: key.Range{First: 11, Last: 2000}, Target: "b", Addr: netip.MustParseAddrPort("[::1]:8080"), ColdFor: 4 * time.Second},
			{Range: key.Range{First: 2001, Last: key.Points - 1}, Target: "a", Addr: addr},
		},
	}
}

func TestTableCodec(t *testing.T) {
	want := codecTable()
	body, err := want.Encode()
	assert.NilError(t, err)
	got, err := DecodeTable(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Spans, want.Spans, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	got.Spans, want.Spans = nil, nil
	assert.DeepEqual(t, got, want)
}

// FuzzTable: no input makes the decoder panic, and a decoded table covers each key at
// most once.
func FuzzTable(f *testing.F) {
	compattest.AddSeeds(f)
	body, err := codecTable().Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		table, err := DecodeTable(body)
		if err != nil {
			return
		}
		next := key.Point(0)
		for _, s := range table.Spans {
			assert.Equal(t, s.Range.First, next)
			assert.Assert(t, s.Range.Valid())
			next = s.Range.Last + 1
		}
	})
}

// FuzzDoc: no input makes the decoder panic, and a decoded document covers every key
// exactly once.
func FuzzDoc(f *testing.F) {
	compattest.AddSeeds(f)
	doc := EmptyDoc("s")
	doc.Rows[0].Target, doc.Rows[0].Addr = "a", netip.MustParseAddrPort("10.0.0.1:80")
	body, err := doc.Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		doc, err := DecodeDoc(body)
		if err != nil {
			return
		}
		assert.Equal(t, doc.Rows[len(doc.Rows)-1].Range.Last, key.Point(key.Points-1))
	})
}
