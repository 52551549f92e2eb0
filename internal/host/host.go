// Package host runs one host of a deployment whose platform keeps what must
// last: it takes clients' requests, leads services, and shares what it knows
// with the other hosts. One process does it all.
package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"citrontray.example/citrontray/internal/admin"
	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/journal"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/site"
	"citrontray.example/citrontray/internal/spread"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

// Environment is what a host meets the outside through.
type Environment struct {
	Site   site.Site
	Store  platform.SessionStore
	Orders target.OrderDialer
	// Names are the headers that clients and targets use.
	Names *target.HeaderNames
	// Dial opens connections to targets.
	Dial forward.Dial
	// DecodeConfig and DecodeTarget read what others wrote into the store.
	DecodeConfig func(body []byte) (*traffic.Config, error)
	DecodeTarget func(name place.Target, body []byte) (place.TargetRow, error)
	Keys         peer.Credentials
	// ReadSite reads the site again, after its file changed.
	ReadSite func() (site.Site, error)
	Journal  *journal.Bounded
}

// Host is one process. It is an http.Handler for clients.
type Host struct {
	env   Environment
	site  site.Site
	names *target.HeaderNames
	log   *slog.Logger
	life  place.Incarnation

	store     *countedStore
	board     *spread.Memory
	link      *peer.Peer
	node      *spread.Node
	viewer    *viewer
	registrar *registrar
	watcher   *watcher
	desk      *desk
	pools     *pools
	retries   *retries
	patience  *patience
	trust     *trust
	splitter  *traffic.Splitter
	meter     *meter
	held      *semaphore.Weighted
	metrics   *metrics
	registry  *metric.Registry
	admin     *admin.Server

	// bounds change with the settings file.
	bounds atomic.Pointer[site.Bounds]

	front    net.Listener
	ready    net.Listener
	stopping atomic.Bool
	// cut tells that a cut keeps most targets from this host, by the last look.
	cut atomic.Bool

	mu      sync.Mutex
	runners map[key.Service]*runner
}

// Open opens the sockets of a host; nothing runs yet.
func Open(env Environment) (*Host, error) {
	h := &Host{
		env: env, site: env.Site, names: env.Names, log: slog.New(env.Journal),
		life:     place.Incarnation(time.Now().UnixNano()),
		board:    spread.New(),
		pools:    newPools(env.Dial),
		retries:  newRetries(),
		patience: newPatience(),
		trust:    newTrust(),
		splitter: traffic.NewSplitter(),
		meter:    newMeter(),
		held:     semaphore.NewWeighted(int64(maxHeld * float64(env.Site.MemoryBytes))),
		runners:  make(map[key.Service]*runner),
		registry: metric.New("citrontray_host"),
	}
	h.metrics = newMetrics(h.registry)
	h.store = &countedStore{SessionStore: env.Store, metrics: h.metrics, log: h.log}
	h.env.Store = h.store
	h.setBounds(env.Site.Bounds)
	h.viewer = newViewer(h.board, h.log, env.DecodeConfig)
	h.registrar = newRegistrar(h)
	if err := h.openSockets(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Host) member() member.Host {
	return member.Host{
		Name: h.site.Host, Incarnation: h.life, Zone: h.site.Zone,
		PeerAddr: h.site.Peer, TicketAddr: h.site.Ticket, CPUShare: h.site.Processor,
	}
}

func (h *Host) openSockets() error {
	link, err := peer.New(peer.Config{Listen: h.site.Peer, Keys: h.env.Keys, Log: h.log})
	if err != nil {
		return fmt.Errorf("host: peer address: %w", err)
	}
	h.link = link
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.site.Ticket))
	if err != nil {
		return fmt.Errorf("host: ticket address: %w", err)
	}
	self := dispatch.Peer{Host: h.site.Host, Incarnation: h.life, Zone: h.site.Zone}
	h.desk = newDesk(self, conn, h.log, h)
	h.desk.guard = h.guard
	h.desk.address = h.ticketAddress
	h.desk.others = map[byte]func([]byte){
		datagramReport: h.heardReport, datagramNotice: h.heardNotice, datagramReading: h.heardReading, datagramPresence: h.heardPresence,
	}
	h.desk.catalog = func() dispatch.Catalog { return h.viewer.view() }
	if h.front, err = net.Listen("tcp4", h.site.Front.String()); err != nil {
		return fmt.Errorf("host: front address: %w", err)
	}
	if h.ready, err = net.Listen("tcp4", h.site.Ready.String()); err != nil {
		return fmt.Errorf("host: ready address: %w", err)
	}
	if h.site.Admin.IsValid() {
		h.admin, err = admin.Listen(h.site.Admin, h.registry.Handler(), status.Handler(h))
		if err != nil {
			return err
		}
		h.pages()
	}
	h.watcher = &watcher{
		store: h.env.Store, board: h.board, log: h.log, decodeTarget: h.env.DecodeTarget, tell: h.tellReading,
		stirred: make(chan struct{}, 1), configVersion: h.configVersion,
	}
	h.watcher.patience = patienceOf(&h.site)
	var seeds []netip.AddrPort
	for _, seed := range h.site.Seeds {
		seeds = append(seeds, seed.Peer)
	}
	h.node = spread.NewNode(h.board, h.link, spread.Config{
		Self: h.env.Keys.Self(), Addr: h.site.Peer, Seeds: seeds, Watch: h.watcher.run, Log: h.log,
		Processor: h.site.Processor, Listed: docMembers,
		Hosts: func() []place.HostRow { return h.viewer.view().members.HostRows() },
	})
	return nil
}

