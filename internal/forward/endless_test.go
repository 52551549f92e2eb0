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

// endlessServer sends a start and then a piece again and again, until the other side
// closes.
type endlessServer struct {
	start, piece string
	pause        time.Duration
	sent         atomic.Int64
	// closed gets when the other side had closed.
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

// TestEndlessResponse: bytes without end that are no answer cost bounded memory, and end
// with the connection, at the request's deadline at the latest.
func TestEndlessResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\n"
	block := strings.Repeat("x", 8<<10)
	// The kernel's buffers of both sides, and one read of ours.
	const slack = 12 << 20
	for name, test := range map[string]struct {
		start, piece string
		pause        time.Duration
		memory       int64
	}{
		"no line":               {"", block, 0, 1 << 20},
		"a head":                {head, "X-A: " + block + "\r\n", 0, 1 << 20},
		"a head, slowly":        {head, "X", 20 * time.Millisecond, 1 << 20},
		"interim answers":       {"", "HTTP/1.1 100 Continue\r\n\r\n", 0, 1 << 20},
		"a body to the end":     {head + "Connection: close\r\n\r\n", block, 0, 1 << 20},
		"a body in chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + block + "\r\n", 0, 1 << 20},
		"chunk extensions":      {head + "Transfer-Encoding: chunked\r\n\r\n2000;", block, 0, 1 << 20},
		"a body, slowly":        {head + "Connection: close\r\n\r\n", "x", 20 * time.Millisecond, 1 << 20},
		"more than it says":     {head + "Content-Length: 2\r\n\r\n", block, 0, 1 << 20},
		"a length of a million": {head + "Content-Length: 1000000\r\n\r\n", "x", 20 * time.Millisecond, 1 << 20},
		"no memory left":        {head + "Connection: close\r\n\r\n", block, 0, 32 << 10},
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
				assert.Equal(t, string(a.Body), "xx") // whole, before the bytes too many
			} else {
				_, ok := result.(forward.Uncertain)
				assert.Assert(t, ok, "%#v", result)
			}
			const late = 300 * time.Millisecond
			assert.Assert(t, time.Since(r.Deadline) < late, "ended %v after the deadline", time.Since(r.Deadline))
			select {
			case <-e.closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection stays open")
			}
			assert.Assert(t, e.sent.Load() < r.MaxBody+slack, "%d bytes were taken", e.sent.Load())
			assert.Assert(t, taken <= r.MaxBody+reserveSlack, "%d bytes reserved", taken)
		})
	}
}

// reserveSlack is what a pool may reserve beyond a body's bound.
const reserveSlack = 128 << 10
