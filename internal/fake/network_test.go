package fake_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/place"
)

// process is a UDP socket in a zone.
type process struct {
	*net.UDPConn
	proxied *net.UDPAddr
}

func newProcess(t *testing.T, network *fake.Network, zone place.Zone) process {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, conn.Close()) })
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	proxyAddr, err := network.Add(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), zone)
	assert.NilError(t, err)
	return process{UDPConn: conn, proxied: net.UDPAddrFromAddrPort(proxyAddr)}
}

// reaches reports whether a packet from one process reaches the other and a
// response comes back. It takes as long as wait only where a packet is dropped.
func reaches(t *testing.T, from, to process, wait time.Duration) bool {
	t.Helper()
	_, err := from.WriteTo([]byte("ask"), to.proxied)
	assert.NilError(t, err)
	packet := make([]byte, 16)
	assert.NilError(t, to.SetReadDeadline(time.Now().Add(wait)))
	_, sender, err := to.ReadFrom(packet)
	if err != nil {
		return false
	}
	_, err = to.WriteTo([]byte("answer"), sender)
	assert.NilError(t, err)
	assert.NilError(t, from.SetReadDeadline(time.Now().Add(wait)))
	_, _, err = from.ReadFrom(packet)
	return err == nil
}

func TestNetworkPartitionsZones(t *testing.T) {
	network := fake.NewNetwork()
	defer network.Close()
	a1, a2 := newProcess(t, network, "zone-a"), newProcess(t, network, "zone-a")
	b1 := newProcess(t, network, "zone-b")
	const long, short = 10 * time.Second, 50 * time.Millisecond
	assert.Assert(t, reaches(t, a1, a2, long))
	assert.Assert(t, reaches(t, a1, b1, long))
	network.Partition("zone-b")
	assert.Assert(t, reaches(t, a1, a2, long))
	assert.Assert(t, !reaches(t, a1, b1, short))
	assert.Assert(t, !reaches(t, b1, a1, short))
	network.Partition()
	assert.Assert(t, reaches(t, b1, a1, long))
}
