package fake

import (
	"cmp"
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

// RangeTargetFaults are the present faults of a RangeTarget.
type RangeTargetFaults struct {
	// Work is the duration of a run.
	Work time.Duration
	// Fail, Refuse and Reset are the shares of requests that end with an error
	// of the target itself, that are refused, and whose connection is reset
	// after they ran.
	Fail, Refuse, Reset float64
	// FailStatus is the status of those that end with an error, which have run; 500 if zero.
	// It may be an invalid one.
	FailStatus int
	// Pad is the number of bytes that responses have in addition.
	Pad int
	// DropOrders drops orders: they have no effect and no response.
	DropOrders bool
	// Unreachable makes connections for orders fail.
	Unreachable bool
	// Leaving makes all responses announce that the target is leaving.
	Leaving bool
	// RetryAfter is the retry delay that refusals ask for; zero for none.
	RetryAfter time.Duration
}

// RangeTarget is a fake of a target that owns ranges of keys, or of one of a
// keyless service. It serves requests over real sockets, with the header names
// that it is given, and takes orders by method calls. It is safe for concurrent
// use.
type RangeTarget struct {
	Name  place.Target
	Addr  netip.AddrPort
	Slots int
	// Keyless targets accept requests without a key.
	Keyless bool
	// SlowClock is the fraction by which the target's clock is slower than real
	// time.
	SlowClock float64
	// OnArrival, where set, is called with each request that arrives.
	OnArrival func(req *http.Request)
	// OnAccepted, where set, is called with each request that is not for another target or
	// for a key of another target.
	OnAccepted func(req *http.Request)
	// OnRun, where set, is called with each request that begins to run.
	OnRun func(req *http.Request)
	// Deadly, where set, reports whether a request ends the target. Once it has run for a
	// while, OnEnd is called, which has to end the target.
	Deadly func(req *http.Request) bool
	OnEnd  func(r *RangeTarget, req *http.Request)
	// Limits records the requests and orders that arrive while a limit is advertised.
	Limits LimitLedger

	server *http.Server
	names  *target.HeaderNames
	runs   *RunCounter

	mu     sync.Mutex
	faults RangeTargetFaults
	held   []heldRange
	// fences holds the highest fencing token of a grant for each point. It
	// outlives the grant.
	fences  map[key.Point]target.FencingToken
	running int
	// usualWork, where set, is the usual duration of a run.
	usualWork time.Duration
	arrived   int
	draws     int
}

type heldRange struct {
	key.Range

	fence  target.FencingToken
	expiry time.Time
}

// RunCounter counts the runs of each request on all targets. It is safe for
// concurrent use.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty counter.
func NewRunCounter() *RunCounter { return &RunCounter{runs: make(map[string]int)} }

func (c *RunCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// Runs returns how often a request ran.
func (c *RunCounter) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// NewRangeTarget returns a target that the caller serves at addr.
func NewRangeTarget(name place.Target, addr netip.AddrPort, slots int, names *target.HeaderNames, runs *RunCounter) *RangeTarget {
	return &RangeTarget{
		Name: name, Addr: addr, Slots: slots, names: names, runs: runs, faults: RangeTargetFaults{Work: 10 * time.Millisecond},
	}
}

// StartRangeTarget starts a target that serves requests on a free loopback
// port.
func StartRangeTarget(name place.Target, slots int, names *target.HeaderNames, runs *RunCounter) (*RangeTarget, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake: %w", err)
	}
	r := NewRangeTarget(name, netip.MustParseAddrPort(l.Addr().String()), slots, names, runs)
	r.server = &http.Server{Handler: r}
	go r.run(l)
	return r, nil
}

func (r *RangeTarget) run(l net.Listener) { _ = r.server.Serve(l) }

// Restarted starts another incarnation of a target that was closed, at the same address.
func (r *RangeTarget) Restarted() (*RangeTarget, error) {
	l, err := net.Listen("tcp4", r.Addr.String())
	if err != nil {
		return nil, fmt.Errorf("fake: %w", err)
	}
	next := NewRangeTarget(r.Name, r.Addr, r.Slots, r.names, r.runs)
	next.Keyless, next.OnArrival, next.OnAccepted, next.OnRun, next.Deadly, next.OnEnd = r.Keyless, r.OnArrival, r.OnAccepted, r.OnRun, r.Deadly, r.OnEnd
	next.server = &http.Server{Handler: next}
	go next.run(l)
	return next, nil
}

// Close stops the target at once.
func (r *RangeTarget) Close() { _ = r.server.Close() }

// SetFaults replaces the faults.
func (r *RangeTarget) SetFaults(f RangeTargetFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// SetLimit sets the rate limit that all responses to requests advertise, which may be
// malformed; empty for none.
func (r *RangeTarget) SetLimit(value string) { r.Limits.SetValue(time.Now(), value) }

func (r *RangeTarget) unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.Unreachable
}

// Arrived returns the number of requests that have arrived.
func (r *RangeTarget) Arrived() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

// Holds reports whether the target holds a point at the time now.
func (r *RangeTarget) Holds(now time.Time, p key.Point) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds(now, p)
}

