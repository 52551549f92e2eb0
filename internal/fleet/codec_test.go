package fleet

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/place"
)

// FuzzList: no input makes the decoder panic, and a decoded list can be encoded again.
func FuzzList(f *testing.F) {
	compattest.AddSeeds(f)
	l := List{Targets: []place.TargetRow{{Target: "t", Service: "s", Zone: "z", State: place.Live, Addr: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 3, Incarnation: 7}}}
	body, err := l.Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := Decode(body)
		if err != nil {
			return
		}
		_, err = l.Encode()
		assert.NilError(t, err)
	})
}
