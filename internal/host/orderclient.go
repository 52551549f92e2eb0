package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxOrderTransit is how long an order may be on its way after its sender has ended: the
	// longest partition, and the pause between two retransmissions after it.
	maxOrderTransit = 30 * time.Second
	// orderTimeout limits a grant and its response.
	orderTimeout = 600 * time.Millisecond
	// releaseTimeout limits a release, which is acknowledged when the running work has
	// ended.
	releaseTimeout = 1500 * time.Millisecond
)

// orderClient sends the orders of a leader to targets. Each connection belongs to a
// connection number chosen by the leader and is opened only for the first order of that
// number.
type orderClient struct {
	orders target.OrderDialer
	log    *slog.Logger

	mu    sync.Mutex
	conns map[place.Target]*orderConn
}

type orderConn struct {
	target.OrderConn

	number uint64
}

func newOrderClient(orders target.OrderDialer, log *slog.Logger) *orderClient {
	return &orderClient{orders: orders, log: log, conns: make(map[place.Target]*orderConn)}
}

// sendGrants sends grants one after the other. It returns the result of each and
// the signal in the last response.
func (c *orderClient) sendGrants(ctx context.Context, e owner.SendGrants) (results []error, signal target.Signal) {
	results = make([]error, len(e.Grants))
	for i := range results {
		results[i] = target.ErrNotSent
	}
	conn, err := c.conn(ctx, e)
	if err != nil {
		for i := range results {
			results[i] = errors.Join(target.ErrNotSent, err)
		}
		c.log.Debug("No order connection to target.", slog.String("target", string(e.Target)), slog.Any("error", err))
		return results, signal
	}
	for i, g := range e.Grants {
		results[i] = c.sendGrant(ctx, conn, g)
		if results[i] == nil {
			continue
		}
		c.log.Info("Grant failed.", slog.String("target", string(e.Target)), slog.String("range", g.Range.String()),
			slog.Uint64("fence", uint64(g.FencingToken)), slog.Any("error", results[i]))
		signal = conn.Signal()
		c.discard(e.Target, conn)
		return results, signal
	}
	return results, conn.Signal()
}

func (c *orderClient) sendGrant(ctx context.Context, conn *orderConn, g target.Grant) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return conn.Grant(ctx, g)
}

// conn returns the connection with the effect's connection number. It opens one for a
// new number.
func (c *orderClient) conn(ctx context.Context, e owner.SendGrants) (*orderConn, error) {
	c.mu.Lock()
	known := c.conns[e.Target]
	c.mu.Unlock()
	if known != nil && known.number == e.Conn {
		if known.OrderConn == nil {
			return nil, errors.New("host: order connection closed")
		}
		return known, nil
	}
	if known != nil && known.OrderConn != nil {
		_ = known.Close() // reset in any case
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	conn := &orderConn{number: e.Conn}
	opened, err := c.orders.Dial(ctx, e.Addr, e.Target)
	if err == nil {
		conn.OrderConn = opened
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[e.Target] = conn
	return conn, err
}

// discard closes a connection. Its number is not used again.
func (c *orderClient) discard(name place.Target, conn *orderConn) {
	_ = conn.Close() // reset in any case
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[name] == conn {
		c.conns[name] = &orderConn{number: conn.number}
	}
}

// release sends a release over a connection of its own.
func (c *orderClient) release(ctx context.Context, e owner.SendRelease) (target.Handover, error) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	conn, err := c.orders.Dial(ctx, e.Addr, e.Target)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // reset in any case
	return conn.Release(ctx, e.Release)
}

// reset closes all connections, which ends the orders in flight. Their numbers are not used
// again.
func (c *orderClient) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, conn := range c.conns {
		if conn.OrderConn != nil {
			_ = conn.Close() // reset in any case
		}
		c.conns[name] = &orderConn{number: conn.number}
	}
}

func (c *orderClient) close() {
	c.reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = make(map[place.Target]*orderConn)
}
