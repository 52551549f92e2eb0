package fake

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"

	"citrontray.example/citrontray/internal/place"
)

const (
	maxPacketBytes = 64 << 10
	// maxFlows bounds the senders that one address of the network remembers.
	maxFlows = 1024
)

// Network stands between the peers of different hosts: each process has an
// address in it that passes packets on, unless the zones are cut. Replies take
// the same way back. Safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	zones       map[netip.AddrPort]place.Zone // by the processes' own addresses
	partitioned []place.Zone
	proxies     []*proxy
}

// proxy is the address of one process in the network.
type proxy struct {
	network  *Network
	zone     place.Zone
	upstream *net.UDPAddr // where the process itself listens
	conn     *net.UDPConn // where others reach it

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is one sender's way to a node.
type flow struct {
	proxy  *proxy
	sender netip.AddrPort
	conn   *net.UDPConn
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{zones: make(map[netip.AddrPort]place.Zone)}
}

// Add enters a process that listens at own and returns the address at which
// other hosts reach it.
func (n *Network) Add(own netip.AddrPort, zone place.Zone) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, err
	}
	next := &proxy{
		network: n, zone: zone, upstream: net.UDPAddrFromAddrPort(own), conn: conn,
		flows: make(map[netip.AddrPort]*flow),
	}
	n.mu.Lock()
	n.zones[own] = zone
	n.proxies = append(n.proxies, next)
	n.mu.Unlock()
	go next.run()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Partition drops all packets between the zones and all others, from now on; no
// zones join all again.
func (n *Network) Partition(zones ...place.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = zones
}

// Close ends the network.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.proxies {
		each.close()
	}
}

// allows reports whether packets go between a sender and a zone.
func (n *Network) allows(sender netip.AddrPort, zone place.Zone) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.zones[sender]
	if !known || from == zone {
		return true
	}
	return !slices.Contains(n.partitioned, from) && !slices.Contains(n.partitioned, zone)
}

// run passes packets on to the process until the network is closed.
func (d *proxy) run() {
	packet := make([]byte, maxPacketBytes)
	for {
		size, sender, err := d.conn.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		if !d.network.allows(sender, d.zone) {
			continue
		}
		if f := d.flow(sender); f != nil {
			_, _ = f.conn.Write(packet[:size]) // a lost packet, as networks do
		}
	}
}

// flow returns the sender's way, or nil where there are too many.
func (d *proxy) flow(sender netip.AddrPort) *flow {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.flows[sender]; ok {
		return f
	}
	if len(d.flows) >= maxFlows {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, d.upstream)
	if err != nil {
		return nil
	}
	f := &flow{proxy: d, sender: sender, conn: conn}
	d.flows[sender] = f
	go f.run()
	return f
}

// run passes replies back until the network is closed.
func (f *flow) run() {
	packet := make([]byte, maxPacketBytes)
	for {
		size, err := f.conn.Read(packet)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the process is not there now
		}
		if f.proxy.network.allows(f.sender, f.proxy.zone) {
			_, _ = f.proxy.conn.WriteToUDPAddrPort(packet[:size], f.sender)
		}
	}
}

func (d *proxy) close() {
	_ = d.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.flows {
		_ = f.conn.Close()
	}
}
