package standin

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
	mu    sync.Mutex
	zones map[netip.AddrPort]place.Zone // by the processes' own addresses
	cut   []place.Zone
	nodes []*node
}

// node is the address of one process in the network.
type node struct {
	network *Network
	zone    place.Zone
	own     *net.UDPAddr // where the process itself listens
	conn    *net.UDPConn // where others reach it

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is one sender's way to a node.
type flow struct {
	node   *node
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
	next := &node{
		network: n, zone: zone, own: net.UDPAddrFromAddrPort(own), conn: conn,
		flows: make(map[netip.AddrPort]*flow),
	}
	n.mu.Lock()
	n.zones[own] = zone
	n.nodes = append(n.nodes, next)
	n.mu.Unlock()
	go next.run()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Cut drops all packets between the zones and all others, from now on; no
// zones join all again.
func (n *Network) Cut(zones ...place.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = zones
}

// Close ends the network.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, each := range n.nodes {
		each.close()
	}
}

// passes reports whether packets go between a sender and a zone.
func (n *Network) passes(sender netip.AddrPort, zone place.Zone) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.zones[sender]
	if !known || from == zone {
		return true
	}
	return !slices.Contains(n.cut, from) && !slices.Contains(n.cut, zone)
}

// run passes packets on to the process until the network is closed.
func (d *node) run() {
	packet := make([]byte, maxPacketBytes)
	for {
		size, sender, err := d.conn.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		if !d.network.passes(sender, d.zone) {
			continue
		}
		if f := d.flow(sender); f != nil {
			_, _ = f.conn.Write(packet[:size]) // a lost packet, as networks do
		}
	}
}

// flow returns the sender's way, or nil where there are too many.
func (d *node) flow(sender netip.AddrPort) *flow {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.flows[sender]; ok {
		return f
	}
	if len(d.flows) >= maxFlows {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, d.own)
	if err != nil {
		return nil
	}
	f := &flow{node: d, sender: sender, conn: conn}
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
		if f.node.network.passes(f.sender, f.node.zone) {
			_, _ = f.node.conn.WriteToUDPAddrPort(packet[:size], f.sender)
		}
	}
}

func (d *node) close() {
	_ = d.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.flows {
		_ = f.conn.Close()
	}
}
