package table

import (
	"encoding/base64"
	"net/netip"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
)

// TestGolden: the golden table, written by revision 2bbdf8e, is decoded to the same
// value, and this is encoded to the same bytes. During an upgrade, leaders of one
// release publish tables to entries of another.
func TestGolden(t *testing.T) {
	const golden = "imNzdmNiejEDGQOEYmgxbTEwLjAuMC4xOjcwMDEZBACChGJ0MWsxMC4wLjAuMjo4MPUbF5ec/jYqAAaEYnQyclsyMDAxOmRiODo6Ml06ODA4MPQAiQEEAQIbAAABAAAAAAAZ//8ZA4EZASwAghuAAAAAAAAAABkDhA=="
	want := Table{
		Service: "svc", Zone: "z1", Version: Version{Term: 3, Sequence: 900}, Leader: "h1",
		LeaderAddr: netip.MustParseAddrPort("10.0.0.1:7001"), Shards: 1024,
		Targets: []Target{
			{Name: "t1", Addr: netip.MustParseAddrPort("10.0.0.2:80"), Leaving: true, WarmupStart: time.Unix(1_700_000_000, 6).UTC()},
			{Name: "t2", Addr: netip.MustParseAddrPort("[2001:db8::2]:8080")},
		},
		Rows:       []Row{{Shard: 1, Epoch: 4, Owner: 1}, {Shard: 3, Epoch: 1 << 40, Owner: NoOwner}, {Shard: 900, Epoch: 300}},
		SingleKeys: []SingleKey{{Hash: 1 << 63, Shard: 900}},
	}
	body, err := base64.StdEncoding.DecodeString(golden)
	assert.NilError(t, err)
	got, err := Decode(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	later, err := Decode(compattest.WithNewFields(t, body, wireTable{}))
	assert.NilError(t, err, "fields of a later build")
	assert.DeepEqual(t, later, want, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	again, err := Encode(want)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, body)
}
