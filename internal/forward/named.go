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
	// maxStale is how many late answers to earlier requests are skipped before
	// the connection is given up.
	maxStale = 2
	// longBody is the size in bytes from which a body is sent beside the
	// reading of the answer: a target may answer before it has read all of it,
	// and then stops reading.
	longBody = 32 << 10
)

var (
	errOther    = errors.New("forward: answer to another request")
	errEncoded  = errors.New("forward: answer with an encoding that was not asked for")
	errUnmarked = errors.New("forward: success without the target's mark")
)

// exchange writes the request and reads its answer.
func (c *conn) exchange(r *Request) Result {
	if len(r.Body) < longBody {
		if sent := c.write(r.Body); sent != nil {
			return sent
		}
		return c.readNamed(r)
	}
	w := &bodyWriter{conn: c, body: r.Body, done: make(chan Result, 1)}
	go w.run()
	result := c.readNamed(r)
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
	c.out = append(c.out, body...)
	n, err := c.Write(c.out)
	if cap(c.out) > readBuffer {
		c.out = nil // a large body's buffer is not kept per connection
	}
	switch {
	case err == nil:
		return nil
	case n == 0:
		return NotSent{Err: err}
	}
	return uncertain(outcome.SendCut, err)
}

// readNamed reads the answer to r, which carries its id; a refusal may come
// without one, but only on a connection that has had no other request: it could be
// a second copy of an earlier one. Late answers to earlier requests, which carry
// other ids, are skipped; the connection is not used again after one.
func (c *conn) readNamed(r *Request) Result {
	skipped := 0
	for {
		c.bound.N = maxAnswerHead
		resp, err := c.readHead(r.Method)
		if err != nil {
			return uncertain(outcome.AnswerCut, err)
		}
		ids := resp.Header[http.CanonicalHeaderKey(r.Names.Request)]
		if len(ids) == 1 && ids[0] == r.ID || len(ids) == 0 && c.idleAt.IsZero() && refused(resp, r.Names) {
			return c.finish(resp, r, skipped > 0)
		}
		if skipped++; len(ids) != 1 || skipped > maxStale || !framed(resp) {
			c.end(resp)
			return Uncertain{Reason: outcome.AnswerWrong, Err: errOther}
		}
		if _, failure := c.readBody(resp, r); failure != nil {
			c.end(resp)
			return failure
		}
		_ = resp.Body.Close()
	}
}

// refused reports whether a target says that it did not run the request.
func refused(resp *http.Response, names *target.Names) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(names.NotRun) != ""
}

// finish reads the body of the request's own answer.
func (c *conn) finish(resp *http.Response, r *Request, stale bool) Result {
	defer c.end(resp)
	if resp.ContentLength > r.MaxBody {
		return Uncertain{Reason: outcome.AnswerTooBig, Err: fmt.Errorf("forward: answer of %d bytes", resp.ContentLength)}
	}
	body, failure := c.readBody(resp, r)
	if failure != nil {
		return failure
	}
	c.broken = stale || resp.Close || !framed(resp) || c.br.Buffered() > 0
	if refused(resp, r.Names) {
		return Refused{Refusal: refusalOf(resp.StatusCode), Status: resp.StatusCode, Signal: signalOf(resp, r.Names)}
	}
	if resp.StatusCode < http.StatusMultipleChoices && r.Names.Stamp != "" && resp.Header.Get(r.Names.Stamp) == "" {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errUnmarked}
	}
	if resp.Header.Get("Content-Encoding") != "" {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errEncoded}
	}
	signal := signalOf(resp, r.Names)
	resp.Header.Del(r.Names.Leaving) // it is for this hop
	return Answered{outcome.Answer{Status: resp.StatusCode, Header: EndToEnd(resp.Header), Body: body}, signal}
}

// pauseMost bounds the pause that a target may ask for, in seconds: more is not
// meant as one.
const pauseMost = 24 * 60 * 60

// signalOf reads what the target asks of this host. A Retry-After that is no number
// of seconds asks for nothing.
func signalOf(resp *http.Response, names *target.Names) target.Signal {
	var s target.Signal
	s.Leaving = names.Leaving != "" && resp.Header.Get(names.Leaving) == "1"
	if resp.StatusCode != http.StatusServiceUnavailable {
		return s
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get("Retry-After")), 64)
	if err == nil && seconds > 0 {
		s.Pause = time.Duration(min(seconds, pauseMost) * float64(time.Second))
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
