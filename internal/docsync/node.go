package docsync

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// topologyInterval is the time between two updates of the topology;
	// fastTopologyInterval replaces it while an address is failing. After a
	// change of the list of hosts or a new failure, an update follows after a
	// fifth of fastTopologyInterval.
	topologyInterval     = time.Second
	fastTopologyInterval = 250 * time.Millisecond
	// suspectAfter is how long a process may fail to respond before it is
	// suspected and others are used in its place.
	suspectAfter = time.Second
)

// Config configures a Node.
type Config struct {
	Self peer.Identity
	// Addr is the process's own peer address, which it doesn't follow.
	Addr netip.AddrPort
	// CPUShare is the host's CPU share, zero where it is not known.
	CPUShare float64
	// LocalLead is the address of the lead process on an entry process's own
	// host.
	LocalLead netip.AddrPort
	// Seeds are peer addresses of lead processes. They are used before the list
	// of hosts is known and while all followed processes are suspected.
	Seeds []netip.AddrPort
	// Store is the platform's store; it is nil for entry processes.
	Store platform.Store
	// Watch, where set, is run instead of a Watcher of Store.
	Watch func(ctx context.Context) error
	// Hosts, where set, returns the hosts instead of the Fleet document.
	// HostsDocument is then the document that they come from, whose changes
	// update the topology.
	Hosts         func() []place.HostRow
	HostsDocument Name
	Log           *slog.Logger
}

// Node keeps the replica of one process in sync with those of others.
type Node struct {
	cfg       Config
	replica   *MemoryReplica
	transport peer.Transport
	log       *slog.Logger

	fetching fetchGroup
	// failureSignal gets a token when an address begins to fail.
	failureSignal chan struct{}

	mu     sync.Mutex
	health map[netip.AddrPort]health
}

// health is the state of one address that a node follows or pushes to.
type health struct {
	failing bool
	since   time.Time // when the first call that failed since the last success was sent
}

// NewNode returns a node for one process. For a lead process it registers the
// message handler.
func NewNode(local *MemoryReplica, transport peer.Transport, cfg Config) *Node {
	if cfg.Log == nil {
		cfg.Log = logging.Nop()
	}
	n := &Node{
		cfg:           cfg,
		replica:       local,
		transport:     transport,
		log:           logging.Component(cfg.Log, "spread"),
		fetching:      fetchGroup{running: make(map[header]chan struct{})},
		health:        make(map[netip.AddrPort]health),
		failureSignal: make(chan struct{}, 1),
	}
	if cfg.Self.Role == peer.RoleLead {
		transport.Handle(peer.KindSync, n.serve)
	}
	return n
}

// Run follows other processes, pushes to them and watches the store as the
// topology demands, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := &taskSet{node: n, ctx: ctx, running: make(map[task]context.CancelFunc)}
	hostsChanged := n.replica.Subscribe(cmp.Or(n.cfg.HostsDocument, Fleet))
	timer := time.NewTimer(fastTopologyInterval)
	defer timer.Stop()
	for {
		tasks.reconcile(ComputeTopology(n.view(time.Now())))
		interval := topologyInterval
		if n.anyFailing() {
			interval = fastTopologyInterval
		}
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			tasks.wg.Wait()
			return nil
		case <-timer.C:
			continue
		case <-hostsChanged:
		case <-n.failureSignal:
		}
		// Changes often come in groups; one update covers all within this time.
		select {
		case <-ctx.Done():
		case <-time.After(fastTopologyInterval / 5):
		}
	}
}

// anyFailing reports whether any address failed to respond to its last call.
func (n *Node) anyFailing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.health {
		if h.failing {
			return true
		}
	}
	return false
}

// Topology returns the node's topology at the time now.
func (n *Node) Topology(now time.Time) Topology { return ComputeTopology(n.view(now)) }

func (n *Node) view(now time.Time) View {
	return View{
		Self:      n.cfg.Self.Host,
		Zone:      n.cfg.Self.Zone,
		Role:      n.cfg.Self.Role,
		Addr:      n.cfg.Addr,
		CPUShare:  n.cfg.CPUShare,
		LocalLead: n.cfg.LocalLead,
		Seeds:     n.cfg.Seeds,
		Hosts:     n.hosts(),
		Suspected: func(addr netip.AddrPort) bool { return n.suspected(now, addr) },
		Failing:   n.failing,
	}
}

func (n *Node) hosts() []place.HostRow {
	if n.cfg.Hosts != nil {
		return n.cfg.Hosts()
	}
	doc, ok := n.replica.Get(Fleet)
	if !ok {
		return nil
	}
	fleet, err := DecodeFleet(doc.Body)
	if err != nil {
		n.log.Warn("Fleet document could not be decoded.", slog.Any("error", err))
		return nil
	}
	return fleet.Hosts
}

func (n *Node) suspected(now time.Time, addr netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.health[addr]
	return h.failing && now.Sub(h.since) >= suspectAfter
}

func (n *Node) failing(addr netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health[addr].failing
}

func (n *Node) markHealthy(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.health, addr)
}

// markFailed records that a call sent at the given time failed.
func (n *Node) markFailed(sent time.Time, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.health[addr].failing {
		return
	}
	n.health[addr] = health{failing: true, since: sent}
	select {
	case n.failureSignal <- struct{}{}:
	default: // a token is already pending
	}
}

func (n *Node) forget(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.health, addr)
}

// task identifies one activity of a node, which has a goroutine of its own.
type task struct {
	kind taskKind
	addr netip.AddrPort
	// standby is set where a process is followed as a standby.
	standby bool
}

type taskKind uint8

const (
	taskWatch taskKind = iota
	taskFollow
	taskPush
)

// taskSet runs one goroutine for each task and stops those that are no longer
// wanted.
type taskSet struct {
	node    *Node
	ctx     context.Context
	running map[task]context.CancelFunc
	wg      sync.WaitGroup
}

func (s *taskSet) reconcile(topology Topology) {
	wanted := make(map[task]struct{})
	if topology.Watch && (s.node.cfg.Store != nil || s.node.cfg.Watch != nil) {
		wanted[task{kind: taskWatch}] = struct{}{}
	}
	for _, addr := range topology.Follow {
		wanted[task{kind: taskFollow, addr: addr, standby: slices.Contains(topology.Standby, addr)}] = struct{}{}
	}
	for _, addr := range topology.Push {
		wanted[task{kind: taskPush, addr: addr}] = struct{}{}
	}
	for t, cancel := range s.running {
		if _, ok := wanted[t]; !ok {
			cancel()
			delete(s.running, t)
			if _, ok := wanted[task{kind: t.kind, addr: t.addr, standby: !t.standby}]; !ok {
				s.node.forget(t.addr)
			}
		}
	}
	for t := range wanted {
		if _, ok := s.running[t]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		s.running[t] = cancel
		s.wg.Add(1)
		go s.run(ctx, t)
	}
}

func (s *taskSet) run(ctx context.Context, t task) {
	defer s.wg.Done()
	switch t.kind {
	case taskWatch:
		s.node.log.Info("Watching the store.")
		watch := s.node.cfg.Watch
		if watch == nil {
			watch = NewWatcher(s.node.cfg.Store, s.node.replica, s.node.log).Run
		}
		// It returns only when its context ends.
		_ = watch(ctx)
	case taskFollow:
		f := &follower{node: s.node, addr: t.addr, standby: t.standby}
		f.loop(ctx)
	case taskPush:
		p := &pusher{node: s.node, addr: t.addr, acked: make(map[Name]Version)}
		p.loop(ctx)
	}
}
