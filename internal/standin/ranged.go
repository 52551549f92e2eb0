package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// RangedFaults is what goes wrong with a Ranged now.
type RangedFaults struct {
	// Work is how long a request takes.
	Work time.Duration
	// Fail, Refuse and Cut are the shares of requests that end with the
	// target's own failure, that it refuses, and whose connection breaks after
	// they have run.
	Fail, Refuse, Cut float64
	// Deaf: orders are neither answered nor carried out.
	Deaf bool
	// Gone: no connection for orders can be had.
	Gone bool
	// Leaving: all answers say that the target stops soon.
	Leaving bool
	// Pause is what refusals ask for, in seconds, zero for nothing.
	Pause time.Duration
}

// Ranged is the stand-in of a target that owns ranges of keys, or of one of a
// keyless service. It serves requests over real sockets, in the product's own
// header names, and takes orders by method calls. Safe for concurrent use.
type Ranged struct {
	Name  place.Target
	Addr  netip.AddrPort
	Slots int
	// Keyless targets take any request.
	Keyless bool
	// SlowClock is how much slower than real time its clock runs.
	SlowClock float64

	server *http.Server
	names  *target.HeaderNames
	runs   *RunLedger

	mu     sync.Mutex
	faults RangedFaults
	held   []heldRange
	// seen is the highest fence of each point that a grant has brought; it
	// stays when the grant has ended.
	seen    map[key.Point]target.FencingToken
	running int
	arrived int
	counter int
}

type heldRange struct {
	key.Range

	fence target.FencingToken
	end   time.Time
}

// RunLedger counts the runs of each request over all targets. Safe for
// concurrent use.
type RunLedger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunLedger returns an empty ledger.
func NewRunLedger() *RunLedger { return &RunLedger{runs: make(map[string]int)} }

func (l *RunLedger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Runs returns how often a request ran.
func (l *RunLedger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// NewRanged returns a target that somebody else serves at addr.
func NewRanged(name place.Target, addr netip.AddrPort, slots int, names *target.HeaderNames, runs *RunLedger) *Ranged {
	return &Ranged{
		Name: name, Addr: addr, Slots: slots, names: names, runs: runs, faults: RangedFaults{Work: 10 * time.Millisecond},
	}
}

// StartRanged starts a target on a free loopback port.
func StartRanged(name place.Target, slots int, names *target.HeaderNames, runs *RunLedger) (*Ranged, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	r := NewRanged(name, netip.MustParseAddrPort(l.Addr().String()), slots, names, runs)
	r.server = &http.Server{Handler: r}
	go r.run(l)
	return r, nil
}

func (r *Ranged) run(l net.Listener) { _ = r.server.Serve(l) }

// Close ends the target at once.
func (r *Ranged) Close() { _ = r.server.Close() }

// SetFaults replaces the faults.
func (r *Ranged) SetFaults(f RangedFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

func (r *Ranged) gone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.Gone
}

// Arrived returns how many requests arrived.
func (r *Ranged) Arrived() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

// Holds reports whether the target holds a point now.
func (r *Ranged) Holds(now time.Time, p key.Point) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds(now, p)
}

// Meets reports whether the target holds any point of a range now.
func (r *Ranged) Meets(now time.Time, span key.Range) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.Overlaps(span) && now.Before(h.end) {
			return true
		}
	}
	return false
}

func (r *Ranged) holds(now time.Time, p key.Point) bool {
	for _, h := range r.held {
		if h.Contains(p) && now.Before(h.end) {
			return true
		}
	}
	return false
}

// admit decides on a request; the returned status is 0 where it runs.
func (r *Ranged) admit(req *http.Request) (status int, f RangedFaults, draw float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived++
	r.counter++
	const scale = 1000
	draw = float64(r.counter*7919%scale) / scale
	if expect := req.Header.Get(r.names.Expect); expect != "" && expect != string(r.Name) {
		return http.StatusMisdirectedRequest, r.faults, draw
	}
	if !r.Keyless {
		p, err := strconv.ParseUint(req.Header.Get(r.names.Key), 10, 32)
		if err != nil || !r.holds(time.Now(), key.Point(p)) {
			return http.StatusMisdirectedRequest, r.faults, draw
		}
	}
	const queue = 12
	if r.running >= r.Slots+queue || draw < r.faults.Refuse {
		return http.StatusServiceUnavailable, r.faults, draw
	}
	r.running++
	return 0, r.faults, draw
}

