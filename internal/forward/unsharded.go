package forward

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxStaleResponses is how many late responses to earlier requests are skipped
	// before the connection is closed.
	maxStaleResponses = 2
	// longBodyBytes is the size from which a body is sent while the response is read:
	// a target may respond before it has read the whole body, and then stop reading.
	longBodyBytes = 32 << 10
)

var (
	errOtherRequest    = errors.New("forward: response to another request")
	errContentEncoding = errors.New("forward: response has a content encoding that was not requested")
	errNoStamp         = errors.New("forward: successful response without the target's stamp")
	errReset           = errors.New("forward: connection was reset before the end of a response without a length")
	errMarkedSuccess   = errors.New("forward: successful response that states that the request did not run")
)

// roundTripUnsharded sends a request without a shard and reads its response.
func (c *conn) roundTripUnsharded(r *Request) Result {
	if len(r.Body) < longBodyBytes {
		if failure := c.write(r.Body); failure != nil {
			return failure
		}
		return c.readUnsharded(r)
	}
	w := &bodyWriter{conn: c, body: r.Body, done: make(chan struct{})}
	go w.run()
	c.upload = w
	result := c.readUnsharded(r)
	c.upload = nil
	select {
	case <-w.done:
		if w.err != nil {
			c.broken = true
		}
	default:
		c.broken = true // the rest of the body will not be sent
	}
	return result
}

// bodyWriter sends a request while its response is read.
type bodyWriter struct {
	conn *conn
	body []byte
	// err is the error of the write. It is set before done is closed.
	err  error
	done chan struct{}
}

func (w *bodyWriter) run() {
	defer close(w.done)
	_, w.err = w.conn.writeRequest(w.body)
}

// stop ends the write and returns its error, nil if it has not failed by itself.
func (w *bodyWriter) stop() error {
	if err := w.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-w.done
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}

// checkEnd returns an error unless the target has ended the connection properly, after a read
// has returned its end. A reset is reported to one user of a connection only: if the writer of
// the body gets it, the reader of the response meets an end instead. So the write must not have
// failed.
func (c *conn) checkEnd() error {
	if c.upload == nil {
		return nil // the reader would have got the reset
	}
	if err := c.upload.stop(); err != nil {
		return fmt.Errorf("%w: %w", errReset, err)
	}
	return nil
}

// write sends the head, which is in c.writeBuf, and the body. It returns nil if all was
// sent, else the failure.
func (c *conn) write(body []byte) Result {
	n, err := c.writeRequest(body)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return NotSent{Err: err}
	}
	return uncertain(outcome.SendCut, err)
}

// writeRequest sends the head, which is in c.writeBuf, and the body.
func (c *conn) writeRequest(body []byte) (int, error) {
	c.writeBuf = append(c.writeBuf, body...)
	n, err := c.Write(c.writeBuf)
	if cap(c.writeBuf) > readBufferBytes {
		c.writeBuf = nil // don't keep a large body's buffer
	}
	return n, err
}

// readUnsharded reads the response to r, which carries its id. A refusal without an id
// is accepted only if the request may run twice, as the target may have written it before it
// read the request, and only on a connection without earlier requests; otherwise it could be
// a duplicate of an earlier refusal. Late responses to earlier requests, which carry other
// ids, are skipped, and the connection is not used again after one.
func (c *conn) readUnsharded(r *Request) Result {
	skipped := 0
	for {
		c.limit.N = maxHeaderBytes
		resp, err := c.readHead(r.Method)
		if err != nil {
			return headFailure(err)
		}
		ids := resp.Header[http.CanonicalHeaderKey(r.HeaderNames.Request)]
		named := len(ids) == 1 && ids[0] == r.ID
		if named || len(ids) == 0 && !r.AtMostOnce && c.idleSince.IsZero() && refused(resp, r.HeaderNames) {
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

// refused reports whether a response guarantees that the request did not run.
func refused(resp *http.Response, names *target.HeaderNames) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(names.NotRun) != ""
}

// finishUnsharded reads the body of the response to r and returns the result. stale is
// set if other responses were skipped before.
func (c *conn) finishUnsharded(resp *http.Response, r *Request, stale bool) Result {
	defer c.closeBody(resp)
	if resp.ContentLength > r.MaxBody {
		return Uncertain{Reason: outcome.AnswerTooBig, Err: fmt.Errorf("forward: response body of %d bytes is too large", resp.ContentLength)}
	}
	headAt := time.Now()
	body, failure := c.readBody(resp, r)
	if failure != nil {
		return failure
	}
	if !framed(resp) {
		if err := c.checkEnd(); err != nil {
			return Uncertain{Reason: outcome.AnswerCut, Err: err}
		}
	}
	c.broken = stale || resp.Close || !framed(resp) || c.br.Buffered() > 0
	if resp.StatusCode < http.StatusBadRequest && refused(resp, r.HeaderNames) {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errMarkedSuccess}
	}
	if refused(resp, r.HeaderNames) {
		return Refused{
			Refusal: refusalOf(resp.StatusCode), Status: resp.StatusCode, Signal: target.SignalOf(resp, r.HeaderNames, r.Expect),
			Named: resp.Header.Get(r.HeaderNames.Request) != "", Carried: c.carried,
		}
	}
	if resp.StatusCode < http.StatusMultipleChoices && r.HeaderNames.Stamp != "" && resp.Header.Get(r.HeaderNames.Stamp) == "" {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errNoStamp}
	}
	if resp.Header.Get("Content-Encoding") != "" {
		c.broken = true
		return Uncertain{Reason: outcome.AnswerBad, Err: errContentEncoding}
	}
	signal := target.SignalOf(resp, r.HeaderNames, r.Expect)
	if signal.Load != nil {
		signal.Load.Age = time.Since(headAt)
	}
	for _, name := range []string{r.HeaderNames.Leaving, r.HeaderNames.Limit, r.HeaderNames.Load} {
		resp.Header.Del(name) // meant for hosts only
	}
	return Completed{outcome.Response{Status: resp.StatusCode, Header: StripHopByHop(resp.Header), Body: body}, signal}
}

// refusalOf returns the Refusal for the status of a refusal.
func refusalOf(status int) target.Refusal {
	if status == http.StatusMisdirectedRequest {
		return target.RefusalOwner
	}
	return target.RefusalBusy
}
