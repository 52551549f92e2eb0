package fake

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// HealthPath is the path of a target's health endpoint. With the fault
// ReportIdle it reports falsely.
const HealthPath = "/citrontray/health"

// maxOrderBytes bounds the body of an order, maxRequestBytes that of a request.
const (
	maxOrderBytes   = 2 << 20
	maxRequestBytes = 8 << 20
)

// coldFactor is the factor by which runs take longer in the ColdPeriod.
const coldFactor = 3

// TargetConfig configures a Target.
type TargetConfig struct {
	Name    place.Target
	Service key.Service
	Zone    place.Zone
	// Addr is the address to listen at; port 0 selects a free one.
	Addr netip.AddrPort
	// Slots is the number of concurrent runs, Connections the number of open
	// connections that the target allows (0: any number).
	Slots, Connections int
	// MeanWork is the mean duration of a run; each run varies by up to a third.
	MeanWork time.Duration
	// ConnectDelay is the delay of a new connection before its first byte is
	// read.
	ConnectDelay time.Duration
	// ColdPeriod is the time after a start in which runs take longer.
	ColdPeriod  time.Duration
	ChecksTerms bool
}

// Target is a fake of one target. It is safe for concurrent use.
type Target struct {
	config TargetConfig
	ledger *Ledger

	mu           sync.Mutex
	process      *targetProcess
	incarnation  place.Incarnation
	addr         netip.AddrPort
	faults       TargetFaults
	thawed       chan struct{} // closed while the target is not frozen
	lastResponse response      // for swapped responses
	served       uint64
	lastStart    time.Time // of the last run
}

// targetProcess is one process of the target, from its start until it is
// killed.
type targetProcess struct {
	started   time.Time
	holdings  *target.Holdings
	held      map[key.Shard]bool // shards that the ledger has recorded as held
	server    *http.Server
	done      chan struct{}
	running   int
	openConns int
}

// response is the response to one request.
type response struct {
	request string
	body    []byte
}

// NewTarget returns a target that records into ledger. It serves after Start.
func NewTarget(config TargetConfig, ledger *Ledger) *Target {
	closed := make(chan struct{})
	close(closed)
	return &Target{config: config, ledger: ledger, addr: config.Addr, thawed: closed}
}

// Start starts a new process of the target, which holds no shards.
func (t *Target) Start() error {
	listener, err := net.Listen("tcp", t.addr.String())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = place.Incarnation(rand.Uint64N(1<<53)) + 1
	t.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	p := &targetProcess{
		started: time.Now(),
		held:    make(map[key.Shard]bool),
		done:    make(chan struct{}),
		holdings: target.NewHoldings(target.HoldingsConfig{
			Target: t.config.Name, Service: t.config.Service,
			Incarnation: t.incarnation, ChecksTerms: t.config.ChecksTerms,
		}),
	}
	p.server = &http.Server{Handler: t.handler(p), ConnState: t.connState(p), ReadHeaderTimeout: time.Minute}
	t.process = p
	go p.run(&slowListener{Listener: listener, delay: t.config.ConnectDelay})
	return nil
}

// run serves until the process ends.
func (p *targetProcess) run(listener net.Listener) {
	defer close(p.done)
	_ = p.server.Serve(listener) // always returns an error: ErrServerClosed or that of the listener
}

// Addr returns the address at which the target listens.
func (t *Target) Addr() netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Row returns the target's row of the fleet list.
func (t *Target) Row(state place.Liveness) place.TargetRow {
	return place.TargetRow{
		Target: t.config.Name, Service: string(t.config.Service), Zone: t.config.Zone,
		State: state, Addr: t.Addr(),
	}
}

// Served returns the number of runs on this target.
func (t *Target) Served() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served
}

// LastStart returns when the last run started.
func (t *Target) LastStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastStart
}

// handler serves the orders, health checks and requests of one process.
func (t *Target) handler(p *targetProcess) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc(target.OrderPath, func(w http.ResponseWriter, r *http.Request) { t.order(p, w, r) }).Methods(http.MethodPost)
	r.HandleFunc(HealthPath, func(w http.ResponseWriter, r *http.Request) { t.health(p, w, r) })
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.request(p, w, r) })
	return r
}

// stamp converts a time to the clock of the process.
func (p *targetProcess) stamp(now time.Time) grant.Stamp { return grant.Stamp(now.Sub(p.started)) }

