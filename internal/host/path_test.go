package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/relay"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

// cutKind is how connections behave while a path is cut.
type cutKind uint8

const (
	pathOpen cutKind = iota
	// cutSilent: nothing arrives, and new connections time out.
	cutSilent
	// cutRefuse: new connections are refused; open ones stay usable.
	cutRefuse
	// cutReset: open connections are reset, and new ones refused.
	cutReset
)

// paths are the network paths from one host to all targets.
type paths struct {
	orders target.OrderDialer

	mu    sync.Mutex
	kind  cutKind
	addrs []netip.AddrPort // targets that are cut off, all if empty
	conns map[*pathConn]struct{}
}

func newPaths(orders target.OrderDialer) *paths {
	return &paths{orders: orders, conns: make(map[*pathConn]struct{})}
}

// cut cuts the paths to the given targets, all if there are none.
func (p *paths) cut(kind cutKind, addrs ...netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind, p.addrs = kind, addrs
	if kind != cutReset {
		return
	}
	for c := range p.conns {
		if len(addrs) == 0 || slices.Contains(addrs, c.addr) {
			_ = c.Conn.Close()
		}
	}
}

// heal opens all paths. Connections that were silent stay so.
func (p *paths) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kind == cutSilent {
		for c := range p.conns {
			c.lost = true
		}
	}
	p.kind, p.addrs = pathOpen, nil
}

func (p *paths) state(addr netip.AddrPort) cutKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addrs) > 0 && !slices.Contains(p.addrs, addr) {
		return pathOpen
	}
	return p.kind
}

func (p *paths) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	switch p.state(addr) {
	case cutSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutRefuse, cutReset:
		return nil, syscall.ECONNREFUSED
	case pathOpen:
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: conn, paths: p, addr: addr}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c, nil
}

// pathConn is a connection over a path that may be cut.
type pathConn struct {
	net.Conn

	paths *paths
	addr  netip.AddrPort
	lost  bool // guarded by paths.mu
}

// Write drops the bytes while the path is silent.
func (c *pathConn) Write(b []byte) (int, error) {
	silent := c.paths.state(c.addr) == cutSilent
	c.paths.mu.Lock()
	silent = silent || c.lost
	c.paths.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pathConn) Close() error {
	c.paths.mu.Lock()
	delete(c.paths.conns, c)
	c.paths.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *pathConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no raw connection")
	}
	return sc.SyscallConn()
}

// Dial implements target.OrderDialer.
func (p *paths) Dial(ctx context.Context, addr netip.AddrPort, to place.Target) (target.OrderConn, error) {
	if p.state(addr) != pathOpen {
		return nil, target.ErrNotSent
	}
	conn, err := p.orders.Dial(ctx, addr, to)
	if err != nil {
		return nil, err
	}
	return &pathOrderConn{OrderConn: conn, paths: p, addr: addr}, nil
}

// pathOrderConn is an order connection over a path that may be cut.
type pathOrderConn struct {
	target.OrderConn

	paths *paths
	addr  netip.AddrPort
}

// Grant implements target.OrderConn.
func (c *pathOrderConn) Grant(ctx context.Context, g target.Grant) error {
	if err := c.await(ctx); err != nil {
		return err
	}
	return c.OrderConn.Grant(ctx, g)
}

// Release implements target.OrderConn.
func (c *pathOrderConn) Release(ctx context.Context, r target.Release) (target.Handover, error) {
	if err := c.await(ctx); err != nil {
		return "", err
	}
	return c.OrderConn.Release(ctx, r)
}

func (c *pathOrderConn) await(ctx context.Context) error {
	switch c.paths.state(c.addr) {
	case cutSilent:
		<-ctx.Done()
		return target.ErrUnanswered
	case cutReset:
		return target.ErrNotSent
	case cutRefuse, pathOpen:
	}
	return nil
}

// share counts requests and those that were served.
type share struct{ sent, served int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// pathLoad sends first attempts to all hosts.
type pathLoad struct {
	*deployment

	mu     sync.Mutex
	shares map[*testHost]map[string]share // by host and path
}

// run sends requests to each host and for each path every interval, for a time.
func (l *pathLoad) run(span, interval time.Duration) {
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	point := key.Point(0)
	for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
		point += 4099 // spreads over all ranges
		p := point % key.Points
		for _, h := range l.hosts {
			for path, method := range map[string]string{"/keys/x": http.MethodGet, "/free/x": http.MethodPost} {
				clients.Go(func() { l.add(h, path, l.send(h, method, path, p)) })
			}
		}
	}
	clients.Wait()
}

func (l *pathLoad) add(h *testHost, path string, a testResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares[h] == nil {
		l.shares[h] = make(map[string]share)
	}
	s := l.shares[h][path]
	s.sent++
	if a.err == nil && a.status == http.StatusOK {
		s.served++
	}
	l.shares[h][path] = s
}

// measure sends a load and returns the share that was served of each path, at the hosts in
// cut and at the others.
func (d *deployment) measure(cut []*testHost, span time.Duration) (atCut, atOthers map[string]share) {
	l := &pathLoad{deployment: d, shares: make(map[*testHost]map[string]share)}
	l.run(span, 25*time.Millisecond)
	atCut, atOthers = make(map[string]share), make(map[string]share)
	for h, byPath := range l.shares {
		sums := atOthers
		if slices.Contains(cut, h) {
			sums = atCut
		}
		for path, s := range byPath {
			sum := sums[path]
			sums[path] = share{sum.sent + s.sent, sum.served + s.served}
		}
	}
	return atCut, atOthers
}

