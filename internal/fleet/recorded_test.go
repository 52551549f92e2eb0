package fleet

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/place"
)

// TestRecorded guards against a list of another build being refused or misread.
func TestRecorded(t *testing.T) {
	want := List{
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
	}
	compattest.Check(t, map[string]any{"list": wireList{}}, func(t *testing.T, _ string, body []byte) {
		got, err := Decode(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	})
}