// order handles an order.
func (t *Target) order(p *targetProcess, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	order, err := target.DecodeOrder(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.abortIfKilled(p)
	resp := t.apply(p, order)
	t.abortIfKilled(p)
	body, err = target.EncodeResponse(resp)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

// apply applies an order to the holdings and records the result in the ledger.
func (t *Target) apply(p *targetProcess, order grant.Order) grant.Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	p.holdings.SetDraining(t.faults.Draining)
	resp := p.holdings.Apply(p.stamp(now), order)
	if t.process == p {
		t.record(now, p)
	}
	return resp
}

// record records in the ledger the shards that the target holds. The caller
// holds mu.
func (t *Target) record(now time.Time, p *targetProcess) {
	held := make(map[key.Shard]bool)
	for _, h := range p.holdings.List(p.stamp(now)) {
		held[h.Shard] = true
		t.ledger.recordHold(now, t.config.Service, t.config.Name, h.ShardEpoch, p.started.Add(time.Duration(h.End)))
	}
	for shard := range p.held {
		if !held[shard] {
			t.ledger.recordRelease(now, t.config.Service, t.config.Name, shard)
		}
	}
	p.held = held
}

// request runs or refuses one forwarded request.
func (t *Target) request(p *targetProcess, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(target.HeaderRequest)
	w.Header().Set(target.HeaderRequest, id)
	arrived := time.Now()
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	t.abortIfKilled(p)
	faults := t.currentFaults()
	if faults.occurs(faults.Shed) {
		t.refuse(w, target.RefusalBusy)
		return
	}
	if timeout, ok := timeoutOf(r); ok && time.Since(arrived) >= timeout {
		t.refuse(w, target.RefusalDeadline)
		return
	}
	shard, refusal := t.beginRun(p, r)
	if refusal != "" {
		t.refuse(w, refusal)
		return
	}
	defer t.endRun(p, shard)
	t.abortIfKilled(p)
	t.ledger.recordRun(r.URL.Query().Get(OperationParameter), r.Header.Get(target.HeaderIdempotency))
	if sleep(r.Context(), t.workTime(p, faults)) != nil {
		return // cancelled: the run ends, the sender doesn't wait for the response
	}
	t.abortIfKilled(p)
	t.respond(w, faults, response{request: id, body: ResponseBody(r.URL.RequestURI(), payload, faults.PaddingBytes)})
}

// beginRun starts a run if the target owns the shard and has a free slot.
func (t *Target) beginRun(p *targetProcess, r *http.Request) (key.Shard, target.Refusal) {
	shard, errShard := strconv.ParseUint(r.Header.Get(target.HeaderShard), 10, 32)
	epoch, errEpoch := strconv.ParseUint(r.Header.Get(target.HeaderEpoch), 10, 64)
	if errShard != nil || errEpoch != nil {
		return 0, target.RefusalOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.running >= t.config.Slots {
		return 0, target.RefusalBusy
	}
	if !p.holdings.Begin(p.stamp(time.Now()), key.Shard(shard), grant.Epoch(epoch)) {
		return 0, target.RefusalOwner
	}
	p.running++
	t.served++
	t.lastStart = time.Now()
	return key.Shard(shard), ""
}

func (t *Target) endRun(p *targetProcess, shard key.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.running--
	p.holdings.End(shard)
}

// refuse responds that the request did not run.
func (t *Target) refuse(w http.ResponseWriter, refusal target.Refusal) {
	status := http.StatusServiceUnavailable
	t.ledger.count(func(c *LedgerCounts) {
		switch refusal {
		case target.RefusalOwner:
			c.Misrouted++
			status = http.StatusMisdirectedRequest
		case target.RefusalDeadline:
			c.DeadlineExceeded++
			status = http.StatusGatewayTimeout
		default:
			c.Sheds++
		}
	})
	w.Header().Set(target.HeaderNotRun, string(refusal))
	w.WriteHeader(status)
}

// workTime returns the duration of one run.
func (t *Target) workTime(p *targetProcess, faults TargetFaults) time.Duration {
	work := t.config.MeanWork
	work += time.Duration((rand.Float64()*2 - 1) / 3 * float64(work))
	if time.Since(p.started) < t.config.ColdPeriod {
		work *= coldFactor
	}
	return work + faults.Slow
}

// health reports the number of running requests, or zero with the fault
// ReportIdle.
func (t *Target) health(p *targetProcess, w http.ResponseWriter, _ *http.Request) {
	t.abortIfKilled(p)
	t.mu.Lock()
	running, reportIdle := p.running, t.faults.ReportIdle
	t.mu.Unlock()
	if reportIdle {
		running = 0
	}
	fmt.Fprintf(w, "{\"running\":%d}\n", running)
}

// timeoutOf returns the timeout that the sender set for the request.
func timeoutOf(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// connState closes connections beyond the target's limit.
func (t *Target) connState(p *targetProcess) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch state {
		case http.StateNew:
			p.openConns++
			if t.config.Connections > 0 && p.openConns > t.config.Connections {
				t.ledger.count(func(c *LedgerCounts) { c.RefusedConns++ })
				_ = conn.Close()
			}
		case http.StateClosed, http.StateHijacked:
			p.openConns--
		}
	}
}

// slowListener delays the first read of each accepted connection.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (s *slowListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, delay: s.delay}, nil
}

// slowConn delays its first read.
type slowConn struct {
	net.Conn
	once  sync.Once
	delay time.Duration
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { _ = sleep(context.Background(), c.delay) })
	return c.Conn.Read(p)
}