// ServeHTTP implements http.Handler.
func (r *Ranged) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(r.names.Request)
	w.Header().Set(r.names.Request, id)
	w.Header().Set(r.names.Target, string(r.Name))
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	status, f, draw := r.admit(req)
	if f.Leaving {
		w.Header().Set(r.names.Leaving, "1")
	}
	if status != 0 {
		w.Header().Set(r.names.NotRun, "1")
		if f.Pause > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.Pause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(status)
		return
	}
	r.runs.add(id)
	time.Sleep(f.Work)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	switch {
	case draw < f.Refuse+f.Cut:
		panic(http.ErrAbortHandler) // resets the connection
	case draw < f.Refuse+f.Cut+f.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		if r.names.Stamp != "" {
			w.Header().Set(r.names.Stamp, string(r.Name)+"."+id)
		}
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Name, id, len(body))
	}
}

// RangedOrders carries orders to targets by their addresses.
type RangedOrders struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]*Ranged
}

// NewRangedOrders returns orders that reach nobody yet.
func NewRangedOrders() *RangedOrders {
	return &RangedOrders{targets: make(map[netip.AddrPort]*Ranged)}
}

// Add lets orders reach a target.
func (o *RangedOrders) Add(r *Ranged) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.targets[r.Addr] = r
}

// Dial implements target.Orders.
func (o *RangedOrders) Dial(_ context.Context, addr netip.AddrPort, to place.Target) (target.OrderConn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.targets[addr]
	if r == nil || r.gone() {
		return nil, target.ErrNotSent
	}
	return &rangedConn{to: to, ranged: r}, nil
}

type rangedConn struct {
	to     place.Target
	ranged *Ranged
}

// Leaving implements target.OrderConn.
func (c *rangedConn) Leaving() bool {
	c.ranged.mu.Lock()
	defer c.ranged.mu.Unlock()
	return c.ranged.faults.Leaving
}

func (c *rangedConn) Close() error { return nil }

func (c *rangedConn) enter(ctx context.Context) error {
	c.ranged.mu.Lock()
	f := c.ranged.faults
	c.ranged.mu.Unlock()
	if f.Gone {
		return target.ErrNotSent
	}
	if f.Deaf {
		<-ctx.Done()
		return target.ErrUnanswered
	}
	if c.to != c.ranged.Name {
		return target.ErrMisdirected
	}
	return nil
}

// Grant implements target.OrderConn.
func (c *rangedConn) Grant(ctx context.Context, g target.Grant) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	r := c.ranged
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := g.Range.First; p <= g.Range.Last; p++ {
		if r.seen[p] > g.FencingToken {
			return target.ErrFenced
		}
	}
	if r.seen == nil {
		r.seen = make(map[key.Point]target.FencingToken)
	}
	for p := g.Range.First; p <= g.Range.Last; p++ {
		r.seen[p] = g.FencingToken
	}
	r.drop(g.Range)
	r.held = append(r.held, heldRange{g.Range, g.FencingToken, time.Now().Add(time.Duration(float64(g.Duration) * (1 + r.SlowClock)))})
	return nil
}

// drop takes a range out of what is held. The caller holds mu.
func (r *Ranged) drop(out key.Range) {
	var next []heldRange
	for _, h := range r.held {
		if !h.Overlaps(out) {
			next = append(next, h)
			continue
		}
		if h.First < out.First {
			left := h
			left.Last = out.First - 1
			next = append(next, left)
		}
		if h.Last > out.Last {
			right := h
			right.First = out.Last + 1
			next = append(next, right)
		}
	}
	r.held = next
}

// Release implements target.OrderConn.
func (c *rangedConn) Release(ctx context.Context, rel target.Release) (target.Handover, error) {
	if err := c.enter(ctx); err != nil {
		return "", err
	}
	c.ranged.mu.Lock()
	defer c.ranged.mu.Unlock()
	c.ranged.drop(rel.Range)
	return target.Handover("from " + string(c.ranged.Name)), nil
}
