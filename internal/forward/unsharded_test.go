package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

func unshardedRequest(id string) *forward.Request {
	names := target.DefaultHeaderNames()
	names.Stamp = "Citrontray-Stamp"
	return &forward.Request{
		ID: id, Method: "GET", URI: "/span/7", Host: "a.example", Expect: "t-1",
		Deadline: time.Now().Add(2 * time.Second), MaxBody: 1000, HeaderNames: names,
	}
}

// respondWith returns a server that responds to each request with response, in which the
// request's id replaces ID.
func respondWith(response string, conns *atomic.Int32) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		conns.Add(1)
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.ReadAll(r.Body)
			raw := strings.ReplaceAll(response, "ID", r.Header.Get(target.HeaderRequest))
			if _, err := io.WriteString(c, raw); err != nil || !strings.Contains(response, "Content-Length") {
				return
			}
		}
	}
}

// listenTo returns a pool that connects over TCP to a listener, whose connections serve
// handles.
func listenTo(t *testing.T, serve func(net.Conn)) *forward.Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	p := forward.New(forward.Config{Addr: netip.MustParseAddrPort(l.Addr().String()), MaxOpen: 4, DialTimeout: time.Second})
	t.Cleanup(p.Close)
	return p
}

// TestReuseAfterDeadline sends a second request after the deadline of the first one has
// passed. The deadline must not be left on the connection.
func TestReuseAfterDeadline(t *testing.T) {
	var conns atomic.Int32
	p := listenTo(t, respondWith("HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\nContent-Length: 2\r\n\r\nok", &conns))
	for i := range 2 {
		r := unshardedRequest("r-" + strconv.Itoa(i))
		r.Deadline = time.Now().Add(200 * time.Millisecond)
		result := p.Do(context.Background(), r, time.Now())
		_, ok := result.(forward.Completed)
		assert.Assert(t, ok, "%#v", result)
		time.Sleep(300 * time.Millisecond)
	}
	assert.Equal(t, conns.Load(), int32(1))
}

// TestNotAfter guards against a request that is sent after its time because connecting took
// long. The connection is kept for others.
func TestNotAfter(t *testing.T) {
	const connectTime = 50 * time.Millisecond
	for name, test := range map[string]struct {
		allowed time.Duration
		sent    bool
	}{
		"no limit":          {0, true},
		"after connecting":  {time.Minute, true},
		"before connecting": {connectTime / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			pool := forward.New(forward.Config{MaxOpen: 1, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
				time.Sleep(connectTime)
				client, server := net.Pipe()
				go respondWith("HTTP/1.1 200 OK\r\nCitrontray-Stamp: 1\r\n"+target.HeaderRequest+": ID\r\nContent-Length: 0\r\n\r\n", &arrived)(server)
				return client, nil
			}})
			defer pool.Close()
			now, r := time.Now(), unshardedRequest("r-1")
			if test.allowed > 0 {
				r.NotAfter = now.Add(test.allowed)
			}
			unsent, ok := pool.Do(t.Context(), r, now).(forward.NotSent)
			assert.Equal(t, !ok, test.sent)
			assert.Assert(t, !ok || errors.Is(unsent.Err, forward.ErrTooLate))
			assert.Equal(t, pool.Open(), 1)
		})
	}
}

// TestIdleConnection checks that a request gets a new connection if the idle one exceeds
// its MaxIdle, and that Uncertain.Idle is how long a broken connection was idle.
func TestIdleConnection(t *testing.T) {
	const pause = 50 * time.Millisecond
	var conns atomic.Int32
	response := "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
	p := listenTo(t, respondWith(response, &conns))
	do := func(maxIdle time.Duration) forward.Result {
		r := unshardedRequest("r")
		r.Deadline, r.MaxIdle = time.Now().Add(time.Second), maxIdle
		defer time.Sleep(pause)
		return p.Do(context.Background(), r, time.Now())
	}
	do(0)
	do(time.Minute)
	assert.Equal(t, conns.Load(), int32(1))
	do(pause / 10)
	assert.Equal(t, conns.Load(), int32(2))

	p = listenTo(t, func(c net.Conn) {
		respondWith(response, &conns)(&oneRequestConn{Conn: c}) // closes when the second request is read
	})
	do(0)
	broken, ok := do(0).(forward.Uncertain)
	assert.Assert(t, ok)
	assert.Assert(t, broken.Idle >= pause, "idle for %v", broken.Idle)
}

// TestIdleTimeoutOfTarget checks that an idle connection is not used any more shortly
// before the target closes it, as its responses state by Keep-Alive. A request that
// crosses the close is lost if it must not be repeated.
func TestIdleTimeoutOfTarget(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		idle   time.Duration
		conns  int32
	}{
		"before the timeout": {"Keep-Alive: timeout=60\r\n", 300 * time.Millisecond, 1},
		"at the timeout":     {"Keep-Alive: timeout=1\r\n", 950 * time.Millisecond, 2},
		"with a maximum":     {"Keep-Alive: max=100, Timeout=1\r\n", 950 * time.Millisecond, 2},
		"malformed":          {"Keep-Alive: timeout=soon\r\n", 950 * time.Millisecond, 1},
		"none":               {"", 950 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			p := listenTo(t, respondWith("HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\n"+test.header+"Content-Length: 2\r\n\r\nok", &conns))
			for i := range 2 {
				r := unshardedRequest("r-" + strconv.Itoa(i))
				r.Deadline = time.Now().Add(time.Second)
				result, ok := p.Do(context.Background(), r, time.Now()).(forward.Completed)
				assert.Assert(t, ok)
				assert.Equal(t, result.Header.Get("Keep-Alive"), "")
				time.Sleep(test.idle)
			}
			assert.Equal(t, conns.Load(), test.conns)
		})
	}
}

