package owner

import (
	"encoding/base64"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
)

// TestGolden: the decoders read the golden texts, written by revision 2bbdf8e, and the
// encoders return the same bytes. During an upgrade, hosts of two releases exchange
// tables and share the stored document.
func TestGolden(t *testing.T) {
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
	restored := EmptyDoc("svc")
	restored.AfterRestore = true
	decodeDoc := func(body []byte) (any, error) { return DecodeDoc(body) }
	for name, test := range map[string]struct {
		golden string
		want   any
		decode func(body []byte) (any, error)
		encode func() ([]byte, error)
	}{
		"table": {
			"qAFjc3ZjAhoAEAADAxkDhARiaDEFWCACdDEGCgAAAVAAAnQyEiABDbgAAAAAAAAAAAAAAAKQHwZPCQEAAKwCxQ8EoB+u8AMBBwsIBw==",
			table, func(body []byte) (any, error) { return DecodeTable(body) }, table.Encode,
		},
		"document": {
			"qAFjc3ZjAhoAEAADA2JoMQQHBRsAAAEAAAAAAAaDhgAZAStidDEVRgoAAAFQAGR3YXJthhkBLBmcQGJ0MhZSIAENuAAAAAAAAAAAAAAAApAfYncyhhmcQRn//2AAQgAAYAf1CPU=",
			doc, decodeDoc, doc.Encode,
		},
		"document, restored store": {"pwFjc3ZjAgADYAQABQAGgYYAGf//YABCAABgCPU=", restored, decodeDoc, restored.Encode},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			got, err := test.decode(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
			again, err := test.encode()
			assert.NilError(t, err)
			assert.DeepEqual(t, again, body)
		})
	}
}
