package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

// repeater is a target that refuses the first request, serves all others, and writes the
// refusal once more.
type repeater struct {
	// moment is when it writes the refusal again.
	moment   string
	requests atomic.Int32
}

// The moments of the second refusal.
const (
	repeatAtOnce    = "at once"
	repeatAtHead    = "after the first byte of the next request"
	repeatAtRequest = "after the next request"
	repeatLater     = "after the next request but one"
)

func (r *repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	refusal, onConn := "", 0
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		if refusal != "" && r.moment == repeatAtHead && onConn == 1 {
			_, _ = io.WriteString(c, refusal)
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		onConn++
		id := req.Header.Get(target.HeaderRequest)
		if r.requests.Add(1) == 1 {
			refusal = fmt.Sprintf("HTTP/1.1 503 Full\r\nCitrontray-Request: %s\r\nCitrontray-Not-Run: busy\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(c, refusal)
			if r.moment == repeatAtOnce {
				_, _ = io.WriteString(c, refusal)
			}
			continue
		}
		if refusal != "" && (r.moment == repeatAtRequest && onConn == 2 || r.moment == repeatLater && onConn == 3) {
			_, _ = io.WriteString(c, refusal)
			time.Sleep(20 * time.Millisecond) // the request runs
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCitrontray-Request: %s\r\nCitrontray-Stamp: s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

// TestRepeatedRefusal: a refusal that a target writes twice does not count for a later
// request, nor for the same one when it is sent again.
func TestRepeatedRefusal(t *testing.T) {
	for _, moment := range []string{repeatAtOnce, repeatAtHead, repeatAtRequest, repeatLater} {
		for name, ids := range map[string][]string{
			"sent again": {"r-1", "r-1"}, "another request": {"r-1", "r-2"}, "sent again after another one": {"r-1", "r-2", "r-1"},
		} {
			for _, sharded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, sharded %t", moment, name, sharded), func(t *testing.T) {
					server := &repeater{moment: moment}
					p := listenTo(t, server.serve)
					for i, id := range ids {
						r := unshardedRequest(id)
						if sharded {
							r.HeaderNames = nil
						}
						result := p.Do(context.Background(), r, time.Now())
						if _, ok := result.(forward.Refused); i == 0 {
							assert.Assert(t, ok, "%#v", result)
						} else {
							assert.Assert(t, !ok, "request %d counts as refused", i)
						}
					}
					assert.Equal(t, int(server.requests.Load()), len(ids))
				})
			}
		}
	}
}

// TestRefusedWithoutSpareConnection: a refused request that comes again gets a connection of its
// own also if no more may be open: the one on which it was refused is closed.
func TestRefusedWithoutSpareConnection(t *testing.T) {
	var conns atomic.Int32
	p := listenTo(t, respondWith("HTTP/1.1 503 Full\r\nCitrontray-Request: ID\r\nCitrontray-Not-Run: busy\r\nContent-Length: 0\r\n\r\n", &conns))
	for i := range 10 {
		_, ok := p.Do(context.Background(), unshardedRequest("r-1"), time.Now()).(forward.Refused)
		assert.Assert(t, ok, "attempt %d", i)
	}
	assert.Equal(t, int(conns.Load()), 10)
	assert.Equal(t, p.Open(), 4) // as many as may be
}

// TestRefusalBeforeTheRequest: a refusal that a target writes on a new connection before it has
// read the request, which it then runs, does not count for a request that must not run twice.
func TestRefusalBeforeTheRequest(t *testing.T) {
	for name, head := range map[string]string{
		"marked":      "HTTP/1.1 503 Full\r\nCitrontray-Not-Run: busy\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Other\r\nCitrontray-Target: t-2\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			p := listenTo(t, func(c net.Conn) {
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, head)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					ran.Add(1)
				}
			})
			r := unshardedRequest("r-1")
			r.AtMostOnce = true
			result := p.Do(context.Background(), r, time.Now())
			uncertain, ok := result.(forward.Uncertain)
			assert.Assert(t, ok, "%#v", result)
			assert.Equal(t, uncertain.Reason, outcome.AnswerWrong)
			assert.Equal(t, p.Open(), 0)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if ran.Load() == 1 {
					return poll.Success()
				}
				return poll.Continue("the request has not run")
			})
		})
	}
}
