// Package host runs one host of a deployment whose platform provides durable storage.
// One process serves client requests, leads services and replicates state to the other
// hosts.
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
	"citrontray.example/citrontray/internal/budget"
	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/evacuation"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/site"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

// Environment holds the external dependencies of a host.
type Environment struct {
	Site   site.Site
	Store  platform.SessionStore
	Orders target.OrderDialer
	// Names are the header names that clients and targets use.
	Names *target.HeaderNames
	Dial  forward.Dial
	// DecodeConfig and DecodeTarget decode the store's configuration and target
	// entries.
	DecodeConfig func(body []byte) (*traffic.Config, error)
	DecodeTarget func(name place.Target, body []byte) (place.TargetRow, error)
	Credentials  peer.Credentials
	// ReadSite reads the settings file again.
	ReadSite   func() (site.Site, error)
	LogHandler *logging.BoundedHandler
}

// Host is one process of the deployment. It implements http.Handler for clients.
type Host struct {
	env         Environment
	site        site.Site
	names       *target.HeaderNames
	log         *slog.Logger
	incarnation place.Incarnation

	store          *instrumentedStore
	replica        *docsync.MemoryReplica
	transport      *peer.Peer
	node           *docsync.Node
	views          *viewBuilder
	registrar      *registrar
	watcher        *watcher
	dispatcher     *dispatcher
	connPools      *connPools
	retries        *budget.Retries
	quarantine     *quarantiner
	clientTimeouts *clientTimeouts
	idleLimits     *idleLimits
	paths          *pathMonitor
	relayer        *relayer
	endChecks      *endChecks
	splitter       *traffic.Splitter
	keyCounter     *keyCounter
	bodyMemory     *semaphore.Weighted
	transfers      *transfers
	stops          *stops
	metrics        *metrics
	registry       *metric.Registry
	admin          *admin.Server

	// bounds are reloaded with the settings file.
	bounds atomic.Pointer[site.Bounds]

	// minSharedTargets is a field for tests, which have few targets.
	minSharedTargets int

	front    net.Listener
	ready    net.Listener
	stopping atomic.Bool
	// isolated is the last result of checkIsolated: a network partition separates this
	// host from most targets.
	isolated atomic.Bool

	mu          sync.Mutex
	controllers map[key.Service]*controller
}

