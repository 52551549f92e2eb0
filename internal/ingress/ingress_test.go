package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/logging"
)

// testServer is a server whose handler waits for the test on some paths.
type testServer struct {
	*Server

	t       *testing.T
	addr    string
	served  chan error
	entered chan string // paths whose handler has started, except streamed

	mu       sync.Mutex
	gates    map[string]chan struct{}
	canceled atomic.Int32
	handled  atomic.Int32
}

func serve(t *testing.T) *testServer {
	t.Helper()
	return serveFor(t, time.Minute, time.Second)
}

// serveFor starts a server with an idle timeout and a header timeout.
func serveFor(t *testing.T, idle, head time.Duration) *testServer {
	t.Helper()
	s := &testServer{t: t, served: make(chan error, 1), entered: make(chan string, 1024), gates: make(map[string]chan struct{})}
	s.Server = New(Config{
		Handler: s, Concurrent: func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/alone") },
		IdleTimeout: func() time.Duration { return idle }, MaxHeaderBytes: 16 << 10, HeaderTimeout: head, Log: logging.Nop(),
		OnPanic: func(string, any) {},
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l.Addr().String()
	go func() { s.served <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, <-s.served)
	})
	return s
}

// gate returns the channel that the handler of a path with /wait waits for.
func (s *testServer) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handled.Add(1)
	if r.URL.Path == streamPath {
		time.Sleep(time.Millisecond)
		return
	}
	s.entered <- r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/unread") {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/alone/run/wait"):
		<-s.gate(r.URL.Path) // can't be canceled
	case strings.Contains(r.URL.Path, "/wait"):
		select {
		case <-s.gate(r.URL.Path):
		case <-r.Context().Done():
			s.canceled.Add(1)
			return
		}
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/elsewhere"):
		w.Header()["Connection"] = []string{"close"}
	case strings.HasPrefix(r.URL.Path, "/panic"):
		panic("panic of a handler")
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// client is a connection to a server under test.
type client struct {
	net.Conn

	t  *testing.T
	br *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{Conn: c, t: s.t, br: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// expectResponse reads a response and reports whether it announces the end of the
// connection.
func (c *client) expectResponse(status int, body string) (last bool) {
	c.t.Helper()
	r, err := http.ReadResponse(c.br, nil)
	assert.NilError(c.t, err)
	defer func() { _ = r.Body.Close() }()
	got, err := io.ReadAll(r.Body)
	assert.NilError(c.t, err)
	assert.Equal(c.t, r.StatusCode, status)
	if body != "" {
		assert.Equal(c.t, string(got), body)
	}
	return r.Close
}

// expectClosed checks that the server closes the connection without another byte.
func (c *client) expectClosed() {
	c.t.Helper()
	_, err := c.br.ReadByte()
	assert.Assert(c.t, errors.Is(err, io.EOF), "%v", err)
}

func (s *testServer) expectStarted(paths ...string) {
	s.t.Helper()
	wanted := make(map[string]bool)
	for _, p := range paths {
		wanted[p] = true
	}
	for range paths {
		select {
		case p := <-s.entered:
			assert.Assert(s.t, wanted[p], "%s", p)
		case <-time.After(5 * time.Second):
			s.t.Fatalf("not all of %v started", paths)
		}
	}
}

func (s *testServer) expectNoneStarted(d time.Duration) {
	s.t.Helper()
	select {
	case p := <-s.entered:
		s.t.Fatalf("%s started", p)
	case <-time.After(d):
	}
}

const shortWait = 50 * time.Millisecond

// TestPipelining checks that pipelined requests run concurrently if they may, that
// responses come in the order of the requests, and that a slow request does not delay
// the work of others.
func TestPipelining(t *testing.T) {
	tests := map[string]func(t *testing.T, s *testServer, c *client){
		"concurrent, responses in order": func(t *testing.T, s *testServer, c *client) {
			c.send(get("/wait/1") + get("/2") + get("/wait/3"))
			s.expectStarted("/wait/1", "/2", "/wait/3")
			close(s.gate("/wait/3"))
			time.Sleep(shortWait)
			close(s.gate("/wait/1"))
			c.expectResponse(http.StatusOK, "GET /wait/1 ")
			c.expectResponse(http.StatusOK, "GET /2 ")
			c.expectResponse(http.StatusOK, "GET /wait/3 ")
		},
		"first response before later ones": func(t *testing.T, s *testServer, c *client) {
			c.send(get("/1") + get("/wait/2"))
			c.expectResponse(http.StatusOK, "GET /1 ")
			close(s.gate("/wait/2"))
			c.expectResponse(http.StatusOK, "GET /wait/2 ")
		},
		"not concurrent: waits for earlier": func(t *testing.T, s *testServer, c *client) {
			c.send(get("/wait/1") + get("/alone/2"))
			s.expectStarted("/wait/1")
			s.expectNoneStarted(shortWait)
			close(s.gate("/wait/1"))
			c.expectResponse(http.StatusOK, "GET /wait/1 ")
			c.expectResponse(http.StatusOK, "GET /alone/2 ")
		},
		"not concurrent: later ones wait": func(t *testing.T, s *testServer, c *client) {
			c.send(post("/wait/1", "x") + get("/2"))
			s.expectStarted("/wait/1")
			s.expectNoneStarted(shortWait)
			close(s.gate("/wait/1"))
			c.expectResponse(http.StatusOK, "POST /wait/1 x")
			c.expectResponse(http.StatusOK, "GET /2 ")
		},
		"at most maxPipelined at once": func(t *testing.T, s *testServer, c *client) {
			var pipelined strings.Builder
			paths := make([]string, 0, maxPipelined+4)
			for i := range maxPipelined + 4 {
				paths = append(paths, fmt.Sprintf("/wait/%d", i))
				pipelined.WriteString(get(paths[i]))
			}
			c.send(pipelined.String())
			s.expectStarted(paths[:maxPipelined]...)
			s.expectNoneStarted(shortWait)
			close(s.gate("/wait/0"))
			c.expectResponse(http.StatusOK, "GET /wait/0 ")
			s.expectStarted(paths[maxPipelined])
		},
		"chunked body and Content-Length": func(t *testing.T, s *testServer, c *client) {
			c.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n" + post("/2", "def") + get("/3"))
			c.expectResponse(http.StatusOK, "POST /1 abc")
			c.expectResponse(http.StatusOK, "POST /2 def")
			c.expectResponse(http.StatusOK, "GET /3 ")
		},
		"Expect: 100-continue": func(t *testing.T, s *testServer, c *client) {
			c.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
			line, err := c.br.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
			_, err = c.br.ReadString('\n')
			assert.NilError(t, err)
			c.send("ok")
			c.expectResponse(http.StatusOK, "POST /1 ok")
		},
		"panic fails only its request": func(t *testing.T, s *testServer, c *client) {
			c.send(get("/wait/1") + get("/panic") + get("/3"))
			s.expectStarted("/wait/1", "/panic", "/3")
			close(s.gate("/wait/1"))
			c.expectResponse(http.StatusOK, "GET /wait/1 ")
			c.expectResponse(http.StatusInternalServerError, "")
			c.expectResponse(http.StatusOK, "GET /3 ")
		},
		"Connection: close from the client": func(t *testing.T, s *testServer, c *client) {
			c.send(get("/wait/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/3"))
			s.expectStarted("/wait/1", "/2")
			s.expectNoneStarted(shortWait)
			close(s.gate("/wait/1"))
			assert.Assert(t, !c.expectResponse(http.StatusOK, "GET /wait/1 "))
			assert.Assert(t, c.expectResponse(http.StatusOK, "GET /2 "))
			c.expectClosed()
		},
		"unread body closes the connection": func(t *testing.T, s *testServer, c *client) {
			c.send("POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nabc")
			assert.Assert(t, c.expectResponse(http.StatusRequestEntityTooLarge, ""))
			c.expectClosed()
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			test(t, s, s.dial())
		})
	}
}

// TestClientDisconnect checks that the requests of a client that disconnects are
// canceled at once, however many it has pipelined.
func TestClientDisconnect(t *testing.T) {
	for name, depth := range map[string]int{"one": 1, "two": 2, "many": maxPipelined} {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			c := s.dial()
			for i := range depth {
				c.send(get(fmt.Sprintf("/wait/%d", i)))
				s.expectStarted(fmt.Sprintf("/wait/%d", i))
			}
			assert.NilError(t, c.Close())
			const bound = 500 * time.Millisecond // longest time that requests may run after the disconnect
			for end := time.Now().Add(bound); s.canceled.Load() < int32(depth); time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d of %d canceled", s.canceled.Load(), depth)
			}
		})
	}
}

