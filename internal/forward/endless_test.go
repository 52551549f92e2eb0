package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/target"
)

// endlessServer responds with start and then with piece over and over, until the client
// closes the connection.
type endlessServer struct {
	start, piece string
	pause        time.Duration
	sent         atomic.Int64
	// closed receives the time of the first write that failed, as the client had
	// closed the connection.
	closed chan time.Time
}

func (e *endlessServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	next := strings.ReplaceAll(e.start, "ID", r.Header.Get(target.HeaderRequest))
	for {
		n, err := io.WriteString(c, next)
		e.sent.Add(int64(n))
		if err != nil {
			e.closed <- time.Now()
			return
		}
		time.Sleep(e.pause)
		next = e.piece
	}
}

// TestEndlessResponse checks that a target that sends bytes without end takes bounded
// memory, and that its connection is closed by the request's deadline.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\n"
	block := strings.Repeat("x", 8<<10)
	// Socket buffers of both sides, and one read of the pool.
	const slack = 12 << 20
	for name, test := range map[string]struct {
		start, piece string
		pause        time.Duration
		memory       int64
	}{
		"no line feed":             {"", block, 0, 1 << 20},
		"endless header":           {head, "X-A: " + block + "\r\n", 0, 1 << 20},
		"slow header":              {head, "X", 20 * time.Millisecond, 1 << 20},
		"interim responses":        {"", "HTTP/1.1 100 Continue\r\n\r\n", 0, 1 << 20},
		"body until close":         {head + "Connection: close\r\n\r\n", block, 0, 1 << 20},
		"chunked body":             {head + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + block + "\r\n", 0, 1 << 20},
		"chunk extension":          {head + "Transfer-Encoding: chunked\r\n\r\n2000;", block, 0, 1 << 20},
		"slow body":                {head + "Connection: close\r\n\r\n", "x", 20 * time.Millisecond, 1 << 20},
		"more than Content-Length": {head + "Content-Length: 2\r\n\r\n", block, 0, 1 << 20},
		"long Content-Length":      {head + "Content-Length: 1000000\r\n\r\n", "x", 20 * time.Millisecond, 1 << 20},
		"no memory left":           {head + "Connection: close\r\n\r\n", block, 0, 32 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &endlessServer{start: test.start, piece: test.piece, pause: test.pause, closed: make(chan time.Time, 8)}
			p := listenTo(t, e.serve)
			r := unshardedRequest("r")
			taken := int64(0)
			r.Reserve = func(n int64) bool {
				taken += n
				return taken <= test.memory
			}
			r.MaxBody, r.Deadline = 1<<20, time.Now().Add(500*time.Millisecond)
			result := p.Do(context.Background(), r, time.Now())
			if a, ok := result.(forward.Completed); ok {
				assert.Equal(t, string(a.Body), "xx") // complete, before the excess bytes
			} else {
				_, ok := result.(forward.Uncertain)
				assert.Assert(t, ok, "%#v", result)
			}
			const late = 300 * time.Millisecond
			assert.Assert(t, time.Since(r.Deadline) < late, "ended %v after the deadline", time.Since(r.Deadline))
			select {
			case <-e.closed:
			case <-time.After(5 * time.Second):
				t.Fatal("connection is still open")
			}
			assert.Assert(t, e.sent.Load() < r.MaxBody+slack, "%d bytes were read", e.sent.Load())
			assert.Assert(t, taken <= r.MaxBody+reserveSlack, "%d bytes were reserved", taken)
		})
	}
}

// reserveSlack is how many bytes a pool may reserve beyond MaxBody.
const reserveSlack = 128 << 10