// oneRequestConn is a connection that breaks at its second read.
type oneRequestConn struct {
	net.Conn

	reads int
}

func (o *oneRequestConn) Read(b []byte) (int, error) {
	n, err := o.Conn.Read(b)
	if o.reads++; o.reads > 1 && err == nil {
		_ = o.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func TestUnshardedResponses(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\n"
		complete = head + "Content-Length: 2\r\n\r\nok"
		stale    = "HTTP/1.1 200 OK\r\nCitrontray-Request: other\r\nCitrontray-Stamp: s\r\nContent-Length: 3\r\n\r\nold"
	)
	tests := map[string]struct {
		response string
		want     string // answered, refused, or the reason of Uncertain
	}{
		"whole":                    {complete, "answered"},
		"one stale response":       {stale + complete, "answered"},
		"two stale responses":      {stale + stale + complete, "answered"},
		"three stale responses":    {stale + stale + stale + complete, string(outcome.AnswerWrong)},
		"ends with the connection": {head + "\r\nok", "answered"},
		"truncated body":           {head + "Content-Length: 20\r\n\r\nok", string(outcome.AnswerLate)},
		"no stamp":                 {strings.Replace(complete, "Citrontray-Stamp: s\r\n", "", 1), string(outcome.AnswerBad)},
		"encoded":                  {strings.Replace(complete, "Content-Length", "Content-Encoding: gzip\r\nContent-Length", 1), string(outcome.AnswerBad)},
		"no id":                    {strings.Replace(complete, "Citrontray-Request: ID\r\n", "", 1), string(outcome.AnswerWrong)},
		"refused without an id":    {"HTTP/1.1 503 Full\r\nCitrontray-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "refused"},
		"marked success":           {strings.Replace(complete, "Content-Length", "Citrontray-Not-Run: 1\r\nContent-Length", 1), string(outcome.AnswerBad)},
		"another target":           {"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", "refused"},
		"failure of the target":    {"HTTP/1.1 500 No\r\nCitrontray-Request: ID\r\nContent-Length: 0\r\n\r\n", "answered"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			p := listenTo(t, respondWith(test.response, &conns))
			r := unshardedRequest("r-1")
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			got := ""
			switch result := p.Do(context.Background(), r, time.Now()).(type) {
			case forward.Completed:
				got = "answered"
			case forward.Refused:
				got = "refused"
			case forward.Uncertain:
				got = string(result.Reason)
			case forward.NotSent:
				got = "not sent"
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestEarlyResponse checks the response of a target that responds before it has read
// the body and never reads the rest.
func TestEarlyResponse(t *testing.T) {
	p := listenTo(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		id := r.Header.Get(target.HeaderRequest)
		_, _ = io.WriteString(c, "HTTP/1.1 413 Long\r\nCitrontray-Request: "+id+"\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	})
	r := unshardedRequest("r-1")
	r.Method, r.Body = "PUT", make([]byte, 8<<20)
	result := p.Do(context.Background(), r, time.Now())
	completed, ok := result.(forward.Completed)
	assert.Assert(t, ok, "%#v", result)
	assert.Equal(t, completed.Status, 413)
}

// TestDuplicateResponse sends a duplicate of a response while the connection's next
// request runs. That request must get its own response or end as Uncertain. It must
// never get the duplicate, above all not a duplicate refusal: the caller would learn
// that the request did not run, although it may have.
func TestDuplicateResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
	const refusal = "HTTP/1.1 503 Busy\r\nCitrontray-Not-Run: busy\r\nContent-Length: 2\r\n\r\nno"
	refusalWithID := strings.Replace(refusal, "\r\n", "\r\nCitrontray-Request: ID\r\n", 1)
	tests := map[string]struct {
		first, copy string // responses to the first request
		answered    bool   // the second request may get its own response
	}{
		"complete response":         {ok, ok, true},
		"refusal with its id":       {refusalWithID, refusalWithID, true},
		"refusal without an id":     {ok, refusal, false},
		"misdirected without an id": {ok, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", false},
		"response without an id":    {ok, "HTTP/1.1 200 OK\r\nCitrontray-Stamp: s\r\nContent-Length: 2\r\n\r\nok", false},
		"truncated response":        {ok, "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nContent-Length: 90\r\n\r\nok", false},
		"without framing":           {ok, "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\n\r\nok", false},
		"no response at all":        {ok, "ok", false},
		"end of a header":           {ok, "\r\n\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := listenTo(t, func(c net.Conn) {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				firstID := ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					id, response := r.Header.Get(target.HeaderRequest), test.first
					if firstID != "" {
						response = strings.ReplaceAll(test.copy, "ID", firstID) + ok
					}
					if _, err := io.WriteString(c, strings.ReplaceAll(response, "ID", id)); err != nil {
						return
					}
					firstID = id
				}
			})
			p.Do(context.Background(), unshardedRequest("r-1"), time.Now())
			result := p.Do(context.Background(), unshardedRequest("r-2"), time.Now())
			switch r := result.(type) {
			case forward.Completed:
				assert.Assert(t, test.answered)
				assert.Equal(t, string(r.Body), "ok")
			case forward.Uncertain:
			default:
				t.Fatalf("%T %+v", result, result)
			}
			assert.Equal(t, p.Open(), 0)
		})
	}
}
