package member

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
)

var codecHost = Host{
	Name: "a", Incarnation: 5, Zone: "z", PeerAddr: netip.MustParseAddrPort("10.0.0.1:1"), TicketAddr: netip.MustParseAddrPort("10.0.0.1:2"), CPUShare: 0.5,
}

// FuzzHeartbeat: no datagram makes the decoder panic, and a decoded heartbeat names a
// host and has no negative rank.
func FuzzHeartbeat(f *testing.F) {
	compattest.AddSeeds(f)
	body, err := (&Heartbeat{Host: codecHost, Rank: 1}).Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		if hb, err := DecodeHeartbeat(body); err == nil {
			assert.Assert(t, hb.Host.Name != "" && hb.Rank >= 0)
		}
	})
}

// FuzzList: no input makes the decoder panic, and a decoded list can be encoded again.
func FuzzList(f *testing.F) {
	compattest.AddSeeds(f)
	l := List{Hosts: []Host{codecHost}, Leaders: []Leader{{Service: "s", Host: "a", Incarnation: 5, Revision: 9}}}
	body, err := l.Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := DecodeList(body)
		if err != nil {
			return
		}
		_, err = l.Encode()
		assert.NilError(t, err)
	})
}

// FuzzConfirmation: no datagram makes the decoder panic, and a decoded confirmation counts
// at least one host.
func FuzzConfirmation(f *testing.F) {
	compattest.AddSeeds(f)
	body, err := (&Confirmation{Incarnation: 5, Hosts: 9}).Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		if c, err := DecodeConfirmation(body); err == nil {
			assert.Assert(t, c.Hosts > 0)
		}
	})
}
