// Package entry is the data path of an entry host: it takes callers' requests,
// finds the owner of the key, waits for a slot of that target, forwards the
// request and gives the caller the whole answer or a typed failure.
package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/route"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/table"
)

// Config is what an entry needs of its process.
type Config struct {
	Replica        docsync.Replica
	DecodeSettings func([]byte) (*settings.Settings, error)
	DecodeTable    func([]byte) (table.Table, error)
	// Host and Zone name this entry host.
	Host place.Host
	Zone place.Zone
	// Sharing is how entry hosts share the slots of a target.
	Sharing Sharing
	// Transport carries load reports to leads and requests to homes; without it
	// all is run here.
	Transport peer.Transport
	Log       *slog.Logger
	Registry  *metric.Registry
	// Dial opens connections to targets; nil stands for TCP.
	Dial forward.Dial
	// Hosts is the number of entry hosts that share each target's connections.
	Hosts int
	// Queue bounds the queue of each target.
	Queue queue.Config
	// ParkTimeout bounds the waiting for an owner; Parked the requests that wait.
	ParkTimeout time.Duration
	MaxParked   int
	// BodyMemory bounds the request bodies held at once, in bytes.
	BodyMemory int64
	// TickInterval is the time between two rounds over all lanes.
	TickInterval time.Duration
}

// Defaults of Config.
const (
	DefaultHosts        = 12
	DefaultParkTimeout  = 5 * time.Second
	DefaultMaxParked    = 4096
	DefaultBodyMemory   = 256 << 20
	DefaultTickInterval = 20 * time.Millisecond
)

// Entry is an http.Handler for callers. Run keeps it going.
type Entry struct {
	cfg          Config
	log          *slog.Logger
	metrics      *metrics
	meters       *meters
	started      time.Time
	requestIDs   *ids
	dedup        *dedupCache
	loadCounters *loadCounters
	parked       semaphore
	bodyMemory   bodyMemory
	view         atomic.Pointer[view]
	homes        *homeMonitor

	// refreshMu guards what refresh alone changes.
	refreshMu       sync.Mutex
	settingsVersion docsync.Version
	settingsSince   time.Time
	tableCache      map[docsync.Name]cachedTable
	targetStates    map[targetStateID]*targetState

	limitMu sync.Mutex
	limits  map[callerLimitID]*callerLimit

	retryBudgetMu sync.Mutex
	retryBudget   retryBudget

	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	// relayed counts the work of other entry hosts that runs here.
	relayed atomic.Int64
	// refuseRelayed tells that no more of it is taken: the end of a planned stop.
	refuseRelayed atomic.Bool
	stopOnce      sync.Once
	stopping      chan struct{}
}

// New returns an entry that knows nothing yet.
func New(cfg Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		cfg:          cfg,
		log:          cfg.Log,
		metrics:      newMetrics(cfg.Registry),
		meters:       newMeters(),
		started:      time.Now(),
		requestIDs:   newIDs(),
		dedup:        newDedupCache(),
		loadCounters: newLoadCounters(),
		parked:       semaphore{limit: int64(cfg.MaxParked)},
		bodyMemory:   bodyMemory{limit: cfg.BodyMemory},
		tableCache:   make(map[docsync.Name]cachedTable),
		targetStates: make(map[targetStateID]*targetState),
		limits:       make(map[callerLimitID]*callerLimit),
		retryBudget:  newRetryBudget(),
		ctx:          ctx,
		cancel:       cancel,
		stopping:     make(chan struct{}),
		homes:        newHomeMonitor(),
	}
	if cfg.Transport != nil {
		cfg.Transport.Handle(peer.KindRelay, e.HandleRelayed)
	}
	e.view.Store(&view{replaced: make(chan struct{})})
	e.refreshView(time.Now())
	return e
}

