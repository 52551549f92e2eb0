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
	// topologyInterval is the time between two looks at whom to follow, arrangeSoon
	// that after the list of hosts has changed and while an address fails.
	topologyInterval     = time.Second
	fastTopologyInterval = 250 * time.Millisecond
	// suspectAfter is how long a process may fail to answer before others
	// stand in for it.
	suspectAfter = time.Second
)

// Config is what a Node needs.
type Config struct {
	Self peer.Identity
	// Addr is the process's own peer address: it follows itself nowhere.
	Addr netip.AddrPort
	// CPUShare is the host's share of a core, zero where nobody tells.
	CPUShare float64
	// LocalLead is where an entry finds the lead process of its own host.
	LocalLead netip.AddrPort
	// Seeds are peer addresses of lead processes to start from.
	Seeds []netip.AddrPort
	// Store is the platform's service; entries leave it nil.
	Store platform.Store
	// Watch, where set, is run in place of a Watcher of Store.
	Watch func(ctx context.Context) error
	// Hosts, where set, lists the hosts in place of the Fleet document, and Listed
	// names the document that they come from.
	Hosts         func() []place.HostRow
	HostsDocument Name
	Log           *slog.Logger
}

// Node keeps the board of one process in step with those of others.
type Node struct {
	cfg     Config
	replica *MemoryReplica
	link    peer.Transport
	log     *slog.Logger

	fetching fetchGroup
	// failureSignal gets a token when a process begins to fail.
	failureSignal chan struct{}

	mu     sync.Mutex
	health map[netip.AddrPort]health
}

// health is what a node knows of one address that it follows or tells.
type health struct {
	failing bool
	since   time.Time // the first failure since the last success
}

// NewNode returns a node for one process and registers its message handler.
func NewNode(board *MemoryReplica, link peer.Transport, cfg Config) *Node {
	if cfg.Log == nil {
		cfg.Log = logging.Nop()
	}
	n := &Node{
		cfg:           cfg,
		replica:       board,
		link:          link,
		log:           logging.Component(cfg.Log, "spread"),
		fetching:      fetchGroup{running: make(map[header]chan struct{})},
		health:        make(map[netip.AddrPort]health),
		failureSignal: make(chan struct{}, 1),
	}
	if cfg.Self.Role == peer.RoleLead {
		link.Handle(peer.KindSync, n.serve)
	}
	return n
}

// Run follows, tells and watches as Arrange decides, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &taskSet{node: n, ctx: ctx, running: make(map[task]context.CancelFunc)}
	listed := n.replica.Subscribe(cmp.Or(n.cfg.HostsDocument, Fleet))
	timer := time.NewTimer(fastTopologyInterval)
	defer timer.Stop()
	for {
		s.reconcile(ComputeTopology(n.view(time.Now())))
		rest := topologyInterval
		if n.anyFailing() {
			rest = fastTopologyInterval
		}
		timer.Reset(rest)
		select {
		case <-ctx.Done():
			s.wg.Wait()
			return nil
		case <-timer.C:
			continue
		case <-listed:
		case <-n.failureSignal:
		}
		// What changed may take a moment to be all there.
		select {
		case <-ctx.Done():
		case <-time.After(fastTopologyInterval / 5):
		}
	}
}

// anyFailing reports whether any address did not answer when it was last asked.
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

// Topology returns whom the node follows and tells at the time now.
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
		n.log.Warn("fleet document not readable", slog.Any("error", err))
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

// markFailed records that a call sent at the given time got no answer.
func (n *Node) markFailed(sent time.Time, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.health[addr].failing {
		return
	}
	n.health[addr] = health{failing: true, since: sent}
	select {
	case n.failureSignal <- struct{}{}:
	default: // a token is waiting already
	}
}

func (n *Node) forget(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.health, addr)
}

// task is one thing that a node does at a time.
type task struct {
	kind taskKind
	addr netip.AddrPort
	// standby tells that a process is followed in case another one fails.
	standby bool
}

type taskKind uint8

const (
	taskWatch taskKind = iota
	taskFollow
	taskPush
)

// taskSet runs one goroutine for each duty and ends those no longer wanted.
type taskSet struct {
	node    *Node
	ctx     context.Context
	running map[task]context.CancelFunc
	wg      sync.WaitGroup
}

func (s *taskSet) reconcile(a Topology) {
	wanted := make(map[task]struct{})
	if a.Watch && (s.node.cfg.Store != nil || s.node.cfg.Watch != nil) {
		wanted[task{kind: taskWatch}] = struct{}{}
	}
	for _, addr := range a.Follow {
		wanted[task{kind: taskFollow, addr: addr, standby: slices.Contains(a.Standby, addr)}] = struct{}{}
	}
	for _, addr := range a.Push {
		wanted[task{kind: taskPush, addr: addr}] = struct{}{}
	}
	for d, cancel := range s.running {
		if _, ok := wanted[d]; !ok {
			cancel()
			delete(s.running, d)
			if _, ok := wanted[task{kind: d.kind, addr: d.addr, standby: !d.standby}]; !ok {
				s.node.forget(d.addr)
			}
		}
	}
	for d := range wanted {
		if _, ok := s.running[d]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		s.running[d] = cancel
		s.wg.Add(1)
		go s.run(ctx, d)
	}
}

func (s *taskSet) run(ctx context.Context, d task) {
	defer s.wg.Done()
	switch d.kind {
	case taskWatch:
		s.node.log.Info("Watching the store.")
		watch := s.node.cfg.Watch
		if watch == nil {
			watch = NewWatcher(s.node.cfg.Store, s.node.replica, s.node.log).Run
		}
		// It ends with its context alone.
		_ = watch(ctx)
	case taskFollow:
		f := &follower{node: s.node, addr: d.addr, standby: d.standby}
		f.loop(ctx)
	case taskPush:
		p := &pusher{node: s.node, addr: d.addr, acked: make(map[Name]Version)}
		p.loop(ctx)
	}
}
