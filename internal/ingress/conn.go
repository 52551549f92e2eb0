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
	// readBufferBytes is the size of a connection's read buffer, headBuffer that of
	// the reader that parses a head.
	readBufferBytes = 4 << 10
	headBufferBytes = 512
)

// conn is one connection of a client. Its own goroutine reads requests, each
// request has one that runs it; whoever ends the first in line writes answers.
type conn struct {
	net.Conn
	server     *Server
	raw        syscall.RawConn
	br         *bufio.Reader
	head       []byte
	parser     *bufio.Reader
	headSource bytes.Reader
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
	reading, writing, closing, broken bool
	// progress gets a token when an answer was written.
	progress chan struct{}
}

func newConn(s *Server, c net.Conn) *conn {
	k := &conn{Conn: c, server: s, progress: make(chan struct{}, 1)}
	k.br = bufio.NewReaderSize(c, readBufferBytes)
	k.parser = bufio.NewReaderSize(&k.headSource, headBufferBytes)
	k.ctx, k.cancel = context.WithCancel(context.Background())
	if raw, ok := c.(syscall.Conn); ok {
		k.raw, _ = raw.SyscallConn() // without one, nothing can be peeked at
	}
	return k
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.removeConn(c)
	defer c.cancel()
	c.startIdle(c.server.idleTimeout())
	err := c.readRequests()
	var refused *requestError
	if errors.As(err, &refused) {
		c.reject(refused)
	}
	if c.drain(err) {
		c.linger()
	}
	_ = c.Close() // the other side may have closed it first
	c.work.Wait()
}

// readRequests takes requests one after the other. It returns nil where the connection
// ends behind the last one that was taken.
func (c *conn) readRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		if c.isClosing() {
			return nil
		}
		r, err := c.readHead()
		if err != nil {
			return err
		}
		x := newExchange(c, r)
		if !c.enqueue(x) {
			return nil
		}
		c.work.Add(1)
		go x.run()
		if x.body != nil {
			<-x.body.done
		}
	}
}

// errIdle ends a connection that was idle for its time.
var errIdle = errors.New("ingress: idle")

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	for {
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if ended, err := c.handleTimeout(); ended {
			return err
		}
	}
}

// handleTimeout decides what follows from a read that ran out of time: the end of a
// connection that is over, or was idle for its time.
func (c *conn) handleTimeout() (ended bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing && len(c.queue) == 0:
		return true, nil
	case len(c.queue) > 0, c.raw != nil && !forward.Idle(c.raw):
		// A busy processor may run the timer before the reader: a request that
		// waits is taken.
		c.setReadDeadline(time.Time{})
		return false, nil
	}
	c.closing = true
	return true, errIdle
}

// readHead reads the head of a request, of which the first byte is there.
func (c *conn) readHead() (*http.Request, error) {
	c.mu.Lock()
	c.reading = true
	c.setReadDeadline(time.Now().Add(c.server.cfg.HeaderTimeout))
	c.mu.Unlock()
	var h framing
	var err error
	if c.head, err = h.read(c.br, c.head, c.server.cfg.MaxHeaderBytes); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &requestError{http.StatusRequestTimeout, "head not read in time"}
		}
		return nil, err
	}
	r, err := h.parse(c.head, c.parser, &c.headSource)
	if err != nil {
		return nil, err
	}
	if cap(c.head) > readBufferBytes {
		c.head = nil // a large head's buffer is not kept
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return r.WithContext(c.ctx), nil
}

// setReadDeadline sets when a read fails. The caller holds mu.
func (c *conn) setReadDeadline(at time.Time) {
	if err := c.SetReadDeadline(at); err != nil && !errors.Is(err, net.ErrClosed) {
		c.server.cfg.Log.Debug("Deadline of a connection not set.", slog.Any("error", err))
	}
}

// startIdle starts the idle time of a connection without a request.
func (c *conn) startIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.setReadDeadline(time.Now().Add(idle))
	}
}

// isClosing reports whether no more requests are taken.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// enqueue enters a request in the line, once it may run beside those before it. It
// reports false where the connection ends behind one of these: the request was
// not passed on, and the client sends it again.
func (c *conn) enqueue(x *exchange) bool {
	for {
		c.mu.Lock()
		n := len(c.queue)
		switch {
		case c.closing:
			c.mu.Unlock()
			return false
		case n == 0, n < maxPipelined && x.concurrent && c.queue[n-1].concurrent:
			c.queue = append(c.queue, x)
			c.reading, c.closing = false, x.closeAfter
			c.setReadDeadline(time.Time{})
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		select {
		case <-c.progress:
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
		c.closing = c.closing || c.server.draining()
		x.closeAfter = c.closing && len(c.queue) == 1
		c.mu.Unlock()
		err := c.write(x)
		c.mu.Lock()
		c.queue[0] = nil
		c.queue = c.queue[1:]
		if err != nil {
			c.broken, c.closing = true, true
			c.cancel() // nobody gets the other answers either
		}
		select {
		case c.progress <- struct{}{}:
		default: // a token is waiting already
		}
	}
	c.writing = false
	switch {
	case len(c.queue) > 0:
	case c.closing:
		c.setReadDeadline(time.Unix(1, 0)) // the reader ends the connection
	case !c.reading:
		c.setReadDeadline(time.Now().Add(c.server.idleTimeout()))
	}
}

// write writes one answer.
func (c *conn) write(x *exchange) error {
	c.mu.Lock()
	lost := c.broken
	c.mu.Unlock()
	if lost {
		return net.ErrClosed
	}
	return c.send(x.encode(time.Now()))
}

// writeInterim writes an interim answer; the request that it is for is first in line.
func (c *conn) writeInterim(text string) error { return c.send([]byte(text)) }

func (c *conn) send(out []byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write(out)
	return err
}

// reject answers a request that can't be read, in its turn.
func (c *conn) reject(why *requestError) {
	x := &exchange{conn: c, status: why.status, header: make(http.Header), closeAfter: true, answered: true}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	x.response = []byte(why.text + "\n")
	c.server.cfg.Log.Info("Request not readable, connection ended.", slog.String("client", c.RemoteAddr().String()),
		slog.Int("status", why.status), slog.String("reason", why.text))
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.reading, c.closing = false, true
	c.queue = append(c.queue, x)
	c.mu.Unlock()
	c.flush()
}

// drain waits until all that was taken is answered, and reports whether the client
// may still be reading. Where it has gone, what runs for it ends.
func (c *conn) drain(err error) bool {
	var refused *requestError
	gone := err != nil && !errors.As(err, &refused) && !errors.Is(err, errIdle)
	c.mu.Lock()
	c.closing, c.reading = true, false
	c.mu.Unlock()
	if gone {
		c.cancel()
		return false
	}
	c.work.Wait()
	c.flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && !errors.Is(err, errIdle)
}

// linger lets the client read the last answer before the connection is closed.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.setReadDeadline(time.Now().Add(lingerTimeout))
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Conn) // until the client closes, or time is up
}

// statusLine returns the first line of an answer.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