// configVersion returns the version of a configuration, and whether it is readable.
func (h *Host) configVersion(body []byte) (version traffic.Version, ok bool) {
	h.guard("configuration", func() {
		if c, err := h.env.DecodeConfig(body); err == nil {
			version, ok = c.Version, true
		}
	})
	return version, ok
}

// patienceOf returns how long a host that starts waits for what the seeds have
// read from the store. A seed itself does not wait.
func patienceOf(s *site.Site) time.Duration {
	if len(s.Seeds) == 0 || slices.ContainsFunc(s.Seeds, func(o site.Seed) bool { return o.Peer == s.Peer }) {
		return 0
	}
	least := seedsAgain
	if s.First {
		least = seedsFirst
	}
	return least + rand.N(least)
}

// setBounds puts bounds in force.
func (h *Host) setBounds(b site.Bounds) {
	h.bounds.Store(&b)
	h.retries.setBudget(b.Retry)
}

// Ranked implements dispatch.Homes.
func (h *Host) Ranked(pool dispatch.PoolID) []place.Host {
	return h.viewer.view().ranked(pool, h.site.Host)
}

func (h *Host) ticketAddress(name place.Host) (netip.AddrPort, bool) {
	list := h.viewer.view().members
	m, ok := list.Host(name)
	return m.TicketAddr, ok
}

// Run serves until ctx ends, then stops in a planned way.
func (h *Host) Run(ctx context.Context) error {
	// All but the serving of requests ends with background, after those that
	// run have ended.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	for _, part := range []func(context.Context) error{
		h.link.Run, h.node.Run, h.registrar.run, h.desk.run, h.desk.loop, h.loopViews, h.loopReports, h.loopSweep, h.loopSite, h.env.Journal.Loop,
	} {
		group.Go(func() error { return part(background) })
	}
	if h.admin != nil {
		group.Go(func() error { return h.admin.Run(background) })
	}
	leads, stopLeads := context.WithCancel(background)
	defer stopLeads()
	group.Go(func() error { return h.runLeads(leads) })
	s := newServers(h)
	group.Go(s.runReady)
	group.Go(s.runFront)
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-background.Done():
			return s.close()
		}
		return h.stop(background, s, stopLeads)
	})
	err := group.Wait()
	h.pools.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// guard runs f and reports whether it came to its end; one that panics is logged
// and counted.
func (h *Host) guard(part string, f func()) (ended bool) {
	defer func() {
		if cause := recover(); cause != nil {
			h.panicked(part, cause)
		}
	}()
	f()
	return true
}

// panicked notes that a part of this process panicked, and goes on without what it
// was doing.
func (h *Host) panicked(part string, cause any) {
	h.metrics.panicked(part)
	journal.Panicked(h.log, part, cause)
}

// loopViews puts newer views in force.
func (h *Host) loopViews(ctx context.Context) error {
	published := h.board.Subscribe("")
	lives := make(map[place.Host]place.Incarnation)
	lists := uint64(0)
	timer := time.NewTimer(viewExpiry)
	defer timer.Stop()
	for {
		now := time.Now()
		changed := false
		h.guard("view", func() { changed = h.viewer.refresh(now) })
		if changed {
			v := h.viewer.view()
			if h.admin != nil {
				h.admin.SetReady(v.usable() && !h.stopping.Load())
			}
			h.retries.setHosts(now, len(v.members.Hosts))
			if v.routes != nil {
				h.splitter.Prune(v.routes.Config())
			}
			if v.lists != lists {
				lists = v.lists
				h.takeLists(now, v, lives)
			}
		}
		timer.Reset(h.viewer.rest(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-published:
		case <-timer.C:
		}
	}
}

// viewExpiry is the longest time between two looks at what may have expired.
const viewExpiry = 500 * time.Millisecond

// takeLists puts newer lists of hosts and targets in force; lives are those of the
// hosts so far.
func (h *Host) takeLists(now time.Time, v *view, lives map[place.Host]place.Incarnation) {
	h.pools.setHosts(len(v.members.Hosts))
	for _, m := range v.members.Hosts {
		if lives[m.Name] != m.Incarnation {
			lives[m.Name] = m.Incarnation
			h.desk.started(m.Name)
		}
	}
	h.desk.refresh(now, v)
}

// loopSweep closes what is no longer used.
func (h *Host) loopSweep(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			h.pools.sweep(now)
		}
	}
}

// runLeads runs a runner for each ranged service until ctx ends.
func (h *Host) runLeads(ctx context.Context) error {
	var group errgroup.Group
	for {
		v := h.viewer.view()
		if v.routes != nil {
			for _, s := range v.routes.Config().Services {
				if r := h.addRunner(&s); r != nil {
					group.Go(func() error { return r.run(ctx) })
				}
			}
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-v.replaced:
		}
	}
}

// addRunner returns the runner of a ranged service that has none yet.
func (h *Host) addRunner(s *traffic.Service) *runner {
	if s.Keys != traffic.Ranged {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runners[s.Name] != nil {
		return nil
	}
	r := newRunner(h, s.Name)
	h.runners[s.Name] = r
	return r
}
