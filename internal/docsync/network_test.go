package docsync_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// network connects the nodes of a test in memory and simulates partitions.
type network struct {
	mu          sync.Mutex
	transports  map[netip.AddrPort]*memoryTransport
	partitioned func(from, to netip.AddrPort) bool
	// dropsLarge holds the addresses whose large responses are dropped.
	dropsLarge map[netip.AddrPort]bool
	calls      int
	bytes      int
}

// memoryTransport is the peer.Transport of one process.
type memoryTransport struct {
	net      *network
	self     peer.Identity
	addr     netip.AddrPort
	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
}

const hopDelay = time.Millisecond

func newNetwork() *network {
	return &network{transports: make(map[netip.AddrPort]*memoryTransport), dropsLarge: make(map[netip.AddrPort]bool), partitioned: func(_, _ netip.AddrPort) bool { return false }}
}

func (n *network) transport(self peer.Identity, addr netip.AddrPort) *memoryTransport {
	w := &memoryTransport{net: n, self: self, addr: addr, handlers: make(map[peer.Kind]peer.Handler)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[addr] = w
	return w
}

func (n *network) setPartition(drops func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = drops
}

// dropLargeResponses drops all large responses of an address from now on, as a
// congested link would.
func (n *network) dropLargeResponses(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropsLarge[addr] = true
}

func (n *network) dropsResponse(addr netip.AddrPort, size int) bool {
	const large = 2 << 10
	n.mu.Lock()
	defer n.mu.Unlock()
	return size > large && n.dropsLarge[addr]
}

func (n *network) remove(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.transports, addr)
}

func (n *network) find(from, to netip.AddrPort, size int) *memoryTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes += size
	if n.partitioned(from, to) {
		return nil
	}
	return n.transports[to]
}

func (w *memoryTransport) Handle(kind peer.Kind, handler peer.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handlers[kind] = handler
}

func (w *memoryTransport) Call(ctx context.Context, to netip.AddrPort, kind peer.Kind, body []byte) ([]byte, error) {
	time.Sleep(hopDelay)
	other := w.net.find(w.addr, to, len(body))
	if other == nil {
		<-ctx.Done()
		return nil, peer.ErrUnreachable
	}
	other.mu.Lock()
	handler := other.handlers[kind]
	other.mu.Unlock()
	if handler == nil {
		return nil, peer.ErrRefused
	}
	resp, err := handler(ctx, w.self, body)
	time.Sleep(hopDelay)
	if w.net.find(w.addr, to, len(resp)) == nil || w.net.dropsResponse(to, len(resp)) {
		<-ctx.Done()
		return nil, peer.ErrNoResponse
	}
	return resp, err
}

// fakeStore is a platform.Store with one value and a fleet list. It counts the
// calls.
type fakeStore struct {
	platform.Store

	mu              sync.Mutex
	revision        platform.Revision
	value           []byte
	changed         chan struct{}
	fleet           platform.Fleet
	down            func() bool
	calls           int
	partitionedZone place.Zone
	delay           time.Duration
}

func newStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), down: func() bool { return false }}
}

func (s *fakeStore) set(value string) platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.value = []byte(value)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = func() bool { return down }
}

// inZone returns the store as the hosts of a zone reach it.
func (s *fakeStore) inZone(zone place.Zone) platform.Store {
	return zoneStore{fakeStore: s, zone: zone}
}

// zoneStore is the store as reached from one zone, which may be partitioned
// from it, or slow.
type zoneStore struct {
	*fakeStore

	zone place.Zone
}

func (z zoneStore) beginCall() error {
	z.mu.Lock()
	partitioned, delay := z.partitionedZone == z.zone, z.delay
	z.mu.Unlock()
	time.Sleep(delay)
	if partitioned {
		return platform.ErrUnavailable
	}
	return nil
}

func (z zoneStore) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	if err := z.beginCall(); err != nil {
		return nil, 0, err
	}
	return z.fakeStore.List(ctx, prefix)
}

func (z zoneStore) Watch(ctx context.Context, prefix platform.Path, from platform.Revision) ([]platform.Change, platform.Revision, error) {
	if err := z.beginCall(); err != nil {
		return nil, from, err
	}
	return z.fakeStore.Watch(ctx, prefix, from)
}

func (z zoneStore) Fleet(ctx context.Context) (platform.Fleet, error) {
	if err := z.beginCall(); err != nil {
		return platform.Fleet{}, err
	}
	return z.fakeStore.Fleet(ctx)
}

