package spread

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/journal"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// arrangeInterval is the time between two looks at whom to follow, arrangeSoon
	// that after the list of hosts has changed and while an address fails.
	arrangeInterval = time.Second
	arrangeSoon     = 250 * time.Millisecond
	// suspectAfter is how long a process may fail to answer before others
	// stand in for it.
	suspectAfter = time.Second
)

// Config is what a Node needs.
type Config struct {
	Self peer.Identity
	// Addr is the process's own peer address: it follows itself nowhere.
	Addr netip.AddrPort
	// Processor is the host's share of a core, zero where nobody tells.
	Processor float64
	// OwnLead is where an entry finds the lead process of its own host.
	OwnLead netip.AddrPort
	// Seeds are peer addresses of lead processes to start from.
	Seeds []netip.AddrPort
	// Store is the platform's service; entries leave it nil.
	Store platform.Store
	// Watch, where set, is run in place of a Watcher of Store.
	Watch func(ctx context.Context) error
	// Hosts, where set, lists the hosts in place of the Fleet document, and Listed
	// names the document that they come from.
	Hosts  func() []place.HostRow
	Listed Name
	Log    *slog.Logger
}

// Node keeps the board of one process in step with those of others.
type Node struct {
	cfg   Config
	board *Memory
	link  peer.Link
	log   *slog.Logger

	fetching flight
	// stirred gets a token when a process begins to fail.
	stirred chan struct{}

	mu     sync.Mutex
	health map[netip.AddrPort]health
}

// health is what a node knows of one address that it follows or tells.
type health struct {
	failing bool
	since   time.Time // the first failure since the last success
}

// NewNode returns a node for one process and registers its message handler.
func NewNode(board *Memory, link peer.Link, cfg Config) *Node {
	if cfg.Log == nil {
		cfg.Log = journal.Nop()
	}
	n := &Node{
		cfg:      cfg,
		board:    board,
		link:     link,
		log:      journal.Part(cfg.Log, "spread"),
		fetching: flight{running: make(map[header]chan struct{})},
		health:   make(map[netip.AddrPort]health),
		stirred:  make(chan struct{}, 1),
	}
	if cfg.Self.Role == peer.RoleLead {
		link.Handle(peer.KindSpread, n.answer)
	}
	return n
}

// Run follows, tells and watches as Arrange decides, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &staff{node: n, ctx: ctx, running: make(map[duty]context.CancelFunc)}
	listed := n.board.Subscribe(cmp.Or(n.cfg.Listed, Fleet))
	timer := time.NewTimer(arrangeSoon)
	defer timer.Stop()
	for {
		s.assign(Arrange(n.view(time.Now())))
		rest := arrangeInterval
		if n.anyFailing() {
			rest = arrangeSoon
		}
		timer.Reset(rest)
		select {
		case <-ctx.Done():
			s.work.Wait()
			return nil
		case <-timer.C:
			continue
		case <-listed:
		case <-n.stirred:
		}
		// What changed may take a moment to be all there.
		select {
		case <-ctx.Done():
		case <-time.After(arrangeSoon / 5):
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

// Arrangement returns whom the node follows and tells at the time now.
func (n *Node) Arrangement(now time.Time) Arrangement { return Arrange(n.view(now)) }

func (n *Node) view(now time.Time) View {
	return View{
		Self:      n.cfg.Self.Host,
		Zone:      n.cfg.Self.Zone,
		Role:      n.cfg.Self.Role,
		Addr:      n.cfg.Addr,
		Processor: n.cfg.Processor,
		OwnLead:   n.cfg.OwnLead,
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
	doc, ok := n.board.Get(Fleet)
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

func (n *Node) succeeded(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.health, addr)
}

// failed records that a call sent at the given time got no answer.
func (n *Node) failed(sent time.Time, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.health[addr].failing {
		return
	}
	n.health[addr] = health{failing: true, since: sent}
	select {
	case n.stirred <- struct{}{}:
	default: // a token is waiting already
	}
}

func (n *Node) forget(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.health, addr)
}

// duty is one thing that a node does at a time.
type duty struct {
	kind dutyKind
	addr netip.AddrPort
	// spare tells that a process is followed in case another one fails.
	spare bool
}

type dutyKind uint8

const (
	dutyWatch dutyKind = iota
	dutyFollow
	dutyPush
)

// staff runs one goroutine for each duty and ends those no longer wanted.
type staff struct {
	node    *Node
	ctx     context.Context
	running map[duty]context.CancelFunc
	work    sync.WaitGroup
}

func (s *staff) assign(a Arrangement) {
	wanted := make(map[duty]struct{})
	if a.Watch && (s.node.cfg.Store != nil || s.node.cfg.Watch != nil) {
		wanted[duty{kind: dutyWatch}] = struct{}{}
	}
	for _, addr := range a.Follow {
		wanted[duty{kind: dutyFollow, addr: addr, spare: slices.Contains(a.Spare, addr)}] = struct{}{}
	}
	for _, addr := range a.Push {
		wanted[duty{kind: dutyPush, addr: addr}] = struct{}{}
	}
	for d, cancel := range s.running {
		if _, ok := wanted[d]; !ok {
			cancel()
			delete(s.running, d)
			if _, ok := wanted[duty{kind: d.kind, addr: d.addr, spare: !d.spare}]; !ok {
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
		s.work.Add(1)
		go s.run(ctx, d)
	}
}

func (s *staff) run(ctx context.Context, d duty) {
	defer s.work.Done()
	switch d.kind {
	case dutyWatch:
		s.node.log.Info("Watching the store.")
		watch := s.node.cfg.Watch
		if watch == nil {
			watch = NewWatcher(s.node.cfg.Store, s.node.board, s.node.log).Run
		}
		// It ends with its context alone.
		_ = watch(ctx)
	case dutyFollow:
		f := &follower{node: s.node, addr: d.addr, spare: d.spare}
		f.loop(ctx)
	case dutyPush:
		p := &pusher{node: s.node, addr: d.addr, told: make(map[Name]Version)}
		p.loop(ctx)
	}
}