// Run follows the board, goes over all lanes each tick and reports the load,
// until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.loop(ctx) })
	if e.cfg.Transport != nil {
		group.Go(func() error { return e.loopReports(ctx) })
		group.Go(func() error { return e.loopPings(ctx) })
	}
	return group.Wait()
}

func (e *Entry) loop(ctx context.Context) error {
	settingsChanged := e.cfg.Replica.Subscribe(docsync.Settings)
	fleetChanged := e.cfg.Replica.Subscribe(docsync.Fleet)
	tablesChanged := e.cfg.Replica.Subscribe(docsync.TablePrefix)
	e.refreshView(time.Now())
	ticker := time.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-settingsChanged:
			e.refreshView(time.Now())
		case <-tablesChanged:
			e.refreshView(time.Now())
		case <-fleetChanged:
			e.refreshView(time.Now())
		case now := <-ticker.C:
			e.tick(now)
		}
	}
}

func (e *Entry) tick(now time.Time) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for _, l := range e.targetStates {
		l.tick(now)
	}
}

// Ready reports whether the entry has settings and does not stop.
func (e *Entry) Ready() bool {
	return e.view.Load().routes != nil && !e.draining.Load()
}

// Drain makes Ready fail and asks callers to close their connections after
// each answer. Requests are still served.
func (e *Entry) Drain() { e.draining.Store(true) }

// DropWaiting ends the waiting requests with not-run. Those in flight end by
// themselves.
func (e *Entry) DropWaiting() {
	e.Drain()
	e.stopOnce.Do(func() { close(e.stopping) })
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for _, l := range e.targetStates {
		l.dropQueued(outcome.Stopping)
	}
}

// Close closes the connections to targets.
func (e *Entry) Close() {
	e.cancel()
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for _, l := range e.targetStates {
		l.close()
	}
}

func (e *Entry) countForRetries() {
	e.retryBudgetMu.Lock()
	e.retryBudget.countRequest()
	e.retryBudgetMu.Unlock()
}

// withdrawRetry takes the right to send a request once more.
func (e *Entry) withdrawRetry() bool {
	e.retryBudgetMu.Lock()
	ok := e.retryBudget.withdraw()
	e.retryBudgetMu.Unlock()
	if ok {
		e.metrics.retries.Inc(1)
	}
	return ok
}

// resetLimits takes over the limits of new settings.
func (e *Entry) resetLimits(s *settings.Settings) {
	e.limitMu.Lock()
	defer e.limitMu.Unlock()
	old := e.limits
	e.limits = make(map[callerLimitID]*callerLimit, len(s.Limits))
	for i := range s.Limits {
		row := &s.Limits[i]
		id := callerLimitID{row.Caller, row.Class}
		l := old[id]
		if l == nil {
			l = &callerLimit{}
		}
		l.maxConcurrent = row.Concurrent
		l.rate = nil
		if row.PerSecond > 0 {
			l.rate = rate.NewLimiter(rate.Limit(row.PerSecond), max(row.Burst, 1))
		}
		e.limits[id] = l
	}
}

// acquireLimit counts a request against its caller's limit in its class.
func (e *Entry) acquireLimit(now time.Time, m route.Match) (leave func(), wait time.Duration, ok bool) {
	if len(m.Caller.Limits) == 0 {
		return func() {}, 0, true
	}
	e.limitMu.Lock()
	defer e.limitMu.Unlock()
	l := e.limits[callerLimitID{m.Caller.Name, m.Route.Class}]
	if l == nil {
		return func() {}, 0, true
	}
	if ok, wait := l.allow(now); !ok {
		return nil, max(wait, time.Second), false
	}
	return func() {
		e.limitMu.Lock()
		l.inFlight--
		e.limitMu.Unlock()
	}, 0, true
}

// Waiting returns the number of requests that wait in queues or for an owner.
func (e *Entry) Waiting() int {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	n := int(e.parked.inUse.Load())
	for _, l := range e.targetStates {
		l.mu.Lock()
		n += l.queue.Len()
		l.mu.Unlock()
	}
	return n
}
