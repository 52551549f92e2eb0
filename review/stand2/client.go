package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	id   string
	host *hostProcess
	// sentAt is when the last byte was sent; zero if that failed.
	sentAt time.Time
	// endedAt is when the answer was complete, or the connection had ended.
	endedAt time.Time
	// status is the status of a complete answer, zero if there was none.
	status int
}

// clients send requests to hosts that are in rotation, each on a new connection.
type clients struct {
	d        *deployment
	deadline time.Duration
	next     atomic.Int64
	work     sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	statuses map[int]int
}

func newClients(d *deployment, deadline time.Duration) *clients {
	return &clients{d: d, deadline: deadline, statuses: make(map[int]int)}
}

// start starts clients that each send one request after the other until ctx ends.
func (c *clients) start(ctx context.Context, n int) {
	for range n {
		c.work.Add(1)
		go c.run(ctx)
	}
}

func (c *clients) run(ctx context.Context) {
	defer c.work.Done()
	for ctx.Err() == nil {
		var ready []*hostProcess
		for _, h := range c.d.hosts {
			if h.inRotation.Load() {
				ready = append(ready, h)
			}
		}
		pause := time.Duration(0)
		if len(ready) > 0 {
			pause = c.send(ready[rand.IntN(len(ready))])
		}
		time.Sleep(max(pause, 10*time.Millisecond))
	}
}

// send sends a request. It returns how long the answer asks the client to wait.
func (c *clients) send(h *hostProcess) (retryAfter time.Duration) {
	a := attempt{id: fmt.Sprintf("%016x", c.next.Add(1)<<20|int64(rand.IntN(1<<20))), host: h}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			a.sentAt = time.Now()
		}
	}})
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.listen(frontPort)+routePrefix+a.id, strings.NewReader("order "+a.id))
	if err != nil {
		panic(err) // can't happen with our own addresses
	}
	r.Host = hostName
	r.Header.Set("X-Citrontray-Request-Id", a.id)
	r.Header.Set("X-Citrontray-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	c.d.record.add("client sends %s to %s", a.id, h.name)
	resp, err := transport.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.endedAt = time.Now()
	if err == nil {
		a.status = resp.StatusCode
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // zero without one
		retryAfter = time.Duration(seconds * float64(time.Second))
		c.d.record.add("client got %d to %s", a.status, a.id)
	} else {
		c.d.record.add("client got no complete answer to %s: %v", a.id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	c.statuses[a.status]++
	return retryAfter
}
