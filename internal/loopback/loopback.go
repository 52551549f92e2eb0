// Package loopback allocates loopback addresses for tests. A port that the
// kernel assigned can be given to another socket once it is closed; an address
// of a network that one process has claimed can't.
package loopback

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

// claimPort is the port of the listener by which a process claims one of the
// networks 127.1.0.0/16 to 127.254.0.0/16. The kernel releases the claim when
// the process ends.
const claimPort = 9999

var claimed struct {
	sync.Mutex

	network  byte // second byte of the claimed network, zero before the first claim
	listener net.Listener
	last     uint16 // last two bytes of the latest address
}

// IP returns an address that no other caller and no other process gets.
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

// Addr returns an address with a port that is free for both TCP and UDP.
func Addr() (netip.AddrPort, error) {
	const port = 8000
	ip, err := IP()
	return netip.AddrPortFrom(ip, port), err
}

func claimNetwork() error {
	const networks = 254
	for n := byte(1); n <= networks; n++ {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 255, 254}), claimPort)
		listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err == nil {
			claimed.network, claimed.listener = n, listener
			return nil
		}
	}
	return errors.New("loopback: no free network in 127.1.0.0/16 to 127.254.0.0/16")
}
