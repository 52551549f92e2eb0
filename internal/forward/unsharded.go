package forward

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxStaleResponses is how many late answers to earlier requests are skipped before
	// the connection is given up.
	maxStaleResponses = 2
	// longBodyBytes is the size in bytes from which a body is sent beside the
	// reading of the answer: a target may answer before it has read all of it,
	// and then stops reading.
	longBodyBytes = 32 << 10
)

var (
	errOtherRequest    = errors.New("forward: answer to another request")
	errContentEncoding = errors.New("forward: answer with an encoding that was not asked for")
	errNoStamp         = errors.New("forward: success without the target's mark")
)

// roundTripUnsharded writes the request and reads its answer.
func (c *conn) roundTripUnsharded(r *Request) Result {
	if len(r.Body) < longBodyBytes {
		if sent := c.write(r.Body); sent != nil {
			return sent
		}
		return c.readUnsharded(r)
	}
	w := &bodyWriter{conn: c, body: r.Body, done: make(chan Result, 1)}
	go w.run()
	result := c.readUnsharded(r)
	select {
	case sent := <-w.done:
		if sent != nil {
			c.broken = true
		}
	default:
		c.broken = true // the rest of the body is not sent any more
	}
	return result
}

// bodyWriter sends one request while its answer is awaited.
type bodyWriter struct {
	conn *conn
	body []byte
	done chan Result
}

func (w *bodyWriter) run() { w.done <- w.conn.write(w.body) }

// write sends the head, which stands in c.out, and the body; it returns nil
// once all is sent.
func (c *conn) write(body []byte) Result {
	c.writeBuf = append(c.writeBuf, body...)
	n, err := c.Write(c.writeBuf)
	if cap(c.writeBuf) > readBufferBytes {
		c.writeBuf = nil // a large body's buffer is not kept per connection
	}
	switch {
	case err == nil:
		return nil
	case n == 0:
		return NotSent{Err: err}
	}
	return uncertain(outcome.SendCut, err)
}

// readUnsharded reads the answer to r, which carries its id; a refusal may come
// without one, but only on a connection that has had no other request: it could be
// a second copy of an earlier one. Late answers to earlier requests, which carry
// other ids, are skipped; the connection is not used again after one.
func (c *conn) readUnsharded(r *Request) Result {
	skipped := 0
	for {
		c.limit.N = maxHeaderBytes
		resp, err := c.readHead(r.Method)
		if err != nil {
			return uncertain(outcome.AnswerCut, err)
		}
		ids := resp.Header[http.CanonicalHeaderKey(r.HeaderNames.Request)]
		if len(ids) == 1 && ids[0] == r.ID || len(ids) == 0 && c.idleSince.IsZero() && refused(resp, r.HeaderNames) {
			return c.finishUnsharded(resp, r, skipped > 0)
		}
		if skipped++; len(ids) != 1 || skipped > maxStaleResponses || !framed(resp) {
			c.closeBody(resp)
			return Uncertain{Reason: outcome.AnswerWrong, Err: errOtherRequest}
		}
		if _, failure := c.readBody(resp, r); failure != nil {
			c.closeBody(resp)
			return failure
		}
		_ = resp.Body.Close()
	}
}

// refused reports whether a target says that it did not run the request.
func refused(resp *http.Response, names *target.HeaderNames) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(names.NotRun) != ""
}

// finishUnsharded reads the body of the request's own answer.
func (c *conn) finishUnsharded(resp *http.Response, r *Request, stale bool) Result {
	defer c.closeBody(resp)
	if resp.ContentLength > r.MaxBody {
		return Uncertain{Reason: outcome.AnswerTooBig, Err: fmt.Errorf("forward: answer of %d bytes", resp.ContentLength)}
	}
	body, failure := c.readBody(resp, r)
	if failure != nil {
		return failure
	}
	c.broken = stale || resp.Close || !framed(resp) || c.br.Buffered() > 0
	if refused(resp, r.HeaderNames) {
		return Refused{Refusal: refusalOf(resp.StatusCode), Status: resp.StatusCode, Signal: signalOf(resp, r.HeaderNames)}
	}
	if resp.StatusCode < http.StatusMultipleChoices && r.HeaderNames.Stamp != "" && resp.Header.Get(r.HeaderNames.Stamp) == "" {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errNoStamp}
	}
	if resp.Header.Get("Content-Encoding") != "" {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errContentEncoding}
	}
	signal := signalOf(resp, r.HeaderNames)
	resp.Header.Del(r.HeaderNames.Leaving) // it is for this hop
	return Completed{outcome.Response{Status: resp.StatusCode, Header: StripHopByHop(resp.Header), Body: body}, signal}
}

// maxPauseSeconds bounds the pause that a target may ask for, in seconds: more is not
// meant as one.
const maxPauseSeconds = 24 * 60 * 60

// signalOf reads what the target asks of this host. A Retry-After that is no number
// of seconds asks for nothing.
func signalOf(resp *http.Response, names *target.HeaderNames) target.Signal {
	var s target.Signal
	s.Leaving = names.Leaving != "" && resp.Header.Get(names.Leaving) == "1"
	if resp.StatusCode != http.StatusServiceUnavailable {
		return s
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get("Retry-After")), 64)
	if err == nil && seconds > 0 {
		s.Pause = time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
	}
	return s
}

// refusalOf returns what a refusal's status says.
func refusalOf(status int) target.Refusal {
	if status == http.StatusMisdirectedRequest {
		return target.RefusalOwner
	}
	return target.RefusalBusy
}
