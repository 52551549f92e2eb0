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
	// maxHeaderBytes bounds the status line and headers of an answer.
	maxHeaderBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxInterimResponses bounds the 1xx answers before the final one.
	maxInterimResponses = 4
)

// conn is one connection to a target; one request at a time uses it.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	br       *bufio.Reader
	limit    io.LimitedReader
	writeBuf []byte
	request  http.Request // what ReadResponse wants to know of the request
	broken   bool
	// idleSince is when its last request ended; zero for a new connection.
	idleSince time.Time
}

// idleFor returns how long the connection has been idle, zero for a new one.
func (c *conn) idleFor(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return max(now.Sub(c.idleSince), 1)
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c}
	k.limit.R = c
	k.br = bufio.NewReaderSize(&k.limit, readBufferBytes)
	if s, ok := c.(syscall.Conn); ok {
		k.raw, _ = s.SyscallConn()
	}
	return k
}

// reusable reports whether a kept connection is still open and silent. Bytes that
// wait on it are a late or doubled answer: the connection is not used again.
func (c *conn) reusable() bool {
	if c.broken || c.br.Buffered() > 0 {
		return false
	}
	return c.raw == nil || Idle(c.raw)
}

// ReadState is what a read of a connection would find now.
type ReadState uint8

// PendingNothing is an open connection without bytes to read, PendingBytes one
// with some, PendingEnd one that the other side has ended or that has failed.
const (
	ReadBlocks ReadState = iota
	ReadData
	ReadClosed
)

// Peek returns what a read of a connection would find. It does not wait, also
// where another goroutine is reading.
func Peek(raw syscall.RawConn) ReadState {
	found := ReadClosed
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			found = ReadBlocks
		case err == nil && n > 0:
			found = ReadData
		}
	})
	if err != nil {
		return ReadClosed
	}
	return found
}

// Idle reports whether a connection is open and no bytes wait on it.
func Idle(raw syscall.RawConn) bool { return Peek(raw) == ReadBlocks }

// roundTrip sends a request and reads its answer. After anything but a whole answer
// the connection is broken and must be closed.
func (c *conn) roundTrip(r *Request, host string, now time.Time) Result {
	c.broken = true
	c.writeBuf = appendHead(c.writeBuf[:0], r, host, r.Deadline.Sub(now))
	if r.HeaderNames != nil {
		return c.roundTripUnsharded(r)
	}
	c.writeBuf = append(c.writeBuf, r.Body...)
	n, err := c.Write(c.writeBuf)
	if cap(c.writeBuf) > readBufferBytes {
		c.writeBuf = nil // a large body's buffer is not kept per connection
	}
	if err != nil && n == 0 {
		return NotSent{Err: err}
	}
	if err != nil {
		return uncertain(outcome.SendCut, err)
	}
	return c.readSharded(r)
}

func (c *conn) readSharded(r *Request) Result {
	c.limit.N = maxHeaderBytes
	resp, err := c.readHead(r.Method)
	if err != nil {
		return uncertain(outcome.AnswerCut, err)
	}
	defer c.closeBody(resp)
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
	return Completed{Response: outcome.Response{Status: resp.StatusCode, Header: SanitizeHeader(resp.Header), Body: body}}
}

// closeBody closes the body of an answer. Closing reads what is left of it, so a
// broken connection is closed first: its target may send nothing more.
func (c *conn) closeBody(resp *http.Response) {
	if c.broken {
		_ = c.Close()
	}
	_ = resp.Body.Close()
}

// readHead reads the final answer's head. An upgrade was never asked for.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.request.Method = method
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.br, &c.request)
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
	// firstBodyRead is the memory in bytes that is reserved first for a body of unknown
	// length, bodyMost that at once for any: an answer that claims to be long may be
	// bytes without end.
	firstBodyRead = 4 << 10
	maxBodyRead   = 64 << 10
)

var (
	errBodyTooLarge = errors.New("forward: answer over the bound")
	errNoMemory     = errors.New("forward: no memory left for the answer")
)

// readBody reads a body, within the request's bound and the memory that is left.
func (c *conn) readBody(resp *http.Response, r *Request) ([]byte, Result) {
	c.limit.N = r.MaxBody + maxHeaderBytes // chunk heads and trailers included
	step := int64(firstBodyRead)
	if n := resp.ContentLength; n >= 0 {
		step = n + 1 // the last read finds the end
	}
	var body []byte
	for {
		step = min(step, maxBodyRead, r.MaxBody+1-int64(len(body)))
		if r.Reserve != nil && !r.Reserve(step) {
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
				return nil, Uncertain{Reason: outcome.AnswerTooBig, Err: errBodyTooLarge}
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