// HoldsAny reports whether the target holds any point of a range at the time
// now.
func (r *RangeTarget) HoldsAny(now time.Time, span key.Range) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if h.Overlaps(span) && now.Before(h.expiry) {
			return true
		}
	}
	return false
}

func (r *RangeTarget) holds(now time.Time, p key.Point) bool {
	for _, h := range r.held {
		if h.Contains(p) && now.Before(h.expiry) {
			return true
		}
	}
	return false
}

// admit decides whether a request runs; the returned status is 0 where it does.
// draw is a pseudo-random number from 0 to 1 that selects the faults of the
// request.
func (r *RangeTarget) admit(req *http.Request) (status int, f RangeTargetFaults, draw float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived++
	if r.OnArrival != nil {
		r.OnArrival(req)
	}
	r.Limits.Arrived(time.Now(), req.Header.Get(r.names.Request))
	r.draws++
	const scale = 1000
	draw = float64(r.draws*7919%scale) / scale
	if expect := req.Header.Get(r.names.Expect); expect != "" && expect != string(r.Name) {
		return http.StatusMisdirectedRequest, r.faults, draw
	}
	if !r.Keyless {
		p, err := strconv.ParseUint(req.Header.Get(r.names.Key), 10, 32)
		if err != nil || !r.holds(time.Now(), key.Point(p)) {
			return http.StatusMisdirectedRequest, r.faults, draw
		}
	}
	if r.OnAccepted != nil {
		r.OnAccepted(req)
	}
	const queue = 12
	if r.running >= r.Slots+queue || draw < r.faults.Refuse {
		return http.StatusServiceUnavailable, r.faults, draw
	}
	r.running++
	return 0, r.faults, draw
}

// ServeHTTP implements http.Handler.
func (r *RangeTarget) ServeHTTP(w http.ResponseWriter, req *http.Request) {
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
		r.addLimit(w, id)
		w.Header().Set(r.names.NotRun, "1")
		if f.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(status)
		return
	}
	r.runs.add(id)
	if r.OnRun != nil {
		r.OnRun(req)
	}
	time.Sleep(f.Work)
	if r.Deadly != nil && r.Deadly(req) {
		r.OnEnd(r, req)
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	r.running--
	r.addLoad(w)
	r.mu.Unlock()
	if draw < f.Refuse+f.Reset {
		panic(http.ErrAbortHandler) // resets the connection
	}
	r.addLimit(w, id)
	switch {
	case draw < f.Refuse+f.Reset+f.Fail:
		r.fail(w, id, cmp.Or(f.FailStatus, http.StatusInternalServerError))
	default:
		if r.names.Stamp != "" {
			w.Header().Set(r.names.Stamp, string(r.Name)+"."+id)
		}
		_, _ = fmt.Fprintf(w, "%s %s %d", r.Name, id, len(body))
		_, _ = w.Write(make([]byte, f.Pad))
	}
}

// SetUsualWork makes responses state the target's load, with a slowdown relative to the usual
// duration of a run.
func (r *RangeTarget) SetUsualWork(work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usualWork = work
}

// addLoad adds the target's load to the response to a request. The caller holds mu.
func (r *RangeTarget) addLoad(w http.ResponseWriter) {
	if r.usualWork <= 0 {
		return
	}
	const percent = 100
	w.Header().Set(r.names.Load, fmt.Sprintf("%d,%d,%d,%d", min(r.running, r.Slots), max(r.running-r.Slots, 0), r.Slots, percent*r.faults.Work/r.usualWork))
}