// TestHostsCutFromTargets: while hosts have no path to the targets, all other hosts serve as
// before, and callers of the cut hosts are served through them.
func TestHostsCutFromTargets(t *testing.T) {
	t.Parallel()
	const (
		settle = time.Second
		// maxLoss is by how much less other hosts may serve than before the cut, and all
		// hosts after it. minCut is the aim for cut hosts as a share of the others.
		maxLoss, minCut = 0.02, 0.95
	)
	tests := map[string]struct {
		kind cutKind
		cut  func(d *deployment) []*testHost
	}{
		"one host, silent":  {cutSilent, func(d *deployment) []*testHost { return d.others()[:1] }},
		"one host, refused": {cutRefuse, func(d *deployment) []*testHost { return d.others()[:1] }},
		"two hosts, silent": {cutSilent, func(d *deployment) []*testHost { return d.others()[:2] }},
		"two hosts, reset":  {cutReset, func(d *deployment) []*testHost { return d.others()[:2] }},
		"the leader, reset": {cutReset, func(d *deployment) []*testHost { return []*testHost{d.leader()} }},
		"all but one host":  {cutSilent, func(d *deployment) []*testHost { return d.others() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 4, 4, 3)
			d.awaitServed()
			_, before := d.measure(nil, 2*time.Second)
			cut := test.cut(d)
			for _, h := range cut {
				h.paths.cut(test.kind)
			}
			d.measure(cut, settle)
			atCut, atOthers := d.measure(cut, 3*time.Second)
			for path, others := range atOthers {
				t.Logf("%s: all served %v before, then cut hosts %v, others %v", path, before[path], atCut[path], others)
				assert.Check(t, others.ratio() >= before[path].ratio()-maxLoss, "%s at hosts that are not cut: %v", path, others)
				assert.Check(t, atCut[path].ratio() >= minCut*others.ratio(), "%s at cut hosts: %v", path, atCut[path])
			}
			if t.Failed() {
				d.logFailures()
			}
			for _, h := range cut {
				h.paths.heal()
			}
			d.measure(cut, 2*time.Second)
			atCut, _ = d.measure(cut, time.Second)
			for path, s := range atCut {
				assert.Check(t, s.ratio() >= before[path].ratio()-maxLoss, "%s after the cut has healed: %v", path, s)
			}
		})
	}
}

// logFailures prints what hosts logged but for requests that were served.
func (d *deployment) logFailures() {
	for _, h := range d.hosts {
		for line := range strings.SplitSeq(h.logs.String(), "\n") {
			if !strings.Contains(line, `"outcome":"done"`) {
				d.t.Logf("%s: %s", h.site.Host, line)
			}
		}
	}
}

// others returns the hosts that lead no service.
func (d *deployment) others() []*testHost {
	leader := d.leader()
	return slices.DeleteFunc(slices.Clone(d.hosts), func(h *testHost) bool { return h == leader })
}

// TestRelayStops: a host that has no path either refuses the request of another host, which
// answers its caller at once: no request goes round, and none is sent twice.
func TestRelayStops(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 3, 2)
	d.awaitServed()
	for _, h := range d.hosts {
		h.paths.cut(cutReset)
	}
	d.measure(d.hosts, time.Second)
	for i := range 20 {
		a := d.send(d.hosts[i%3], http.MethodPost, "/free/x", 0)
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, d.runs.Runs(a.id), 0)
		assert.Assert(t, a.took < 500*time.Millisecond, "answered after %v", a.took)
	}
}

// TestRelayNeedsConfig: a host with an older configuration than the host that passes a request
// on does not take it.
func TestRelayNeedsConfig(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1, 1)
	d.awaitServed()
	h := d.hosts[0]
	in := relay.Request{ID: "r", Method: http.MethodPost, URI: "/free/x", Host: "a.example", Service: "desk", Timeout: time.Second, Config: 1}
	tests := map[string]struct {
		version traffic.Version
		want    outcome.Reason
	}{
		"same":  {1, ""},
		"newer": {2, reasonNoPath},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := in
			in.Config = test.version
			_, result := h.relayer.newJob(&in, "host-9", time.Now())
			if test.want == "" {
				assert.Assert(t, result == nil, "%v", result)
				return
			}
			assert.Equal(t, outcome.ReasonOf(result), test.want)
		})
	}
}

// TestRelayFailed: a request is reported as not run only if it certainly did not arrive at the
// other host, and a body that hosts can't pass on is no mistake of the caller.
func TestRelayFailed(t *testing.T) {
	t.Parallel()
	late, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	tests := map[string]struct {
		ctx  context.Context
		err  error
		want outcome.Result
	}{
		"too large":   {context.Background(), peer.ErrTooLarge, outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter}},
		"unreachable": {context.Background(), peer.ErrUnreachable, nil},
		"refused":     {context.Background(), peer.ErrRefused, nil},
		"no response": {context.Background(), peer.ErrNoResponse, outcome.UnknownFailure{Reason: outcome.AnswerCut}},
		"late":        {late, peer.ErrNoResponse, outcome.UnknownFailure{Reason: outcome.AnswerLate}},
		"panic there": {context.Background(), &peer.RemoteError{Text: "x"}, outcome.UnknownFailure{Reason: outcome.AnswerCut}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Host{log: logging.Nop()}
			h.relayer = newRelayer(h)
			j := &job{host: h}
			assert.DeepEqual(t, j.relayFailed(test.ctx, member.Host{Name: "other"}, test.err), test.want)
		})
	}
}
