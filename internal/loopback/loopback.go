// Package loopback hands out addresses of this machine to tests. A port that the
// kernel chose and that was closed again may be another socket's a moment later;
// an address of a network that one process has for itself may not.
package loopback

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

// claimPort is where a process holds its network, of 127.1.0.0/16 to
// 127.254.0.0/16, until it ends.
const claimPort = 9999

var claimed struct {
	sync.Mutex

	network byte // second byte of the claimed addresses, zero for none yet
	hold    net.Listener
	last    uint16
}

// IP returns an address that no other caller and no other process has.
func IP() (netip.Addr, error) {
	claimed.Lock()
	defer claimed.Unlock()
	if claimed.network == 0 {
		if err := claimNetwork(); err != nil {
			return netip.Addr{}, err
		}
	}
	claimed.last++
	return netip.AddrFrom4([4]byte{127, claimed.network, byte(claimed.last >> 8), byte(claimed.last)}), nil
}

// Addr returns an address with a port that is free for TCP and UDP.
func Addr() (netip.AddrPort, error) {
	const port = 8000
	ip, err := IP()
	return netip.AddrPortFrom(ip, port), err
}

func claimNetwork() error {
	const networks = 254
	for n := byte(1); n <= networks; n++ {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 255, 254}), claimPort)
		hold, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
		if err == nil {
			claimed.network, claimed.hold = n, hold
			return nil
		}
	}
	return errors.New("loopback: no network is free")
}
