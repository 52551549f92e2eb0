// Package entry implements the data path of an entry host. It accepts callers' requests,
// finds the target that owns the key, waits for a slot of that target, forwards the
// request, and returns the complete response or a failure with an outcome and a reason.
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

// Config configures an Entry.
type Config struct {
	Replica        docsync.Replica
	DecodeSettings func([]byte) (*settings.Settings, error)
	DecodeTable    func([]byte) (table.Table, error)
	// Host and Zone are those of this entry host.
	Host place.Host
	Zone place.Zone
	// Sharing is how the entry hosts share the slots of a target.
	Sharing Sharing
	// Transport carries load reports to leaders and relayed requests to homes. If it is
	// nil, this host serves all requests itself.
	Transport peer.Transport
	Log       *slog.Logger
	Registry  *metric.Registry
	// Dial opens connections to targets. The default is TCP.
	Dial forward.Dial
	// Hosts is the number of entry hosts that share the connections to each target.
	Hosts int
	// Queue configures the queue of each target.
	Queue queue.Config
	// ParkTimeout limits how long a request waits for an owner of its key, and MaxParked
	// how many requests do so at once.
	ParkTimeout time.Duration
	MaxParked   int
	// BodyMemory limits the total size of the request bodies in memory, in bytes.
	BodyMemory int64
	// TickInterval is the time between two passes over all target states.
	TickInterval time.Duration
}

// The defaults of Config.
const (
	DefaultHosts        = 12
	DefaultParkTimeout  = 5 * time.Second
	DefaultMaxParked    = 4096
	DefaultBodyMemory   = 256 << 20
	DefaultTickInterval = 20 * time.Millisecond
)

// Entry is an http.Handler for callers. Run keeps its view and queues up to date.
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

	// refreshMu guards the fields below, which only refreshView changes.
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
	// relayed counts the requests in flight that other entry hosts relayed to this one.
	relayed atomic.Int64
	// refuseRelayed is set during a graceful stop, to accept no more of them.
	refuseRelayed atomic.Bool
	stopOnce      sync.Once
	stopping      chan struct{}
}

// New returns an entry with the settings and tables that the replica holds so far.
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

// Run follows the changes of the replica, updates the target states at every tick,
// reports the load to the leaders and pings homes, until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.loop(ctx) })
	if e.cfg.Transport != nil {
		group.Go(func() error { return e.loopReports(ctx) })
		group.Go(func() error { return e.loopPings(ctx) })
	}
	return group.Wait()
}

// loop refreshes the view after changes of the replica, and ticks.
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

// tick updates all target states.
func (e *Entry) tick(now time.Time) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for _, ts := range e.targetStates {
		ts.tick(now)
	}
}

// Ready reports whether the entry has settings and is not draining.
func (e *Entry) Ready() bool {
	return e.view.Load().routes != nil && !e.draining.Load()
}

// Drain makes Ready return false and closes each caller's connection after its next
// response. Requests of callers are still served; of those that other entry hosts relay,
// only the ones with an idempotency key are.
func (e *Entry) Drain() { e.draining.Store(true) }

// DropWaiting drains the entry and ends all requests that wait for a slot or an owner as
// not run. Requests in flight go on.
func (e *Entry) DropWaiting() {
	e.Drain()
	e.stopOnce.Do(func() { close(e.stopping) })
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for _, ts := range e.targetStates {
		ts.dropQueued(outcome.Stopping)
	}
}

// Close closes the connections to targets.
func (e *Entry) Close() {
	e.cancel()
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for _, ts := range e.targetStates {
		ts.close()
	}
}

// countForRetries adds one request to the retry budget.
func (e *Entry) countForRetries() {
	e.retryBudgetMu.Lock()
	e.retryBudget.countRequest()
	e.retryBudgetMu.Unlock()
}

// withdrawRetry withdraws one retry from the budget, and returns false if there is none.
func (e *Entry) withdrawRetry() bool {
	e.retryBudgetMu.Lock()
	ok := e.retryBudget.withdraw()
	e.retryBudgetMu.Unlock()
	if ok {
		e.metrics.retries.Inc(1)
	}
	return ok
}

// resetLimits puts the callers' limits of new settings in force. Requests in flight
// still count.
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

// acquireLimit counts a request against its caller's limit in its class. If the limit
// is reached, ok is false and wait is the retry delay. Otherwise the caller must call
// release when the request ends.
func (e *Entry) acquireLimit(now time.Time, m route.Match) (release func(), wait time.Duration, ok bool) {
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

// Waiting returns the number of requests that wait for a slot or for an owner.
func (e *Entry) Waiting() int {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	n := int(e.parked.inUse.Load())
	for _, ts := range e.targetStates {
		ts.mu.Lock()
		n += ts.queue.Len()
		ts.mu.Unlock()
	}
	return n
}
