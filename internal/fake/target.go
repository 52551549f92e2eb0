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

// HealthPath is where a target tells how it is; it may lie.
const HealthPath = "/citrontray/health"

// maxOrderBytes bounds an order; maxRequestBytes a request's body.
const (
	maxOrderBytes   = 2 << 20
	maxRequestBytes = 8 << 20
)

// coldFactor is how much longer work takes on a target that just started.
const coldFactor = 3

// TargetConfig describes one target.
type TargetConfig struct {
	Name    place.Target
	Service key.Service
	Zone    place.Zone
	// Addr is where it listens; port 0 picks one.
	Addr netip.AddrPort
	// Slots is how many requests run at once, Connections how many
	// connections are taken.
	Slots, Connections int
	// MeanWork is the mean time of one run; single runs vary by a third.
	MeanWork time.Duration
	// ConnectDelay is what each new connection costs.
	ConnectDelay time.Duration
	// ColdPeriod is how long work takes longer after a restart.
	ColdPeriod  time.Duration
	ChecksTerms bool
}

// Target is the stand-in of one target. Safe for concurrent use.
type Target struct {
	config TargetConfig
	ledger *Ledger

	mu           sync.Mutex
	process      *targetProcess
	incarnation  place.Incarnation
	addr         netip.AddrPort
	faults       TargetFaults
	thawed       chan struct{} // closed while the target is not frozen
	lastResponse response      // for crossed answers
	served       uint64
	lastStart    time.Time // of a run
}

// targetProcess is one life of the target's process: from its start until it is killed.
type targetProcess struct {
	started  time.Time
	holdings *target.Holdings
	held     map[key.Shard]bool // what the ledger knows
	server   *http.Server
	done     chan struct{}
	running  int
	open     int
}

// response is one answer that was given.
type response struct {
	request string
	body    []byte
}

// NewTarget returns a target that records into ledger. Call Start.
func NewTarget(config TargetConfig, ledger *Ledger) *Target {
	gate := make(chan struct{})
	close(gate)
	return &Target{config: config, ledger: ledger, addr: config.Addr, thawed: gate}
}

// Start listens and serves: a new life that holds nothing.
func (t *Target) Start() error {
	listener, err := net.Listen("tcp", t.addr.String())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = place.Incarnation(rand.Uint64N(1<<53)) + 1
	t.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	l := &targetProcess{
		started: time.Now(),
		held:    make(map[key.Shard]bool),
		done:    make(chan struct{}),
		holdings: target.NewHoldings(target.HoldingsConfig{
			Target: t.config.Name, Service: t.config.Service,
			Incarnation: t.incarnation, ChecksTerms: t.config.ChecksTerms,
		}),
	}
	l.server = &http.Server{Handler: t.handler(l), ConnState: t.connState(l), ReadHeaderTimeout: time.Minute}
	t.process = l
	go l.run(&slowListener{Listener: listener, delay: t.config.ConnectDelay})
	return nil
}

// run serves until the life ends.
func (l *targetProcess) run(listener net.Listener) {
	defer close(l.done)
	_ = l.server.Serve(listener) // always ends with ErrServerClosed or a dead listener
}

// Addr returns where the target listens.
func (t *Target) Addr() netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Row returns the target's row of the platform's list.
func (t *Target) Row(state place.Liveness) place.TargetRow {
	return place.TargetRow{
		Target: t.config.Name, Service: string(t.config.Service), Zone: t.config.Zone,
		State: state, Addr: t.Addr(),
	}
}

// Served returns how many requests ran here.
func (t *Target) Served() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served
}

// LastStart returns when work was last started here.
func (t *Target) LastStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastStart
}

// handler serves orders, health and requests of one life.
func (t *Target) handler(l *targetProcess) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc(target.OrderPath, func(w http.ResponseWriter, r *http.Request) { t.order(l, w, r) }).Methods(http.MethodPost)
	r.HandleFunc(HealthPath, func(w http.ResponseWriter, r *http.Request) { t.health(l, w, r) })
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.request(l, w, r) })
	return r
}

// stamp reads the clock of one life.
func (l *targetProcess) stamp(now time.Time) grant.Stamp { return grant.Stamp(now.Sub(l.started)) }

