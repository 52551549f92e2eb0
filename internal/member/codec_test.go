package member

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

var codecHost = Host{
	Name: "a", Life: 5, Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:1"), Ticket: netip.MustParseAddrPort("10.0.0.1:2"), Processor: 0.5,
}

// FuzzPresence: no datagram makes the decoder panic; one that is taken names a host.
func FuzzPresence(f *testing.F) {
	body, err := (&Presence{Host: codecHost, Turn: 1}).Encode()
	assert.NilError(f, err)
	f.Add(body)
	f.Add(body[:len(body)/2])
	f.Fuzz(func(t *testing.T, body []byte) {
		if p, err := DecodePresence(body); err == nil {
			assert.Assert(t, p.Host.Name != "" && p.Turn >= 0)
		}
	})
}

// FuzzList: no document makes the decoder panic.
func FuzzList(f *testing.F) {
	l := List{Hosts: []Host{codecHost}, Leads: []Lead{{Service: "s", Host: "a", Life: 5, Revision: 9}}}
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
