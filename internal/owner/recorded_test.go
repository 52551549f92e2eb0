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

// TestRecorded guards against a table or a document of another build being refused or misread.
func TestRecorded(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("[2001:db8::2]:8080")
	table := &Table{
		Service: "svc", Version: Version{Term: 1<<20 + 3, Sequence: 900}, Leader: "h1", LeaderIncarnation: 7, DocRevision: 11,
		Spans: []Span{
			{Range: key.Range{First: 0, Last: 9}, Target: "t1", Addr: a},
			{Range: key.Range{First: 10, Last: 10}, AvailableIn: 300 * time.Millisecond},
			{Range: key.Range{First: 11, Last: 2000}, Target: "t2", Addr: b, ColdFor: 4 * time.Second},
			{Range: key.Range{First: 2001, Last: key.Points - 1}, Target: "t1", Addr: a},
		},
	}
	doc := Doc{
		Service: "svc", Term: 1<<20 + 3, Leader: "h1", LeaderIncarnation: 7, PriorMayRenew: true, AfterRestore: true, WriteID: 1 << 40,
		Rows: []Row{
			{Range: key.Range{First: 0, Last: 299}, Target: "t1", Incarnation: 21, Addr: a, Handover: "warm"},
			{Range: key.Range{First: 300, Last: 40_000}, Target: "t2", Incarnation: 22, Addr: b, Handover: "w2"},
			{Range: key.Range{First: 40_001, Last: key.Points - 1}},
		},
	}
	inTransit := doc
	inTransit.PriorInTransit = true
	want := map[string]any{"table": table, "document": doc, "document-with-orders-in-transit": inTransit}
	wire := map[string]any{"table": wireTable{}, "document": wireDoc{}, "document-with-orders-in-transit": wireDoc{}}
	compattest.Check(t, wire, func(t *testing.T, name string, body []byte) {
		var got any
		var err error
		if name == "table" {
			got, err = DecodeTable(body)
		} else {
			got, err = DecodeDoc(body)
		}
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want[name], cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	})
}
