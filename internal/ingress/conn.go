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
	// readBufferBytes is the size of a connection's read buffer, headBufferBytes that
	// of the reader that parses a head.
	readBufferBytes = 4 << 10
	headBufferBytes = 512
)

// conn is a connection of a client. One goroutine reads its requests, and each request
// runs in another one. The goroutine whose request completes the front of the queue
// writes the responses.
type conn struct {
	net.Conn
	server     *Server
	raw        syscall.RawConn
	br         *bufio.Reader
	head       []byte
	parser     *bufio.Reader
	headSource bytes.Reader
	// ctx ends when the client has disconnected.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu sync.Mutex
	// queue holds the accepted requests whose response was not written yet, oldest
	// first.
	queue []*exchange
	// reading is set while a request is read, waiting while one that was read waits for
	// those before it, inBody while a body is read, writing while a goroutine writes
	// responses, closing once no more requests are accepted, broken once a write failed.
	reading, waiting, inBody, writing, closing, broken bool
	// progress gets a token when a response was written.
	progress chan struct{}
}

func newConn(s *Server, c net.Conn) *conn {
	k := &conn{Conn: c, server: s, progress: make(chan struct{}, 1)}
	k.br = bufio.NewReaderSize(c, readBufferBytes)
	k.parser = bufio.NewReaderSize(&k.headSource, headBufferBytes)
	k.ctx, k.cancel = context.WithCancel(context.Background())
	if raw, ok := c.(syscall.Conn); ok {
		k.raw, _ = raw.SyscallConn() // if nil, handleTimeout can't peek
	}
	return k
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.server.removeConn(c)
	defer c.cancel()
	c.startIdle(c.server.idleTimeout())
	err := c.readRequests()
	var malformed *requestError
	if errors.As(err, &malformed) {
		c.reject(malformed)
	}
	if c.drain(err) {
		c.linger()
	}
	_ = c.Close() // the other side may have closed it first
	c.work.Wait()
}

// readRequests reads and starts requests one after the other. It returns nil if the
// connection closes after the last one.
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

// errIdle is returned when a connection exceeds its idle timeout.
var errIdle = errors.New("ingress: idle timeout")

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

// handleTimeout handles a read timeout. It reports whether the connection ends, with
// errIdle if it exceeded its idle timeout.
func (c *conn) handleTimeout() (ended bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing && len(c.queue) == 0:
		return true, nil
	case len(c.queue) > 0, c.raw != nil && !forward.Idle(c.raw):
		// On a busy CPU the timer may run before the reader, although a request has
		// already arrived.
		c.setReadDeadline(time.Time{})
		return false, nil
	}
	c.closing = true
	return true, errIdle
}

// readHead reads the head of a request whose first byte has arrived.
func (c *conn) readHead() (*http.Request, error) {
	c.mu.Lock()
	c.reading = true
	c.setReadDeadline(time.Now().Add(c.server.cfg.HeaderTimeout))
	c.mu.Unlock()
	var f framing
	var err error
	if c.head, err = f.read(c.br, c.head, c.server.cfg.MaxHeaderBytes); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &requestError{http.StatusRequestTimeout, "head not read in time"}
		}
		return nil, err
	}
	r, err := f.parse(c.head, c.parser, &c.headSource)
	if err != nil {
		return nil, err
	}
	if cap(c.head) > readBufferBytes {
		c.head = nil // don't keep a large head's buffer
	}
	r.RemoteAddr = c.RemoteAddr().String()
	return r.WithContext(c.ctx), nil
}

// setReadDeadline sets the read deadline. The caller holds mu.
func (c *conn) setReadDeadline(at time.Time) {
	if err := c.SetReadDeadline(at); err != nil && !errors.Is(err, net.ErrClosed) {
		c.server.cfg.Log.Debug("Read deadline of a connection not set.", slog.Any("error", err))
	}
}

// startIdle starts the idle timeout if the connection has no request.
func (c *conn) startIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.setReadDeadline(time.Now().Add(timeout))
	}
}

// isClosing reports whether no more requests are accepted.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// awaitBody sets the time until which the next bytes of a body are awaited.
func (c *conn) awaitBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = true
	c.setReadDeadline(c.server.bodyDeadline(time.Now()))
}

// endBody records that no body is read any more.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = false
	c.setReadDeadline(time.Time{})
}

