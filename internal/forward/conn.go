package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/body"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxHeaderBytes bounds the status line and headers of a response.
	maxHeaderBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxInterimResponses bounds the responses that are read until the final one, that
	// one included.
	maxInterimResponses = 4
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	br       *bufio.Reader
	limit    io.LimitedReader
	writeBuf []byte
	request  http.Request // for http.ReadResponse: the method of the current request
	broken   bool
	// upload writes the request that is being sent while its response is read, nil if none is.
	upload *bodyWriter
	// idleSince is when the last request ended; zero for a new connection.
	idleSince time.Time
	// idleTimeout is the time after which the target closes the idle connection, as the
	// last response states it; zero if it states none.
	idleTimeout time.Duration
	// refused are the IDs of the requests that were refused on this connection.
	refused []string
	// carried counts the requests that ended on this connection.
	carried int
}

// maxRefusals is how many refusals a connection carries before it is closed.
const maxRefusals = 64

// mayCarry reports whether a request may be sent on this connection. One that was refused on
// it may not: a target that writes the refusal again would seem to refuse it once more.
func (c *conn) mayCarry(id string) bool { return !slices.Contains(c.refused, id) }

// noteRefusal records that a request was refused.
func (c *conn) noteRefusal(id string) {
	c.refused = append(c.refused, id)
	c.broken = c.broken || len(c.refused) >= maxRefusals
}

// idleMargin is how long before the end of its idle timeout a connection is no longer
// used: a request that crosses the close may be lost.
const idleMargin = 100 * time.Millisecond

// expired reports whether the target may have closed the idle connection by now.
func (c *conn) expired(now time.Time) bool {
	return c.idleTimeout > 0 && c.idleFor(now) > c.idleTimeout-idleMargin
}

// idleTimeoutOf returns the timeout that a Keep-Alive header states, in whole seconds,
// zero if there is none.
func idleTimeoutOf(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.ToLower(strings.TrimSpace(part)), "timeout=")
		if seconds, err := strconv.ParseUint(value, 10, 16); ok && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// idleFor returns how long the connection has been idle, or zero for a new one.
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
	if sc, ok := c.(syscall.Conn); ok {
		k.raw, _ = sc.SyscallConn()
	}
	return k
}

// reusable reports whether an idle connection is still open, with no bytes to read.
// Such bytes are a late or duplicate response, after which a connection must not be
// used again.
func (c *conn) reusable() bool {
	if c.broken || c.br.Buffered() > 0 {
		return false
	}
	return c.raw == nil || Idle(c.raw)
}

// ReadState is the result that a read of a connection would have now.
type ReadState uint8

// ReadBlocks stands for an open connection without bytes to read, ReadData for one with
// bytes to read, ReadClosed for one that the peer has closed or that has failed.
const (
	ReadBlocks ReadState = iota
	ReadData
	ReadClosed
)

// Peek returns the ReadState of a connection. It does not block, even while another
// goroutine reads from the connection.
func Peek(raw syscall.RawConn) ReadState {
	state := ReadClosed
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = ReadBlocks
		case err == nil && n > 0:
			state = ReadData
		}
	})
	if err != nil {
		return ReadClosed
	}
	return state
}

// Idle reports whether a connection is open and has no bytes to read.
func Idle(raw syscall.RawConn) bool { return Peek(raw) == ReadBlocks }

// roundTrip sends a request and reads its response. Unless the response is complete,
// the connection is broken afterwards and must be closed.
func (c *conn) roundTrip(r *Request, host string, now time.Time) Result {
	c.broken = true
	c.writeBuf = appendHead(c.writeBuf[:0], r, host, r.Deadline.Sub(now))
	if r.HeaderNames != nil {
		return c.roundTripUnsharded(r)
	}
	n, err := c.writeRequest(r.Body)
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
		return headFailure(err)
	}
	defer c.closeBody(resp)
	if ids := resp.Header[target.HeaderRequest]; len(ids) != 1 || ids[0] != r.ID {
		return Uncertain{Reason: outcome.AnswerWrong, Err: errors.New("forward: response to another request")}
	}
	if !framed(resp) {
		return Uncertain{Reason: outcome.AnswerBad, Err: errors.New("forward: response without framing")}
	}
	if resp.ContentLength > r.MaxBody {
		return Uncertain{Reason: outcome.AnswerTooBig, Err: fmt.Errorf("forward: response body of %d bytes is too large", resp.ContentLength)}
	}
	body, failure := c.readBody(resp, r)
	if failure != nil {
		return failure
	}
	c.broken = resp.Close || c.br.Buffered() > 0
	if refusal := resp.Header[target.HeaderNotRun]; len(refusal) == 1 {
		return Refused{Refusal: target.Refusal(refusal[0]), Status: resp.StatusCode, Named: true, Carried: c.carried}
	}
	return Completed{Response: outcome.Response{Status: resp.StatusCode, Header: SanitizeHeader(resp.Header), Body: body}}
}

// closeBody closes the body of a response. It closes a broken connection first: closing
// the body reads the rest of it, which the target may never send.
func (c *conn) closeBody(resp *http.Response) {
	if c.broken {
		_ = c.Close()
	}
	_ = resp.Body.Close()
}

// errInvalidStatus is returned for a response whose status is outside 100 to 599.
var errInvalidStatus = errors.New("forward: response with an invalid status")

// readHead reads the head of the final response. It rejects upgrades, since no request
// asks for one, and invalid statuses, which http.ReadResponse accepts from 000 to 999: one
// below 100 would be taken for an interim response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.request.Method = method
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.br, &c.request)
		if err != nil {
			return nil, err
		}
		if !outcome.ValidStatus(resp.StatusCode) {
			c.closeBody(resp)
			return nil, errInvalidStatus
		}
		if resp.StatusCode >= http.StatusOK {
			c.idleTimeout = idleTimeoutOf(resp.Header)
			return resp, nil
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("forward: target switched protocols")
		}
	}
	return nil, errors.New("forward: too many interim responses")
}

// headFailure returns the Uncertain for an error of readHead.
func headFailure(err error) Uncertain {
	if errors.Is(err, errInvalidStatus) {
		return Uncertain{Reason: outcome.AnswerBad, Err: err}
	}
	return uncertain(outcome.AnswerCut, err)
}

// framed reports whether the body has a length or is chunked, so that a truncated body
// can be detected. A body that ends with the connection can't be checked.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readBody reads a body of at most r.MaxBody bytes.
func (c *conn) readBody(resp *http.Response, r *Request) ([]byte, Result) {
	c.limit.N = r.MaxBody + maxHeaderBytes // with chunk headers and trailers
	out, err := body.Read(resp.Body, resp.ContentLength, r.MaxBody, r.Reserve)
	switch {
	case err == nil:
		return out, nil
	case errors.Is(err, body.ErrTooLarge), errors.Is(err, body.ErrNoMemory):
		return nil, Uncertain{Reason: outcome.AnswerTooBig, Err: err}
	}
	return nil, uncertain(outcome.AnswerCut, err)
}

// uncertain returns an Uncertain with the reason, or with AnswerLate if err is a
// timeout.
func uncertain(reason outcome.Reason, err error) Uncertain {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		reason = outcome.AnswerLate
	}
	return Uncertain{Reason: reason, Err: err}
}