// Open opens the sockets of a host. Nothing runs until Run.
func Open(env Environment) (*Host, error) {
	h := &Host{
		env: env, site: env.Site, names: env.Names, log: slog.New(env.LogHandler),
		incarnation:      place.Incarnation(time.Now().UnixNano()), //nolint:forbidigo // must differ from those before; see member.Registry.Due
		replica:          docsync.New(),
		connPools:        newConnPools(env.Dial),
		retries:          budget.New(),
		clientTimeouts:   newClientTimeouts(),
		idleLimits:       newIdleLimits(),
		splitter:         traffic.NewSplitter(),
		minSharedTargets: minSharedTargets,
		keyCounter:       newKeyCounter(),
		bodyMemory:       semaphore.NewWeighted(bodyMemoryOf(&env.Site)),
		controllers:      make(map[key.Service]*controller),
		registry:         metric.New("citrontray_host"),
	}
	h.metrics = newMetrics(h.registry)
	h.store = &instrumentedStore{SessionStore: env.Store, metrics: h.metrics, log: h.log}
	h.env.Store = h.store
	h.setBounds(env.Site.Bounds)
	h.views = newViewBuilder(h.replica, h.log, env.DecodeConfig)
	h.views.self = env.Site.Host
	h.views.evacuationLimits = func() evacuation.Limits { return evacuationLimits(h.bounds.Load()) }
	h.views.current.regions = regionMapOf(&env.Site)
	h.registrar = newRegistrar(h)
	h.paths, h.relayer, h.endChecks = newPathMonitor(h), newRelayer(h), &endChecks{host: h}
	h.quarantine = newQuarantiner(h, env.Site.Quarantine)
	h.transfers = newTransfers(h.transferLimits())
	h.stops = newStops(env.Site.Host, h.log)
	if err := h.openSockets(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Host) memberEntry() member.Host {
	return member.Host{
		Name: h.site.Host, Incarnation: h.incarnation, Zone: h.site.Zone,
		PeerAddr: h.site.Peer, TicketAddr: h.site.Ticket, CPUShare: h.site.WorkShare(),
	}
}

// datagramHandlers returns the handlers of datagrams other than ticket messages.
func (h *Host) datagramHandlers() map[byte]func([]byte) error {
	return map[byte]func([]byte) error{
		datagramReport: h.handleReport, datagramNotice: h.handleNotice, datagramDigest: h.handleDigest, datagramHeartbeat: h.handleHeartbeat,
		datagramConfirmation: h.handleConfirmation,
	}
}

func (h *Host) openSockets() error {
	link, err := peer.New(peer.Config{Listen: h.site.Peer, Credentials: h.env.Credentials, Log: h.log})
	if err != nil {
		return fmt.Errorf("host: open peer address: %w", err)
	}
	h.transport = link
	link.Handle(peer.KindRelay, h.relayer.serve)
	link.Handle(peer.KindReach, h.endChecks.serve)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.site.Ticket))
	if err != nil {
		return fmt.Errorf("host: open ticket address: %w", err)
	}
	self := dispatch.Peer{Host: h.site.Host, Incarnation: h.incarnation, Zone: h.site.Zone}
	h.dispatcher = newDispatcher(self, conn, h.log, h, h.homeOptions()...)
	h.dispatcher.guard = h.guard
	h.dispatcher.address = h.ticketAddress
	h.dispatcher.handlers = h.datagramHandlers()
	h.dispatcher.view = h.views.view
	h.dispatcher.onLimited = h.handleLimited
	h.dispatcher.onLeave = h.handleLeave
	h.dispatcher.coldBound = h.coldBound
	h.dispatcher.onLimitChange = h.countLimitChange
	h.dispatcher.onResent = h.metrics.countResent
	h.dispatcher.onAdmissions = h.metrics.countAdmissionEvents
	h.dispatcher.verdict = h.quarantine.table.Verdict
	if h.front, err = net.Listen("tcp4", h.site.Front.String()); err != nil {
		return fmt.Errorf("host: open front address: %w", err)
	}
	if h.ready, err = net.Listen("tcp4", h.site.Ready.String()); err != nil {
		return fmt.Errorf("host: open ready address: %w", err)
	}
	if h.site.Admin.IsValid() {
		h.admin, err = admin.Listen(h.site.Admin, h.registry.Handler(), status.Handler(h))
		if err != nil {
			return err
		}
		h.addPages()
	}
	h.watcher = &watcher{
		store: h.env.Store, replica: h.replica, log: h.log, decodeTarget: h.env.DecodeTarget, broadcast: h.broadcastDigest,
		triggered: make(chan struct{}, 1), configVersion: h.configVersion,
		evacuates: func() bool { return h.bounds.Load().Evacuate > 0 },
	}
	h.watcher.firstReadDelay = firstReadDelay(&h.site)
	var seeds []netip.AddrPort
	for _, seed := range h.site.Seeds {
		seeds = append(seeds, seed.Peer)
	}
	h.node = docsync.NewNode(h.replica, h.transport, docsync.Config{
		Self: h.env.Credentials.Self(), Addr: h.site.Peer, Seeds: seeds, Watch: h.watcher.run, Log: h.log,
		CPUShare: h.site.WorkShare(), HostsDocument: docMembers,
		Hosts: func() []place.HostRow { return h.views.view().members.HostRows() },
	})
	return nil
}

// configVersion returns the version of a configuration and whether it could be decoded.
func (h *Host) configVersion(body []byte) (version traffic.Version, ok bool) {
	h.guard("configuration", func() {
		if c, err := h.env.DecodeConfig(body); err == nil {
			version, ok = c.Version, true
		}
	})
	return version, ok
}

// firstReadDelay returns how long a starting host waits for the documents that the
// seeds have read before it reads the store itself. It is zero for a seed, and for a
// host that has no seeds.
func firstReadDelay(s *site.Site) time.Duration {
	if len(s.Seeds) == 0 || slices.ContainsFunc(s.Seeds, func(o site.Seed) bool { return o.Peer == s.Peer }) {
		return 0
	}
	minDelay := restartReadDelay
	if s.FirstStart {
		minDelay = firstStartReadDelay
	}
	return minDelay + rand.N(minDelay)
}

// setBounds puts bounds in force.
func (h *Host) setBounds(b site.Bounds) {
	h.bounds.Store(&b)
	h.retries.SetBudget(b.Retry)
}

// Ranked implements dispatch.Homes.
func (h *Host) Ranked(pool dispatch.PoolID) []place.Host {
	return h.views.view().ranked(pool, h.site.Host)
}