// fail responds with the status of an error. http.ResponseWriter panics on statuses below 100.
func (r *RangeTarget) fail(w http.ResponseWriter, id string, status int) {
	if status >= http.StatusContinue {
		w.WriteHeader(status)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d Invalid\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", status, r.names.Request, id)
	r.awaitClose(conn)
}

// awaitClose waits until the other side has closed a connection.
func (r *RangeTarget) awaitClose(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// addLimit adds the target's rate limit to the response to a request.
func (r *RangeTarget) addLimit(w http.ResponseWriter, id string) {
	if value := r.Limits.Respond(time.Now(), id); value != "" {
		w.Header().Set(r.names.Limit, value)
	}
}

// RangeOrderDialer connects to the targets by their addresses, without a
// network.
type RangeOrderDialer struct {
	mu      sync.Mutex
	targets map[netip.AddrPort]*RangeTarget
}

// NewRangeOrderDialer returns a dialer without targets.
func NewRangeOrderDialer() *RangeOrderDialer {
	return &RangeOrderDialer{targets: make(map[netip.AddrPort]*RangeTarget)}
}

// Add adds a target to the dialer.
func (o *RangeOrderDialer) Add(r *RangeTarget) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.targets[r.Addr] = r
}

// Dial implements target.OrderDialer.
func (o *RangeOrderDialer) Dial(_ context.Context, addr netip.AddrPort, to place.Target) (target.OrderConn, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.targets[addr]
	if r == nil || r.unreachable() {
		return nil, target.ErrNotSent
	}
	return &rangeOrderConn{targetName: to, rangeTarget: r}, nil
}

type rangeOrderConn struct {
	targetName  place.Target
	rangeTarget *RangeTarget
}

// Signal implements target.OrderConn.
func (c *rangeOrderConn) Signal() target.Signal {
	c.rangeTarget.mu.Lock()
	defer c.rangeTarget.mu.Unlock()
	return target.Signal{Leaving: c.rangeTarget.faults.Leaving}
}

func (c *rangeOrderConn) Close() error { return nil }

func (c *rangeOrderConn) beginOrder(ctx context.Context) error {
	c.rangeTarget.mu.Lock()
	f := c.rangeTarget.faults
	c.rangeTarget.mu.Unlock()
	if f.Unreachable {
		return target.ErrNotSent
	}
	if f.DropOrders {
		<-ctx.Done()
		return target.ErrUnanswered
	}
	if c.targetName != c.rangeTarget.Name {
		return target.ErrMisdirected
	}
	c.rangeTarget.Limits.Arrived(time.Now(), "")
	return nil
}

// Grant implements target.OrderConn.
func (c *rangeOrderConn) Grant(ctx context.Context, g target.Grant) error {
	if err := c.beginOrder(ctx); err != nil {
		return err
	}
	r := c.rangeTarget
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := g.Range.First; p <= g.Range.Last; p++ {
		if r.fences[p] > g.FencingToken {
			return target.ErrFenced
		}
	}
	if r.fences == nil {
		r.fences = make(map[key.Point]target.FencingToken)
	}
	for p := g.Range.First; p <= g.Range.Last; p++ {
		r.fences[p] = g.FencingToken
	}
	r.release(g.Range)
	r.held = append(r.held, heldRange{g.Range, g.FencingToken, time.Now().Add(time.Duration(float64(g.Duration) * (1 + r.SlowClock)))})
	return nil
}

// release removes a range from those that the target holds. The caller holds
// mu.
func (r *RangeTarget) release(removed key.Range) {
	var next []heldRange
	for _, h := range r.held {
		if !h.Overlaps(removed) {
			next = append(next, h)
			continue
		}
		if h.First < removed.First {
			left := h
			left.Last = removed.First - 1
			next = append(next, left)
		}
		if h.Last > removed.Last {
			right := h
			right.First = removed.Last + 1
			next = append(next, right)
		}
	}
	r.held = next
}

// Release implements target.OrderConn.
func (c *rangeOrderConn) Release(ctx context.Context, rel target.Release) (target.Handover, error) {
	if err := c.beginOrder(ctx); err != nil {
		return "", err
	}
	c.rangeTarget.mu.Lock()
	defer c.rangeTarget.mu.Unlock()
	c.rangeTarget.release(rel.Range)
	return target.Handover("from " + string(c.rangeTarget.Name)), nil
}
