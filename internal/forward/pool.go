package forward

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// ErrClosed is the error of NotSent if the pool is closed.
var ErrClosed = errors.New("forward: pool is closed")

// ErrFull is the error of NotSent if Config.MaxOpen connections are in use.
var ErrFull = errors.New("forward: all connections are in use")

// ErrTooLate is the error of NotSent if Request.NotAfter has passed.
var ErrTooLate = errors.New("forward: no longer to be sent")

// Dial opens a connection to a target.
type Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Config holds the address and the limits of a Pool.
type Config struct {
	Addr netip.AddrPort
	// MaxOpen bounds the open connections.
	MaxOpen int
	// MinOpen is the number of open connections that Warm ensures.
	MinOpen int
	// Dial opens the connections; DialTCP if nil.
	Dial Dial
	// DialTimeout bounds one attempt to connect. If it is zero, only the request's
	// deadline does, and Warm can't connect.
	DialTimeout time.Duration
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	host string

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = DialTCP
	}
	return &Pool{cfg: cfg, host: cfg.Addr.String()}
}

// Do makes one attempt. If ctx ends while the request is on a connection, Do closes the
// connection, which asks the target to cancel the request, and returns Uncertain unless
// the response is complete.
func (p *Pool) Do(ctx context.Context, r *Request, now time.Time) Result {
	if ctx.Err() != nil {
		return NotSent{Err: ctx.Err()}
	}
	c, err := p.take(ctx, r, now)
	if err != nil {
		return NotSent{Err: err}
	}
	if !r.NotAfter.IsZero() && time.Now().After(r.NotAfter) {
		p.put(c)
		return NotSent{Err: ErrTooLate}
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		c.broken = true
		p.put(c)
		return NotSent{Err: err}
	}
	var stop func() bool
	if ctx.Done() != nil {
		stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	}
	idle := c.idleFor(now)
	result := c.roundTrip(r, p.host, now)
	c.carried++
	switch u := result.(type) {
	case Uncertain:
		u.Idle = idle
		result = u
	case Refused:
		c.noteRefusal(r.ID)
	case Completed, NotSent:
	}
	if stop != nil && !stop() {
		c.broken = true
	}
	p.put(c)
	return result
}

// take returns an idle connection that is reusable, or opens one.
func (p *Pool) take(ctx context.Context, r *Request, now time.Time) (*conn, error) {
	for {
		c, err := p.takeIdle(r.ID)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx, r.Deadline)
		}
		if c.mayCarry(r.ID) && (r.MaxIdle == 0 || c.idleFor(now) <= r.MaxIdle) && !c.expired(now) && c.reusable() {
			return c, nil
		}
		c.broken = true
		p.put(c)
	}
}

// takeIdle returns the idle connection that was used last and may carry the request. If there
// is none, it reserves a new connection and returns nil or, if too many are open, returns an
// idle one that take closes.
func (p *Pool) takeIdle(id string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].mayCarry(id) {
			return p.removeIdle(i), nil
		}
	}
	switch {
	case p.open < p.cfg.MaxOpen:
		p.open++
		return nil, nil
	case len(p.idle) > 0:
		return p.removeIdle(0), nil
	}
	return nil, ErrFull
}

// removeIdle takes a connection out of the idle ones. The caller holds mu.
func (p *Pool) removeIdle(i int) *conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

func (p *Pool) connect(ctx context.Context, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if p.cfg.DialTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, p.cfg.DialTimeout)
		defer cancel()
	}
	c, err := p.cfg.Dial(ctx, p.cfg.Addr)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	return newConn(c), nil
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) put(c *conn) {
	// The deadline of this request must not be left on the connection.
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.broken = true
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !c.broken && !p.closed
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// Warm opens connections until Config.MinOpen are idle or in use. It returns the first
// error.
func (p *Pool) Warm(ctx context.Context, now time.Time) error {
	for p.reserveWarm() {
		c, err := p.connect(ctx, now.Add(p.cfg.DialTimeout))
		if err != nil {
			return err
		}
		p.put(c)
	}
	return nil
}

func (p *Pool) reserveWarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= min(p.cfg.MinOpen, p.cfg.MaxOpen) {
		return false
	}
	p.open++
	return true
}

// Check opens a connection, which the next request uses, to find out whether the target
// accepts any. It returns the error of the attempt to connect.
func (p *Pool) Check(ctx context.Context, now time.Time) error {
	p.mu.Lock()
	var err error
	switch {
	case p.closed:
		err = ErrClosed
	case p.open >= p.cfg.MaxOpen:
		err = ErrFull
	default:
		p.open++
	}
	p.mu.Unlock()
	if err != nil {
		return err
	}
	c, err := p.connect(ctx, now.Add(p.cfg.DialTimeout))
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections. Those in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