func (h *Host) ticketAddress(name place.Host) (netip.AddrPort, bool) {
	list := h.views.view().members
	m, ok := list.Host(name)
	return m.TicketAddr, ok
}

// Run serves requests until ctx ends and then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	// Everything except request serving runs until background ends, so that in-flight
	// requests can finish during shutdown.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	for _, part := range []func(context.Context) error{
		h.transport.Run, h.node.Run, h.registrar.run, h.dispatcher.run, h.dispatcher.loop, h.loopViews, h.loopReports, h.loopConnPools, h.loopSettings, h.paths.loop, h.quarantine.loop, h.quarantine.loopPublish, h.quarantine.saver.loop, h.env.LogHandler.Run,
	} {
		group.Go(func() error { return part(background) })
	}
	if h.admin != nil {
		group.Go(func() error { return h.admin.Run(background) })
	}
	controllersCtx, stopControllers := context.WithCancel(background)
	defer stopControllers()
	group.Go(func() error { return h.runControllers(controllersCtx) })
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
		return h.shutdown(background, s, stopControllers)
	})
	err := group.Wait()
	h.connPools.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// guard runs f and reports whether it returned. A panic is recovered, logged and
// counted.
func (h *Host) guard(part string, f func()) (ended bool) {
	defer func() {
		if cause := recover(); cause != nil {
			h.panicked(part, cause)
		}
	}()
	f()
	return true
}

// panicked logs and counts a panic. The process continues without the work that
// panicked.
func (h *Host) panicked(part string, cause any) {
	h.metrics.countPanic(part)
	logging.LogPanic(h.log, part, cause)
}

// loopViews keeps the view up to date until ctx ends.
func (h *Host) loopViews(ctx context.Context) error {
	published := h.replica.Subscribe("")
	incarnations := make(map[place.Host]place.Incarnation)
	seenVersion := uint64(0)
	timer := time.NewTimer(maxExpiryCheckInterval)
	defer timer.Stop()
	for {
		now := time.Now()
		changed := false
		h.guard("view", func() { changed = h.views.refresh(now) })
		if changed {
			v := h.views.view()
			h.metrics.setEvacuatedZones(len(v.evacuation.Zones()))
			if h.admin != nil {
				h.admin.SetReady(v.usable() && !h.stopping.Load())
			}
			self, listed := v.members.Host(h.site.Host)
			h.retries.ObserveHosts(now, len(v.members.Hosts), listed && self.Incarnation == h.incarnation)
			if v.routes != nil {
				h.splitter.Prune(v.routes.Config())
			}
			if v.listVersion != seenVersion {
				seenVersion = v.listVersion
				h.applyLists(now, v, incarnations)
			}
		}
		timer.Reset(h.views.untilExpiry(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-published:
		case <-timer.C:
		}
	}
}

// maxExpiryCheckInterval is the longest time between two checks for expired targets.
const maxExpiryCheckInterval = 500 * time.Millisecond

// applyLists puts changed lists of hosts and targets in force. It updates incarnations,
// the last known incarnation of each host.
func (h *Host) applyLists(now time.Time, v *view, incarnations map[place.Host]place.Incarnation) {
	h.connPools.setHosts(len(v.members.Hosts))
	for _, m := range v.members.Hosts {
		if incarnations[m.Name] != m.Incarnation {
			incarnations[m.Name] = m.Incarnation
			h.dispatcher.hostRestarted(m.Name)
			h.stops.end(m.Name)
		}
	}
	h.dispatcher.refresh(now, v)
}

// loopConnPools closes unused connection pools, and updates the gauges of large responses,
// until ctx ends.
func (h *Host) loopConnPools(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			h.connPools.closeUnused(now)
			h.metrics.setTransfers(h.transfers.load(now))
		}
	}
}

// runControllers runs a controller for each ranged service until ctx ends.
func (h *Host) runControllers(ctx context.Context) error {
	var group errgroup.Group
	for {
		v := h.views.view()
		if v.routes != nil {
			for _, s := range v.routes.Config().Services {
				if c := h.addController(&s); c != nil {
					group.Go(func() error { return c.run(ctx) })
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

// addController creates the controller of a ranged service. It returns nil for other
// services and where a controller exists already.
func (h *Host) addController(s *traffic.Service) *controller {
	if s.KeySpace != traffic.Ranged {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.controllers[s.Name] != nil {
		return nil
	}
	c := newController(h, s.Name)
	h.controllers[s.Name] = c
	return c
}
