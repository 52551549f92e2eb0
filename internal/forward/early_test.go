package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/target"
)

// earlyEnd is what a target does once it has responded to a request whose body it has not read.
type earlyEnd uint8

const (
	// earlyReset: it resets the connection.
	earlyReset earlyEnd = iota
	// earlyClose: it closes the connection with unread bytes, which resets it.
	earlyClose
	// earlyHalfClose: it ends its sending side and reads on.
	earlyHalfClose
	// earlyHalfSilent: it ends its sending side and reads nothing.
	earlyHalfSilent
	// earlySilence: it does nothing.
	earlySilence
)

// earlyTarget responds without a length before it has read the body of a request.
type earlyTarget struct {
	end   earlyEnd
	delay time.Duration
	http  string // the version of the protocol
	body  string
	// over ends the waits of a target that reads nothing.
	over chan struct{}
}

func (e *earlyTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/%s 200 OK\r\nCitrontray-Request: %s\r\nCitrontray-Stamp: s\r\nConnection: close\r\n\r\n%s", e.http, r.Header.Get(target.HeaderRequest), e.body)
	time.Sleep(e.delay)
	tcp := c.(*net.TCPConn)
	switch e.end {
	case earlyReset:
		_ = tcp.SetLinger(0)
	case earlyClose:
		time.Sleep(time.Millisecond) // until bytes have arrived
	case earlyHalfClose:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case earlyHalfSilent:
		_ = tcp.CloseWrite()
		<-e.over
	case earlySilence:
		<-e.over
	}
}

// TestEarlyEnd: a response without a length, sent while the request's body is still being written,
// is whole if its target has ended its sending side, and never if the connection was reset. The
// reset is reported to the writer of the body, so that the reader of the response meets its end.
func TestEarlyEnd(t *testing.T) {
	t.Parallel()
	const attempts = 20
	ends := map[string]struct {
		end   earlyEnd
		whole bool
	}{
		"reset":                {earlyReset, false},
		"close":                {earlyClose, false},
		"half-close":           {earlyHalfClose, true},
		"half-close, no reads": {earlyHalfSilent, true},
		"silence":              {earlySilence, false},
	}
	for name, test := range ends {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
			for _, size := range []int{16 << 10, 40 << 10, 400 << 10, 8 << 20} {
				t.Run(fmt.Sprintf("%s after %v, %d KB", name, delay, size>>10), func(t *testing.T) {
					t.Parallel()
					e := earlyTarget{end: test.end, delay: delay, http: "1.1", body: "part of a body", over: make(chan struct{})}
					defer close(e.over)
					if test.end != earlySilence && size == 400<<10 {
						e.http = "1.0"
					}
					p := listenTo(t, e.serve)
					for range attempts {
						checkEarlyEnd(t, p, &e, size, test.whole)
					}
				})
			}
		}
	}
}

// checkEarlyEnd makes an attempt with a body of the size. A body that fits the socket's buffers
// may have been sent before the target closes, so that it closes properly.
func checkEarlyEnd(t *testing.T, p *forward.Pool, e *earlyTarget, size int, whole bool) {
	t.Helper()
	r := unshardedRequest("r-1")
	r.Method, r.Body, r.Deadline = http.MethodPost, make([]byte, size), time.Now().Add(10*time.Second)
	if e.end == earlySilence {
		r.Deadline = time.Now().Add(100 * time.Millisecond)
	}
	result := p.Do(context.Background(), r, time.Now())
	response, completed := result.(forward.Completed)
	switch {
	case completed && !whole:
		t.Errorf("a response that was cut is taken for a whole one")
	case !completed && whole:
		t.Errorf("a whole response is not delivered: %+v", result)
	case completed:
		assert.Check(t, string(response.Body) == e.body, "%q", response.Body)
	}
	assert.Check(t, p.Open() == 0, "the connection is kept")
}

// TestRandomEarlyEnds plays targets that respond early at random, with random bodies: whatever is
// delivered is whole.
func TestRandomEarlyEnds(t *testing.T) {
	t.Parallel()
	const seeds = 200
	var runs sync.WaitGroup
	slots := make(chan struct{}, 16)
	for seed := range uint64(seeds) {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			rng := rand.New(rand.NewPCG(seed, 0))
			e := earlyTarget{
				end: earlyEnd(rng.IntN(int(earlySilence))), delay: time.Duration(rng.IntN(3000)) * time.Microsecond, http: "1.1",
				body: string(make([]byte, rng.IntN(2000))), over: make(chan struct{}),
			}
			defer close(e.over)
			r := unshardedRequest("r-1")
			r.Method, r.Body, r.MaxBody = http.MethodPost, make([]byte, (32<<10)+rng.IntN(4<<20)), 4000
			result := listenTo(t, e.serve).Do(context.Background(), r, time.Now())
			_, completed := result.(forward.Completed)
			reset := e.end == earlyReset || e.end == earlyClose
			assert.Check(t, completed != reset, "seed %d: %+v with %d bytes: %T", seed, e.end, len(r.Body), result)
		})
	}
	runs.Wait()
}
