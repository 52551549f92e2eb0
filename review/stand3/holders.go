package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	// holdersStep is the distance of the keys that are watched.
	holdersStep = 256
	// maxShared is how long two servers may hold the same key (OWNER).
	maxShared = 500 * time.Millisecond
)

// holders watches which servers hold which keys.
type holders struct {
	c *cluster

	mu     sync.Mutex
	shared map[key.Point]sharedKey
	broken map[string]brokenHold
}

// sharedKey is a key that two servers hold at the same time.
type sharedKey struct {
	since  time.Time
	first  *server
	second *server
}

// brokenHold is what two servers held at the same time for too long.
type brokenHold struct {
	from, to key.Point
	longest  time.Duration
}

func newHolders(c *cluster) *holders {
	return &holders{c: c, shared: make(map[key.Point]sharedKey), broken: make(map[string]brokenHold)}
}

// run checks all servers again and again until ctx ends.
func (h *holders) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.check(time.Now())
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *holders) check(now time.Time) {
	servers := h.c.ranged()
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := key.Point(0); p < key.Points; p += holdersStep {
		var first, second *server
		for _, s := range servers {
			switch {
			case !s.holdsNow(now, p):
			case first == nil:
				first = s
			default:
				second = s
			}
		}
		h.note(now, p, first, second)
	}
}

// note records who holds a key now; second is nil unless two servers do.
func (h *holders) note(now time.Time, p key.Point, first, second *server) {
	last, was := h.shared[p]
	if was && (last.first != first || last.second != second) {
		h.c.record.printf("key %d is no longer held by both %s and %s, after %v", p, last.first, last.second, now.Sub(last.since))
		delete(h.shared, p)
		was = false
	}
	if second == nil {
		return
	}
	if !was {
		h.shared[p] = sharedKey{now, first, second}
		h.c.record.printf("key %d is held by both %s and %s", p, first, second)
		return
	}
	took := now.Sub(last.since)
	if took <= maxShared {
		return
	}
	name := fmt.Sprintf("%s and %s", first, second)
	b, known := h.broken[name]
	if !known {
		b = brokenHold{p, p, 0}
	}
	h.broken[name] = brokenHold{min(b.from, p), max(b.to, p), max(b.longest, took)}
}

// violations returns what two servers held for over maxShared.
func (h *holders) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.broken))
	for name, b := range h.broken {
		out = append(out, fmt.Sprintf("OWNER: %s, both up, held keys of %d-%d at the same time for %v", name, b.from, b.to, b.longest.Round(time.Millisecond)))
	}
	return out
}
