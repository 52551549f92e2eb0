package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/forward"
)

const (
	// readBuffer is the size of a connection's read buffer, headBuffer that of
	// the reader that parses a head.
	readBuffer = 4 << 10
	headBuffer = 512
)

// conn is one connection of a client. Its own goroutine reads requests, each
// request has one that runs it; whoever ends the first in line writes answers.
type conn struct {
	net.Conn
	server *Server
	raw    syscall.RawConn
	br     *bufio.Reader
	head   []byte
	parser *bufio.Reader
	source bytes.Reader
	// ctx ends when the client has gone.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu sync.Mutex
	// queue are the requests that were taken and not answered yet, oldest first.
	queue []*exchange
	// reading tells that a request is being read, writing that somebody writes
	// answers, over that no more requests are taken, lost that nothing can be
	// written any more.
	reading, writing, over, lost bool
	// changed gets a token when an answer was written.
	changed chan struct{}
}

func newConn(s *Server, c net.Conn) *conn {
	k := &conn{Conn: c, server: s, changed: make(chan struct{}, 1)}
	k.br = bufio.NewReaderSize(c, readBuffer)
	k.parser = bufio.NewReaderSize(&k.source, headBuffer)
	k.ctx, k.cancel = context.WithCancel(context.Background())
	if raw, ok := c.(syscall.Conn); ok {
		k.raw, _ = raw.SyscallConn() // without one, nothing can be peeked at
	}
	return k
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.forget(c)
	defer c.cancel()
	c.rest(c.server.idle())
	err := c.read()
	var refused *refusal
	if errors.As(err, &refused) {
		c.refuse(refused)
	}
	if c.end(err) {
		c.linger()
	}
	_ = c.Close() // the other side may have closed it first
	c.work.Wait()
}

// read takes requests one after the other. It returns nil where the connection
// ends behind the last one that was taken.
func (c *conn) read() error {
	for {
		if err := c.await(); err != nil {
			return err
		}
		if c.done() {
			return nil
		}
		r, err := c.next()
		if err != nil {
			return err
		}
		x := newExchange(c, r)
		if !c.take(x) {
			return nil
		}
		c.work.Add(1)
		go x.run()
		if x.body != nil {
			<-x.body.ended
		}
	}
}

// errIdle ends a connection that was idle for its time.
var errIdle = errors.New("ingress: idle")

// await waits for the first byte of the next request.
func (c *conn) await() error {
	for {
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if ended, err := c.expire(); ended {
			return err
		}
	}
}

// expire decides what follows from a read that ran out of time: the end of a
// connection that is over, or was idle for its time.
func (c *conn) expire() (ended bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over && len(c.queue) == 0:
		return true, nil
	case len(c.queue) > 0, c.raw != nil && !forward.Quiet(c.raw):
		// A busy processor may run the timer before the reader: a request that
		// waits is taken.
		c.deadline(time.Time{})
		return false, nil
	}
	c.over = true
	return true, errIdle
}

// next reads the head of a request, of which the first byte is there.
func (c *conn) next() (*http.Request, error) {
	c.mu.Lock()
	c.reading = true
	c.deadline(time.Now().Add(c.server.cfg.HeaderTimeout))
	c.mu.Unlock()
	var h framing
	var err error
	if c.head, err = h.read(c.br, c.head, c.server.cfg.HeaderBytes); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &refusal{http.StatusRequestTimeout, "head not read in time"}
		}
		return nil, err
	}
	r, err := h.parse(c.head, c.parser, &c.source)
	if err != nil {
		return nil, err
	}
	if cap(c.head) > readBuffer {
		c.head = nil // a large head's buffer is not kept
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return r.WithContext(c.ctx), nil
}

// deadline sets when a read fails. The caller holds mu.
func (c *conn) deadline(at time.Time) {
	if err := c.SetReadDeadline(at); err != nil && !errors.Is(err, net.ErrClosed) {
		c.server.cfg.Log.Debug("Deadline of a connection not set.", slog.Any("error", err))
	}
}

// rest starts the idle time of a connection without a request.
func (c *conn) rest(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.deadline(time.Now().Add(idle))
	}
}

// done reports whether no more requests are taken.
func (c *conn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over
}

// take enters a request in the line, once it may run beside those before it. It
// reports false where the connection ends behind one of these: the request was
// not passed on, and the client sends it again.
func (c *conn) take(x *exchange) bool {
	for {
		c.mu.Lock()
		n := len(c.queue)
		switch {
		case c.over:
			c.mu.Unlock()
			return false
		case n == 0, n < aheadMost && x.beside && c.queue[n-1].beside:
			c.queue = append(c.queue, x)
			c.reading, c.over = false, x.last
			c.deadline(time.Time{})
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		select {
		case <-c.changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

// flush writes the answers that are first in line and there.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return // who writes now looks again
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].answered {
		x := c.queue[0]
		// The connection ends behind the last request that was taken, never
		// before one that runs; in a planned stop no more are taken.
		c.over = c.over || c.server.ending()
		x.last = c.over && len(c.queue) == 1
		c.mu.Unlock()
		err := c.write(x)
		c.mu.Lock()
		c.queue[0] = nil
		c.queue = c.queue[1:]
		if err != nil {
			c.lost, c.over = true, true
			c.cancel() // nobody gets the other answers either
		}
		select {
		case c.changed <- struct{}{}:
		default: // a token is waiting already
		}
	}
	c.writing = false
	switch {
	case len(c.queue) > 0:
	case c.over:
		c.deadline(time.Unix(1, 0)) // the reader ends the connection
	case !c.reading:
		c.deadline(time.Now().Add(c.server.idle()))
	}
}

// write writes one answer.
func (c *conn) write(x *exchange) error {
	c.mu.Lock()
	lost := c.lost
	c.mu.Unlock()
	if lost {
		return net.ErrClosed
	}
	return c.send(x.encode(time.Now()))
}

// tell writes an interim answer; the request that it is for is first in line.
func (c *conn) tell(text string) error { return c.send([]byte(text)) }

func (c *conn) send(out []byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write(out)
	return err
}

// refuse answers a request that can't be read, in its turn.
func (c *conn) refuse(why *refusal) {
	x := &exchange{conn: c, status: why.status, header: make(http.Header), last: true, answered: true}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	x.content = []byte(why.text + "\n")
	c.server.cfg.Log.Info("Request not readable, connection ended.", slog.String("client", c.RemoteAddr().String()),
		slog.Int("status", why.status), slog.String("reason", why.text))
	c.mu.Lock()
	if c.over {
		c.mu.Unlock()
		return
	}
	c.reading, c.over = false, true
	c.queue = append(c.queue, x)
	c.mu.Unlock()
	c.flush()
}

// end waits until all that was taken is answered, and reports whether the client
// may still be reading. Where it has gone, what runs for it ends.
func (c *conn) end(err error) bool {
	var refused *refusal
	gone := err != nil && !errors.As(err, &refused) && !errors.Is(err, errIdle)
	c.mu.Lock()
	c.over, c.reading = true, false
	c.mu.Unlock()
	if gone {
		c.cancel()
		return false
	}
	c.work.Wait()
	c.flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lost && !errors.Is(err, errIdle)
}

// linger lets the client read the last answer before the connection is closed.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.deadline(time.Now().Add(lingerTime))
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Conn) // until the client closes, or time is up
}

// statusLine returns the first line of an answer.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
