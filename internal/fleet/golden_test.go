package fleet

import (
	"encoding/base64"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
)

// TestGolden: the golden lists, written by revision 2bbdf8e, are decoded to the same
// values, and these are encoded to the same bytes. During an upgrade, watchers of one
// release publish lists to hosts of another.
func TestGolden(t *testing.T) {
	for name, test := range map[string]struct {
		golden string
		want   List
	}{
		"all fields": {"owGCiGJ0MWNzdmNiejEBRgoAAAFQABsAAAEAAAAAAAMZCcSIYnQyY3N2Y2J6MgJSIAENuAAAAAAAAAAAAAAAApAfFgQZA+gC9QP1", List{
			Targets: []place.TargetRow{
				{
					Target: "t1", Service: "svc", Zone: "z1", State: place.Leaving, Addr: netip.MustParseAddrPort("10.0.0.1:80"),
					Incarnation: 1 << 40, Slots: 3, WarmupLeft: 2500 * time.Millisecond,
				},
				{
					Target: "t2", Service: "svc", Zone: "z2", State: place.Absent, Addr: netip.MustParseAddrPort("[2001:db8::2]:8080"),
					Incarnation: 22, Slots: 4, WarmupLeft: time.Second,
				},
			},
			RecentOutage: true, StoreStable: true,
		}},
		"recent outage": {"ogH2AvU=", List{RecentOutage: true}},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			got, err := Decode(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
			again, err := test.want.Encode()
			assert.NilError(t, err)
			assert.DeepEqual(t, again, body)
		})
	}
}
