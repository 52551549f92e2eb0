package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/platform"
)

// load sends look-ups of keys to all hosts.
type load struct {
	c *cluster
	// keys are the keys that are requested.
	keys   atomic.Pointer[key.Range]
	served atomic.Int64
	lastID atomic.Int64
	sent   atomic.Int64
}

func newLoad(c *cluster) *load {
	l := &load{c: c}
	l.keys.Store(&key.Range{Last: key.Points - 1})
	return l
}

// run sends requests from a number of clients until ctx ends.
func (l *load) run(ctx context.Context, clients int, pause time.Duration) {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				l.send(client, l.c.hosts[(i+n)%len(l.c.hosts)], fmt.Sprintf("r%d", l.lastID.Add(1)))
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
}

func (l *load) send(client *http.Client, h *host, id string) {
	keys := l.keys.Load()
	point := keys.First + rand.N(keys.Last-keys.First+1)
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/keys/%d", h.front(), point), nil)
	if err != nil {
		return
	}
	r.Host = "a.example"
	names := platform.HeaderNames()
	r.Header.Set(names.Request, id)
	r.Header.Set(names.Deadline, "1200")
	r.Header.Set(names.Key, fmt.Sprint(point))
	l.sent.Add(1)
	l.c.record.printf("client sends %s for key %d to %s", id, point, h.name)
	response, err := client.Do(r)
	if err != nil {
		l.c.record.printf("client gets no answer to %s: %v", id, err)
		return
	}
	l.c.record.printf("client gets %d to %s", response.StatusCode, id)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		l.served.Add(1)
	}
}
