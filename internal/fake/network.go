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
	// maxFlows bounds the senders of one proxy.
	maxFlows = 1024
)

// Network simulates the network between hosts: each process has a proxy that
// forwards packets to it, unless their zones are partitioned. Packets that the
// process sends back take the same way. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	zones       map[netip.AddrPort]place.Zone // by the process's own address
	partitioned []place.Zone
	proxies     []*proxy
}

// proxy is the UDP proxy in front of one process.
type proxy struct {
	network  *Network
	zone     place.Zone
	upstream *net.UDPAddr // address of the process itself
	conn     *net.UDPConn // socket at the address that others use

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is the path from one sender through a proxy to its process.
type flow struct {
	proxy  *proxy
	sender netip.AddrPort
	conn   *net.UDPConn
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{zones: make(map[netip.AddrPort]place.Zone)}
}

// Add adds a process that listens at addr and returns the address at which other
// hosts reach it.
func (n *Network) Add(addr netip.AddrPort, zone place.Zone) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, err
	}
	added := &proxy{
		network: n, zone: zone, upstream: net.UDPAddrFromAddrPort(addr), conn: conn,
		flows: make(map[netip.AddrPort]*flow),
	}
	n.mu.Lock()
	n.zones[addr] = zone
	n.proxies = append(n.proxies, added)
	n.mu.Unlock()
	go added.run()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Partition drops all packets between these zones and all other zones from now
// on. Without zones it ends the partition.
func (n *Network) Partition(zones ...place.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = zones
}

// Close closes all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, proxy := range n.proxies {
		proxy.close()
	}
}

// allows reports whether packets are forwarded between a sender and a zone.
func (n *Network) allows(sender netip.AddrPort, zone place.Zone) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.zones[sender]
	if !known || from == zone {
		return true
	}
	return !slices.Contains(n.partitioned, from) && !slices.Contains(n.partitioned, zone)
}

// run forwards packets to the process until the network is closed.
func (p *proxy) run() {
	packet := make([]byte, maxPacketBytes)
	for {
		size, sender, err := p.conn.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		if !p.network.allows(sender, p.zone) {
			continue
		}
		if f := p.flow(sender); f != nil {
			_, _ = f.conn.Write(packet[:size]) // a lost packet is allowed in UDP
		}
	}
}

// flow returns the sender's flow, or nil beyond maxFlows.
func (p *proxy) flow(sender netip.AddrPort) *flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.flows[sender]; ok {
		return f
	}
	if len(p.flows) >= maxFlows {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, p.upstream)
	if err != nil {
		return nil
	}
	f := &flow{proxy: p, sender: sender, conn: conn}
	p.flows[sender] = f
	go f.run()
	return f
}

// run forwards packets of the process to the sender until the network is
// closed.
func (f *flow) run() {
	packet := make([]byte, maxPacketBytes)
	for {
		size, err := f.conn.Read(packet)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the process isn't listening now
		}
		if f.proxy.network.allows(f.sender, f.proxy.zone) {
			_, _ = f.proxy.conn.WriteToUDPAddrPort(packet[:size], f.sender)
		}
	}
}

func (p *proxy) close() {
	_ = p.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		_ = f.conn.Close()
	}
}