// TestMalformedHead checks that a malformed or ambiguous head gets one error response,
// after which the connection closes. Neither its request nor a later one is handled.
func TestMalformedHead(t *testing.T) {
	tests := map[string]struct {
		head   string
		status int
	}{
		"two lengths":             {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", http.StatusBadRequest},
		"length and chunks":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"signed length":           {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", http.StatusBadRequest},
		"list of lengths":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", http.StatusBadRequest},
		"negative length":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", http.StatusBadRequest},
		"unknown transfer coding": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", http.StatusNotImplemented},
		"chunks before 1.1":       {"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"bare line feed":          {"GET / HTTP/1.1\nHost: a\n\n", http.StatusBadRequest},
		"bare line feed last":     {"GET / HTTP/1.1\r\nHost: a\r\n\n", http.StatusBadRequest},
		"bare carriage return":    {"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", http.StatusBadRequest},
		"control byte":            {"GET / HTTP/1.1\r\nHo\x01st: a\r\n\r\n", http.StatusBadRequest},
		"zero byte":               {"GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", http.StatusBadRequest},
		"space before colon":      {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", http.StatusBadRequest},
		"folded line":             {"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", http.StatusBadRequest},
		"no colon":                {"GET / HTTP/1.1\r\nHost\r\n\r\n", http.StatusBadRequest},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"two hosts":               {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", http.StatusBadRequest},
		"no request line":         {"nonsense\r\n\r\n", http.StatusBadRequest},
		"HTTP/2 preface":          {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusHTTPVersionNotSupported},
		"long head":               {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"many lines":              {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", maxHeaderLines) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			c := s.dial()
			c.send(get("/wait/1") + test.head)
			s.expectStarted("/wait/1")
			close(s.gate("/wait/1"))
			c.expectResponse(http.StatusOK, "GET /wait/1 ")
			assert.Assert(t, c.expectResponse(test.status, ""))
			c.expectClosed()
			assert.Equal(t, s.handled.Load(), int32(1))
		})
	}
}

// TestSlowHead checks that a head that takes longer than HeaderTimeout is rejected.
func TestSlowHead(t *testing.T) {
	c := serveFor(t, time.Minute, shortWait).dial()
	c.send("GET / HT")
	c.expectResponse(http.StatusRequestTimeout, "")
	c.expectClosed()
}

// TestIdle checks that an idle connection is closed after its idle timeout, but not if a
// request has arrived that was not read yet.
func TestIdle(t *testing.T) {
	t.Run("no request", func(t *testing.T) {
		serveFor(t, shortWait, time.Second).dial().expectClosed()
	})
	t.Run("after a response", func(t *testing.T) {
		s := serveFor(t, shortWait, time.Second)
		c := s.dial()
		c.send(get("/1"))
		c.expectResponse(http.StatusOK, "GET /1 ")
		c.expectClosed()
	})
	t.Run("not while a request runs", func(t *testing.T) {
		s := serveFor(t, shortWait, time.Second)
		c := s.dial()
		c.send(get("/wait/1"))
		time.Sleep(3 * shortWait)
		close(s.gate("/wait/1"))
		c.expectResponse(http.StatusOK, "GET /wait/1 ")
	})
	t.Run("not with an unread request", func(t *testing.T) {
		s := serve(t)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		server, err := l.Accept()
		assert.NilError(t, err)
		k := newConn(s.Server, server)
		for _, sent := range []string{"", "G", "ET / HTTP/1.1\r\n\r\n"} {
			_, err = io.WriteString(client, sent)
			assert.NilError(t, err)
			time.Sleep(shortWait)
			k.closing = false
			ended, err := k.handleTimeout()
			assert.Equal(t, ended, sent == "")
			assert.Equal(t, errors.Is(err, errIdle), sent == "")
		}
	})
}

// TestDrain drains a server under load. All accepted requests must get a response, and
// each connection must announce its end in the last one.
func TestDrain(t *testing.T) {
	s := serve(t)
	const clients, rounds = 20, 400
	var totalSent, answered, failed atomic.Int64
	var work sync.WaitGroup
	for i := range clients {
		work.Add(1)
		go func() {
			defer work.Done()
			n, err := streamRequests(s.addr, i%3+1, rounds)
			totalSent.Add(int64(n.sent))
			answered.Add(int64(n.answered))
			if err != nil {
				failed.Add(1)
				t.Logf("client %d: %v", i, err)
			}
		}()
	}
	time.Sleep(2 * shortWait)
	s.Drain(shortWait, time.Now().Add(time.Minute))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	time.Sleep(shortWait)
	assert.NilError(t, s.Shutdown(ctx))
	work.Wait()
	t.Logf("%d sent, %d answered, %d handled", totalSent.Load(), answered.Load(), s.handled.Load())
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, answered.Load(), int64(s.handled.Load()))
	assert.Assert(t, answered.Load() > 0)
}

// TestDrainAnswersWhatWasRead: while a server drains, a request that was read but waits behind
// another one on its connection is answered, and announces the connection's end.
func TestDrainAnswersWhatWasRead(t *testing.T) {
	s := serve(t)
	c := s.dial()
	c.send(post("/alone/wait", "x") + post("/alone/behind", "y"))
	s.expectStarted("/alone/wait")
	time.Sleep(shortWait) // until the second head was read
	s.Drain(time.Second, time.Now().Add(time.Minute))
	close(s.gate("/alone/wait"))
	assert.Assert(t, !c.expectResponse(http.StatusOK, "POST /alone/wait x"))
	assert.Assert(t, c.expectResponse(http.StatusOK, "POST /alone/behind y"))
	c.expectClosed()
}

// TestDrainEndsBodies: a request whose body is still being read when a server drains is answered
// once bodies are no longer read.
func TestDrainEndsBodies(t *testing.T) {
	for name, drainFirst := range map[string]bool{"drain begins while it is read": false, "drain has begun": true} {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			drain := func() { s.Drain(time.Second, time.Now().Add(4*shortWait)) }
			if drainFirst {
				drain()
			}
			c := s.dial()
			c.send("POST /alone/half HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf")
			s.expectStarted("/alone/half")
			if !drainFirst {
				drain()
			}
			start := time.Now()
			assert.Assert(t, c.expectResponse(http.StatusBadRequest, ""))
			assert.Assert(t, time.Since(start) < bodyReadTimeout/2)
		})
	}
}

// TestAbort: the connections of requests without a response are closed, those whose client has
// not read its response yet are not.
func TestAbort(t *testing.T) {
	s := serve(t)
	running, answered := s.dial(), s.dial()
	running.send(post("/alone/run/wait", "x"))
	s.expectStarted("/alone/run/wait")
	large := strings.Repeat("x", 8<<20)
	written := make(chan struct{})
	go func() {
		defer close(written)
		answered.send(post("/alone/large", large)) // echoed, and not read yet
	}()
	s.expectStarted("/alone/large")
	<-written
	s.Drain(time.Second, time.Now().Add(time.Minute))
	time.Sleep(4 * shortWait) // until the response is being written
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	aborted := make(chan int, 1)
	go func() { aborted <- s.Abort(ctx) }()
	running.expectClosed()
	answered.expectResponse(http.StatusOK, "POST /alone/large "+large)
	answered.expectClosed()
	assert.NilError(t, answered.Close())
	close(s.gate("/alone/run/wait"))
	assert.Equal(t, <-aborted, 1)
	assert.NilError(t, ctx.Err())
}

// TestHandlerClosesConnection checks that the connection closes after a response with
// Connection: close, and that later requests on it do not run.
func TestHandlerClosesConnection(t *testing.T) {
	c := serve(t).dial()
	c.send(get("/first") + get("/elsewhere") + post("/alone/behind", "x"))
	assert.Assert(t, !c.expectResponse(http.StatusOK, "GET /first "))
	assert.Assert(t, c.expectResponse(http.StatusOK, "GET /elsewhere "))
	c.expectClosed()
}

// TestCloseIsAnnouncedLast checks that no response announces the end of its connection while a
// request behind it runs: its client would count that one as not read, and send it again.
func TestCloseIsAnnouncedLast(t *testing.T) {
	s := serve(t)
	c := s.dial()
	c.send(get("/elsewhere/wait") + get("/wait"))
	s.expectStarted("/elsewhere/wait", "/wait")
	close(s.gate("/elsewhere/wait"))
	assert.Assert(t, !c.expectResponse(http.StatusOK, ""))
	close(s.gate("/wait"))
	assert.Assert(t, c.expectResponse(http.StatusOK, "GET /wait "))
	c.expectClosed()
}

// TestHalfClosedClientGetsResponse: a client that ends its sending side after a request that runs
// gets its response.
func TestHalfClosedClientGetsResponse(t *testing.T) {
	s := serve(t)
	c := s.dial()
	c.send(post("/alone/run/wait", "x"))
	s.expectStarted("/alone/run/wait")
	assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
	time.Sleep(shortWait)
	close(s.gate("/alone/run/wait"))
	c.expectResponse(http.StatusOK, "POST /alone/run/wait x")
}

// streamPath is the path of the requests of streamRequests.
const streamPath = "/x"

// streamCounts counts the requests that a client sent and the responses that it got.
type streamCounts struct{ sent, answered int }

// streamRequests pipelines requests on one connection until the server closes it, with
// up to depth of them in flight. It returns an error if the connection closes without
// an announcement in the last response, or does not close.
func streamRequests(addr string, depth, rounds int) (streamCounts, error) {
	var counts streamCounts
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		return counts, err
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for range rounds {
		for counts.sent < counts.answered+depth {
			if _, err := io.WriteString(c, get(streamPath)); err != nil {
				break // responses in transit are still read
			}
			counts.sent++
		}
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return counts, fmt.Errorf("after %d responses: %w", counts.answered, err)
		}
		_, err = io.Copy(io.Discard, r.Body)
		if err = errors.Join(err, r.Body.Close()); err != nil {
			return counts, err
		}
		counts.answered++
		if r.Close {
			_, err := br.ReadByte()
			if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
				return counts, fmt.Errorf("after the last response: %w", err)
			}
			return counts, nil
		}
		time.Sleep(time.Millisecond)
	}
	return counts, errors.New("connection was not closed")
}