// injectFault partitions a zone from the store and delays all calls.
func (s *fakeStore) injectFault(zone place.Zone, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionedZone, s.delay = zone, delay
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) beginCall() error {
	s.calls++
	if s.down() {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) List(context.Context, platform.Path) ([]platform.Entry, platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return nil, 0, err
	}
	if s.revision == 0 {
		return nil, 0, nil
	}
	return []platform.Entry{s.entry()}, s.revision, nil
}

func (s *fakeStore) entry() platform.Entry {
	return platform.Entry{Path: settings.StorePath, Value: s.value, Revision: s.revision}
}

func (s *fakeStore) Watch(ctx context.Context, _ platform.Path, from platform.Revision) ([]platform.Change, platform.Revision, error) {
	s.mu.Lock()
	err, changed := s.beginCall(), s.changed
	if err != nil || s.revision > from {
		defer s.mu.Unlock()
		return []platform.Change{{Entry: s.entry()}}, s.revision, err
	}
	s.mu.Unlock()
	const wait = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
		return nil, from, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return []platform.Change{{Entry: s.entry()}}, s.revision, nil
}

func (s *fakeStore) Fleet(context.Context) (platform.Fleet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet, s.beginCall()
}

// deployment is a set of hosts with a lead and an entry process each.
type deployment struct {
	net     *network
	store   *fakeStore
	hosts   []place.HostRow
	ctx     context.Context
	stops   map[place.Host]context.CancelFunc
	leads   map[place.Host]*docsync.MemoryReplica
	entries map[place.Host]*docsync.MemoryReplica
}

func zoneOf(i, zones int) place.Zone { return place.Zone(fmt.Sprintf("zone-%c", 'a'+i%zones)) }

func newDeployment(ctx context.Context, hosts, zones int) *deployment {
	d := &deployment{
		net: newNetwork(), store: newStore(), ctx: ctx,
		stops:   make(map[place.Host]context.CancelFunc),
		leads:   make(map[place.Host]*docsync.MemoryReplica),
		entries: make(map[place.Host]*docsync.MemoryReplica),
	}
	for i := range hosts {
		addr := netip.AddrFrom4([4]byte{10, byte(i % zones), byte(i >> 8), byte(i)})
		d.hosts = append(d.hosts, place.HostRow{
			Host: place.Host(fmt.Sprintf("host-%02d", i)), Zone: zoneOf(i, zones),
			LeadAddr: netip.AddrPortFrom(addr, 1), EntryAddr: netip.AddrPortFrom(addr, 2),
		})
	}
	d.store.fleet.Hosts = d.hosts
	return d
}

func (d *deployment) startAll() {
	for _, row := range d.hosts {
		d.start(row)
	}
}

// start starts a host's processes with empty replicas.
func (d *deployment) start(row place.HostRow) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.stops[row.Host] = cancel
	seeds := []netip.AddrPort{d.hosts[0].LeadAddr, d.hosts[1].LeadAddr, d.hosts[2].LeadAddr}
	lead := peer.Identity{Host: row.Host, Zone: row.Zone, Role: peer.RoleLead}
	entry := peer.Identity{Host: row.Host, Zone: row.Zone, Role: peer.RoleEntry}
	d.leads[row.Host], d.entries[row.Host] = docsync.New(), docsync.New()
	leadNode := docsync.NewNode(d.leads[row.Host], d.net.transport(lead, row.LeadAddr), docsync.Config{Self: lead, Addr: row.LeadAddr, Seeds: seeds, Store: d.store.inZone(row.Zone)})
	entryNode := docsync.NewNode(d.entries[row.Host], d.net.transport(entry, row.EntryAddr), docsync.Config{Self: entry, LocalLead: row.LeadAddr, Seeds: seeds})
	go func() { _ = leadNode.Run(ctx) }()
	go func() { _ = entryNode.Run(ctx) }()
}

// stop ends a host's processes; their replicas are lost.
func (d *deployment) stop(row place.HostRow) {
	d.stops[row.Host]()
	d.net.remove(row.LeadAddr)
	d.net.remove(row.EntryAddr)
	delete(d.leads, row.Host)
	delete(d.entries, row.Host)
}

// outdated returns the processes whose document doesn't have the expected body.
func (d *deployment) outdated(name docsync.Name, body string) []string {
	var out []string
	for kind, replicas := range map[string]map[place.Host]*docsync.MemoryReplica{"lead": d.leads, "entry": d.entries} {
		for host, replica := range replicas {
			if doc, _ := replica.Get(name); string(doc.Body) != body {
				out = append(out, fmt.Sprintf("%s of %s has %q", kind, host, doc.Body))
			}
		}
	}
	return out
}

// rollBack makes the store respond with the revision before its newest one, as
// a lagging copy would.
func (s *fakeStore) rollBack(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision--
	s.value = []byte(value)
}
