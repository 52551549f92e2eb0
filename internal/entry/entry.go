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
	Board          docsync.Replica
	DecodeSettings func([]byte) (*settings.Settings, error)
	DecodeTable    func([]byte) (table.Table, error)
	// Host and Zone name this entry host.
	Host place.Host
	Zone place.Zone
	// Sharing is how entry hosts share the slots of a target.
	Sharing Sharing
	// Link carries load reports to leads and requests to homes; without it
	// all is run here.
	Link     peer.Transport
	Log      *slog.Logger
	Registry *metric.Registry
	// Dial opens connections to targets; nil stands for TCP.
	Dial forward.Dial
	// Hosts is the number of entry hosts that share each target's connections.
	Hosts int
	// Queue bounds the queue of each target.
	Queue queue.Config
	// Park bounds the waiting for an owner; Parked the requests that wait.
	Park   time.Duration
	Parked int
	// Memory bounds the request bodies held at once, in bytes.
	Memory int64
	// Tick is the time between two rounds over all lanes.
	Tick time.Duration
}

// Defaults of Config.
const (
	DefaultHosts  = 12
	DefaultPark   = 5 * time.Second
	DefaultParked = 4096
	DefaultMemory = 256 << 20
	DefaultTick   = 20 * time.Millisecond
)

// Entry is an http.Handler for callers. Run keeps it going.
type Entry struct {
	cfg     Config
	log     *slog.Logger
	metrics *metrics
	meters  *meters
	started time.Time
	ids     *ids
	joins   *joins
	load    *load
	parked  gate
	memory  memory
	view    atomic.Pointer[view]
	homes   *homes

	// refreshing guards what refresh alone changes.
	refreshing      sync.Mutex
	settingsVersion docsync.Version
	settingsSince   time.Time
	tableCache      map[docsync.Name]cachedTable
	lanes           map[laneID]*lane

	limitMu sync.Mutex
	limits  map[callerLimitID]*callerLimit

	budgetMu sync.Mutex
	budget   budget

	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	// handed counts the work of other entry hosts that runs here.
	handed atomic.Int64
	// refusing tells that no more of it is taken: the end of a planned stop.
	refusing atomic.Bool
	stopOnce sync.Once
	stopping chan struct{}
}

// New returns an entry that knows nothing yet.
func New(cfg Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		cfg:        cfg,
		log:        cfg.Log,
		metrics:    newMetrics(cfg.Registry),
		meters:     newMeters(),
		started:    time.Now(),
		ids:        newIDs(),
		joins:      newJoins(),
		load:       newLoad(),
		parked:     gate{bound: int64(cfg.Parked)},
		memory:     memory{bound: cfg.Memory},
		tableCache: make(map[docsync.Name]cachedTable),
		lanes:      make(map[laneID]*lane),
		limits:     make(map[callerLimitID]*callerLimit),
		budget:     newBudget(),
		ctx:        ctx,
		cancel:     cancel,
		stopping:   make(chan struct{}),
		homes:      newHomes(),
	}
	if cfg.Link != nil {
		cfg.Link.Handle(peer.KindForward, e.HandleWork)
	}
	e.view.Store(&view{replaced: make(chan struct{})})
	e.refresh(time.Now())
	return e
}

// Run follows the board, goes over all lanes each tick and reports the load,
// until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.loop(ctx) })
	if e.cfg.Link != nil {
		group.Go(func() error { return e.loopReports(ctx) })
		group.Go(func() error { return e.loopPings(ctx) })
	}
	return group.Wait()
}

func (e *Entry) loop(ctx context.Context) error {
	settingsChanged := e.cfg.Board.Subscribe(docsync.Settings)
	fleetChanged := e.cfg.Board.Subscribe(docsync.Fleet)
	tablesChanged := e.cfg.Board.Subscribe(docsync.TablePrefix)
	e.refresh(time.Now())
	ticker := time.NewTicker(e.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-settingsChanged:
			e.refresh(time.Now())
		case <-tablesChanged:
			e.refresh(time.Now())
		case <-fleetChanged:
			e.refresh(time.Now())
		case now := <-ticker.C:
			e.tick(now)
		}
	}
}

func (e *Entry) tick(now time.Time) {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	for _, l := range e.lanes {
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

// Clear ends the waiting requests with not-run. Those in flight end by
// themselves.
func (e *Entry) Clear() {
	e.Drain()
	e.stopOnce.Do(func() { close(e.stopping) })
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	for _, l := range e.lanes {
		l.clear(outcome.Stopping)
	}
}

// Close closes the connections to targets.
func (e *Entry) Close() {
	e.cancel()
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	for _, l := range e.lanes {
		l.close()
	}
}

func (e *Entry) earn() {
	e.budgetMu.Lock()
	e.budget.earn()
	e.budgetMu.Unlock()
}

// spend takes the right to send a request once more.
func (e *Entry) spend() bool {
	e.budgetMu.Lock()
	ok := e.budget.spend()
	e.budgetMu.Unlock()
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
		l.concurrent = row.Concurrent
		l.rate = nil
		if row.PerSecond > 0 {
			l.rate = rate.NewLimiter(rate.Limit(row.PerSecond), max(row.Burst, 1))
		}
		e.limits[id] = l
	}
}

// limit counts a request against its caller's limit in its class.
func (e *Entry) limit(now time.Time, m route.Match) (leave func(), wait time.Duration, ok bool) {
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
		l.running--
		e.limitMu.Unlock()
	}, 0, true
}

// Waiting returns the number of requests that wait in queues or for an owner.
func (e *Entry) Waiting() int {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	n := int(e.parked.now.Load())
	for _, l := range e.lanes {
		l.mu.Lock()
		n += l.queue.Len()
		l.mu.Unlock()
	}
	return n
}