// order takes one order of ownership.
func (t *Target) order(l *targetProcess, w http.ResponseWriter, r *http.Request) {
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
	t.abortIfKilled(l)
	answer := t.apply(l, order)
	t.abortIfKilled(l)
	body, err = target.EncodeAnswer(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

// apply gives the order to the holdings and records what came of it.
func (t *Target) apply(l *targetProcess, order grant.Order) grant.Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l.holdings.SetDraining(t.faults.Draining)
	answer := l.holdings.Apply(l.stamp(now), order)
	if t.process == l {
		t.record(now, l)
	}
	return answer
}

// record tells the ledger what the target holds. The caller holds mu.
func (t *Target) record(now time.Time, l *targetProcess) {
	held := make(map[key.Shard]bool)
	for _, h := range l.holdings.List(l.stamp(now)) {
		held[h.Shard] = true
		t.ledger.recordHold(now, t.config.Service, t.config.Name, h.ShardEpoch, l.started.Add(time.Duration(h.End)))
	}
	for shard := range l.held {
		if !held[shard] {
			t.ledger.recordRelease(now, t.config.Service, t.config.Name, shard)
		}
	}
	l.held = held
}

// request runs one forwarded request, or refuses it.
func (t *Target) request(l *targetProcess, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(target.HeaderRequest)
	w.Header().Set(target.HeaderRequest, id)
	arrived := time.Now()
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	t.abortIfKilled(l)
	faults := t.currentFaults()
	if faults.occurs(faults.Shed) {
		t.refuse(w, target.RefusalBusy)
		return
	}
	if left, ok := deadlineOf(r); ok && time.Since(arrived) >= left {
		t.refuse(w, target.RefusalDeadline)
		return
	}
	shard, refusal := t.beginRun(l, r)
	if refusal != "" {
		t.refuse(w, refusal)
		return
	}
	defer t.endRun(l, shard)
	t.abortIfKilled(l)
	t.ledger.recordRun(r.URL.Query().Get(OperationParameter), r.Header.Get(target.HeaderIdempotency))
	if sleep(r.Context(), t.workTime(l, faults)) != nil {
		return // cancelled: the work stops, nobody waits for an answer
	}
	t.abortIfKilled(l)
	t.respond(w, faults, response{request: id, body: ResponseBody(r.URL.RequestURI(), payload, faults.PaddingBytes)})
}

// beginRun checks that the target owns the shard and has a free slot.
func (t *Target) beginRun(l *targetProcess, r *http.Request) (key.Shard, target.Refusal) {
	shard, errShard := strconv.ParseUint(r.Header.Get(target.HeaderShard), 10, 32)
	epoch, errEpoch := strconv.ParseUint(r.Header.Get(target.HeaderEpoch), 10, 64)
	if errShard != nil || errEpoch != nil {
		return 0, target.RefusalOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.running >= t.config.Slots {
		return 0, target.RefusalBusy
	}
	if !l.holdings.Begin(l.stamp(time.Now()), key.Shard(shard), grant.Epoch(epoch)) {
		return 0, target.RefusalOwner
	}
	l.running++
	t.served++
	t.lastStart = time.Now()
	return key.Shard(shard), ""
}

func (t *Target) endRun(l *targetProcess, shard key.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.running--
	l.holdings.End(shard)
}

// refuse answers that nothing ran.
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

// workTime is the time of one run.
func (t *Target) workTime(l *targetProcess, faults TargetFaults) time.Duration {
	work := t.config.MeanWork
	work += time.Duration((rand.Float64()*2 - 1) / 3 * float64(work))
	if time.Since(l.started) < t.config.ColdPeriod {
		work *= coldFactor
	}
	return work + faults.Slow
}

// health tells the number of running requests; a lying target says it is idle.
func (t *Target) health(l *targetProcess, w http.ResponseWriter, _ *http.Request) {
	t.abortIfKilled(l)
	t.mu.Lock()
	running, lies := l.running, t.faults.ReportIdle
	t.mu.Unlock()
	if lies {
		running = 0
	}
	fmt.Fprintf(w, "{\"running\":%d}\n", running)
}

// deadlineOf returns the time left for the request, as its sender says.
func deadlineOf(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}

// connState closes the connections beyond the target's limit.
func (t *Target) connState(l *targetProcess) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch state {
		case http.StateNew:
			l.open++
			if t.config.Connections > 0 && l.open > t.config.Connections {
				t.ledger.count(func(c *LedgerCounts) { c.RefusedConns++ })
				_ = conn.Close()
			}
		case http.StateClosed, http.StateHijacked:
			l.open--
		}
	}
}

// slowListener makes each new connection cost delay before its first byte is
// read.
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
