package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxAnswerHead bounds the status line and headers of an answer.
	maxAnswerHead = 64 << 10
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 4
)

// conn is one connection to a target; one request at a time uses it.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	br     *bufio.Reader
	bound  io.LimitedReader
	out    []byte
	sent   http.Request // what ReadResponse wants to know of the request
	broken bool
	// idleAt is when its last request ended; zero for a new connection.
	idleAt time.Time
}

// idleFor returns how long the connection has been idle, zero for a new one.
func (c *conn) idleFor(now time.Time) time.Duration {
	if c.idleAt.IsZero() {
		return 0
	}
	return max(now.Sub(c.idleAt), 1)
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c}
	k.bound.R = c
	k.br = bufio.NewReaderSize(&k.bound, readBuffer)
	if s, ok := c.(syscall.Conn); ok {
		k.raw, _ = s.SyscallConn()
	}
	return k
}

// quiet reports whether a kept connection is still open and silent. Bytes that
// wait on it are a late or doubled answer: the connection is not used again.
func (c *conn) quiet() bool {
	if c.broken || c.br.Buffered() > 0 {
		return false
	}
	return c.raw == nil || Quiet(c.raw)
}

// Pending is what a read of a connection would find now.
type Pending uint8

// PendingNothing is an open connection without bytes to read, PendingBytes one
// with some, PendingEnd one that the other side has ended or that has failed.
const (
	PendingNothing Pending = iota
	PendingBytes
	PendingEnd
)

// Look returns what a read of a connection would find. It does not wait, also
// where another goroutine is reading.
func Look(raw syscall.RawConn) Pending {
	found := PendingEnd
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			found = PendingNothing
		case err == nil && n > 0:
			found = PendingBytes
		}
	})
	if err != nil {
		return PendingEnd
	}
	return found
}

// Quiet reports whether a connection is open and no bytes wait on it.
func Quiet(raw syscall.RawConn) bool { return Look(raw) == PendingNothing }

// do sends a request and reads its answer. After anything but a whole answer
// the connection is broken and must be closed.
func (c *conn) do(r *Request, host string, now time.Time) Result {
	c.broken = true
	c.out = appendHead(c.out[:0], r, host, r.Deadline.Sub(now))
	if r.Names != nil {
		return c.exchange(r)
	}
	c.out = append(c.out, r.Body...)
	n, err := c.Write(c.out)
	if cap(c.out) > readBuffer {
		c.out = nil // a large body's buffer is not kept per connection
	}
	if err != nil && n == 0 {
		return NotSent{Err: err}
	}
	if err != nil {
		return uncertain(outcome.SendCut, err)
	}
	return c.read(r)
}

func (c *conn) read(r *Request) Result {
	c.bound.N = maxAnswerHead
	resp, err := c.readHead(r.Method)
	if err != nil {
		return uncertain(outcome.AnswerCut, err)
	}
	defer c.end(resp)
	if ids := resp.Header[target.HeaderRequest]; len(ids) != 1 || ids[0] != r.ID {
		return Uncertain{Reason: outcome.AnswerWrong, Err: errors.New("forward: answer to another request")}
	}
	if !framed(resp) {
		return Uncertain{Reason: outcome.AnswerBad, Err: errors.New("forward: answer without a length")}
	}
	if resp.ContentLength > r.MaxBody {
		return Uncertain{Reason: outcome.AnswerTooBig, Err: fmt.Errorf("forward: answer of %d bytes", resp.ContentLength)}
	}
	body, failure := c.readBody(resp, r)
	if failure != nil {
		return failure
	}
	c.broken = resp.Close || c.br.Buffered() > 0
	if refusal := resp.Header[target.HeaderNotRun]; len(refusal) == 1 {
		return Refused{Refusal: target.Refusal(refusal[0]), Status: resp.StatusCode}
	}
	return Answered{Answer: outcome.Answer{Status: resp.StatusCode, Header: Forwardable(resp.Header), Body: body}}
}

// end closes the body of an answer. Closing reads what is left of it, so a
// broken connection is closed first: its target may send nothing more.
func (c *conn) end(resp *http.Response) {
	if c.broken {
		_ = c.Close()
	}
	_ = resp.Body.Close()
}

// readHead reads the final answer's head. An upgrade was never asked for.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.sent.Method = method
	for range maxInterim {
		resp, err := http.ReadResponse(c.br, &c.sent)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("forward: target switches protocols")
		}
	}
	return nil, errors.New("forward: too many interim answers")
}

// framed reports whether the end of the body shows a cut answer: a length, or
// chunks. A body that ends with the connection does not.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

const (
	// bodyFirst is the memory in bytes that is reserved first for a body of unknown
	// length, bodyMost that at once for any: an answer that claims to be long may be
	// bytes without end.
	bodyFirst = 4 << 10
	bodyMost  = 64 << 10
)

var (
	errOverBound = errors.New("forward: answer over the bound")
	errNoMemory  = errors.New("forward: no memory left for the answer")
)

// readBody reads a body, within the request's bound and the memory that is left.
func (c *conn) readBody(resp *http.Response, r *Request) ([]byte, Result) {
	c.bound.N = r.MaxBody + maxAnswerHead // chunk heads and trailers included
	step := int64(bodyFirst)
	if n := resp.ContentLength; n >= 0 {
		step = n + 1 // the last read finds the end
	}
	var body []byte
	for {
		step = min(step, bodyMost, r.MaxBody+1-int64(len(body)))
		if r.Take != nil && !r.Take(step) {
			return nil, Uncertain{Reason: outcome.AnswerTooBig, Err: errNoMemory}
		}
		body = slices.Grow(body, int(step))
		for end := len(body) + int(step); len(body) < end; {
			n, err := resp.Body.Read(body[len(body):end])
			body = body[:len(body)+n]
			switch {
			case errors.Is(err, io.EOF):
				return body, nil
			case err != nil:
				return nil, uncertain(outcome.AnswerCut, err)
			case int64(len(body)) > r.MaxBody:
				return nil, Uncertain{Reason: outcome.AnswerTooBig, Err: errOverBound}
			}
		}
		step = int64(len(body))
	}
}

// uncertain tells a deadline from a broken connection.
func uncertain(reason outcome.Reason, err error) Uncertain {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		reason = outcome.AnswerLate
	}
	return Uncertain{Reason: reason, Err: err}
}
