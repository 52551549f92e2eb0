package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deadlineMS is how long clients wait for an answer.
const deadlineMS = 1200

// clients send requests to the hosts.
type clients struct {
	d    *deployment
	http *http.Client
	next atomic.Int64
	work sync.WaitGroup

	mu       sync.Mutex
	statuses map[string]int
}

func newClients(d *deployment) *clients {
	return &clients{
		d: d, statuses: make(map[string]int),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// send sends one request and returns its id, the status, zero if there was none, and the body.
func (c *clients) send(ctx context.Context, h *hostProcess, method, prefix string, k int, body string) (id string, status int, answer string) {
	id = fmt.Sprintf("%016x", c.next.Add(1)<<20|int64(rand.IntN(1<<20)))
	status, answer, err := c.sendAs(ctx, h, id, method, prefix+id, k, body)
	if err != nil {
		answer = err.Error()
	}
	return id, status, answer
}

func (c *clients) sendAs(ctx context.Context, h *hostProcess, id, method, path string, k int, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, deadlineMS*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.listen(frontPort)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	r.Header.Set("X-Citrontray-Request-Id", id)
	r.Header.Set("X-Citrontray-Deadline-Ms", strconv.Itoa(deadlineMS))
	if k >= 0 {
		r.Header.Set("X-Citrontray-Shard-Key", strconv.Itoa(k))
	}
	c.d.record.add("client sends %s %s key %d to %s", method, id, k, h.name)
	resp, err := c.http.Do(r)
	if err != nil {
		c.count("no answer")
		c.d.record.add("client got no answer to %s: %v", id, err)
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		c.count("answer cut")
		c.d.record.add("client got a cut answer to %s: %v", id, err)
		return 0, "", err
	}
	c.count(strconv.Itoa(resp.StatusCode))
	c.d.record.add("client got %d to %s", resp.StatusCode, id)
	return resp.StatusCode, string(answer), nil
}

func (c *clients) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[what]++
}

// runLoad sends requests for random keys, one after the other, until ctx ends.
func (c *clients) runLoad(ctx context.Context, method, prefix string, sharded bool, pause time.Duration) {
	defer c.work.Done()
	for ctx.Err() == nil {
		k, body := -1, ""
		if sharded {
			u := rand.Float64()
			k = int(u * u * u * allKeys) // low keys are far busier
		}
		if method != http.MethodGet {
			body = "body"
		}
		c.send(context.WithoutCancel(ctx), c.d.hosts[rand.IntN(len(c.d.hosts))], method, prefix, k, body)
		time.Sleep(pause)
	}
}

// awaitServing waits until requests for keys all over the key space are served by each host.
func (c *clients) awaitServing(prefix string) error {
	end := time.Now().Add(30 * time.Second)
	for time.Now().Before(end) {
		served := true
		for _, h := range c.d.hosts {
			for k := 0; served && k < allKeys; k += allKeys / 8 {
				_, status, _ := c.send(context.Background(), h, http.MethodGet, prefix, k, "")
				served = status == http.StatusOK
			}
		}
		if served {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errNotReady
}

// summary returns the counts of the results.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.statuses)
}