// limitBody bounds the reading of a body when the server begins to drain.
func (c *conn) limitBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		c.setReadDeadline(c.server.bodyDeadline(time.Now()))
	}
}

// abort closes the connection if a request has no response yet, and reports whether it did.
func (c *conn) abort() bool {
	c.mu.Lock()
	pending := len(c.queue) > 0 && !c.queue[0].answered
	c.mu.Unlock()
	if pending {
		c.cancel()
		_ = c.Close() // the other side may have closed it first
	}
	return pending
}

// enqueue appends a request to the queue as soon as it may run concurrently with those
// before it. It returns false if the connection closes after one of those: the request
// does not run, and the client sends it again.
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
			// A request that waited while the server began to drain is the last one.
			c.reading, c.closing = false, x.closeAfter || c.waiting && c.server.draining()
			c.waiting = false
			c.setReadDeadline(time.Time{})
			c.mu.Unlock()
			return true
		}
		c.waiting = true
		c.mu.Unlock()
		select {
		case <-c.progress:
		case <-c.ctx.Done():
			return false
		}
	}
}

// flush writes the available responses from the front of the queue.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return // the writing goroutine checks the queue again
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].answered {
		x := c.queue[0]
		// While the server drains, no more requests are accepted. The connection
		// closes after the last accepted one, never before one that runs or was read.
		c.closing = c.closing || c.server.draining() && !c.waiting
		x.closeAfter = c.closing && len(c.queue) == 1
		c.mu.Unlock()
		err := c.write(x)
		if x.onSent != nil {
			x.onSent()
		}
		c.mu.Lock()
		c.queue[0] = nil
		c.queue = c.queue[1:]
		if err != nil {
			c.broken, c.closing = true, true
			c.cancel() // the other responses can't be written either
		}
		select {
		case c.progress <- struct{}{}:
		default: // there is a token already
		}
	}
	c.writing = false
	switch {
	case len(c.queue) > 0:
	case c.closing:
		c.setReadDeadline(time.Unix(1, 0)) // wakes the reader, which closes the connection
	case !c.reading:
		c.setReadDeadline(time.Now().Add(c.server.idleTimeout()))
	}
}

// write writes one response.
func (c *conn) write(x *exchange) error {
	c.mu.Lock()
	failed := c.broken
	c.mu.Unlock()
	if failed {
		return net.ErrClosed
	}
	return c.send(x.encode(time.Now()))
}

// writeInterim writes an interim response. Its request must be at the front of the
// queue.
func (c *conn) writeInterim(text string) error { return c.send(net.Buffers{[]byte(text)}) }

func (c *conn) send(out net.Buffers) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(out) == 1 {
		_, err := c.Write(out[0])
		return err
	}
	_, err := out.WriteTo(c.Conn)
	return err
}

// reject queues the response to a request that can't be read.
func (c *conn) reject(cause *requestError) {
	x := &exchange{conn: c, status: cause.status, header: make(http.Header), closeAfter: true, answered: true}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	x.response = []byte(cause.text + "\n")
	c.server.cfg.Log.Info("Request head rejected, connection closed.", slog.String("client", c.RemoteAddr().String()),
		slog.Int("status", cause.status), slog.String("reason", cause.text))
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

// drain waits until all accepted requests have their response, and reports whether the
// client may still be reading. If the connection has failed, drain does not wait. If the
// client has ended its sending side, it has most likely closed the connection: drain cancels
// its requests, but those that can't be canceled run on, and their responses are written.
func (c *conn) drain(err error) bool {
	var malformed *requestError
	ended := errors.Is(err, io.EOF)
	failed := err != nil && !ended && !errors.As(err, &malformed) && !errors.Is(err, errIdle)
	c.mu.Lock()
	c.closing, c.reading = true, false
	c.mu.Unlock()
	if ended || failed {
		c.cancel()
	}
	if failed {
		return false
	}
	c.work.Wait()
	c.flush()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && !errors.Is(err, errIdle)
}

// linger ends the sending side and reads on until the client has closed the connection or
// sends nothing more. An immediate close could destroy the last response.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	for end := time.Now().Add(maxLinger); ; {
		until := time.Now().Add(lingerTimeout)
		if until.After(end) {
			until = end
		}
		c.mu.Lock()
		c.setReadDeadline(until)
		c.mu.Unlock()
		if _, err := c.br.Discard(max(c.br.Buffered(), 1)); err != nil {
			return
		}
	}
}

// statusLine returns the status line of a response.
func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
}
