package cell

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// gaps plays the world for d and returns the longest time that any shard was
// held by no target that answers.
func (w *world) gaps(d time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	last := make(map[key.Shard]time.Duration)
	for s := range key.Shard(worldShards) {
		last[s] = w.now
	}
	var longest time.Duration
	for end := w.now + d; w.now < end && w.failure == ""; {
		w.until(w.now + step)
		for _, t := range w.targets {
			if t.dead || w.now < t.paused {
				continue
			}
			for _, h := range t.holds.List(t.reading(w.now)) {
				last[h.Shard] = w.now
			}
		}
		for _, at := range last {
			longest = max(longest, w.now-at)
		}
	}
	return longest
}

func (w *world) leadHost() *hostNode {
	for _, h := range w.hosts {
		if !h.dead && h.cell.leading() && w.now >= h.paused {
			return h
		}
	}
	return w.hosts[0]
}

// ownerNode returns the target that owns the first shard by the document.
func (w *world) ownerNode() *targetNode {
	name := w.doc.Targets[w.doc.Rows[0].Owner].Target
	for _, t := range w.targets {
		if place.Target(t.name) == name {
			return t
		}
	}
	return nil
}

func (w *world) declareTarget(t *targetNode) {
	w.lost = []Lost{{Target: place.Target(t.name), By: "operator", Reason: "mistake"}}
	w.tellAll()
}

// TestServedAgain loses parts of a quiet cell and bounds the time that any
// shard is without an owner.
func TestServedAgain(t *testing.T) {
	const loss, long = 4 * time.Second, time.Hour
	seeds := uint64(60)
	if testing.Short() {
		seeds = 3
	}
	tests := map[string]struct {
		faults func(w *world)
		bound  time.Duration
		hosts  int
	}{
		"nothing lost":           {func(*world) {}, 0, 3},
		"target killed":          {func(w *world) { w.crashTarget(w.ownerNode(), long) }, loss, 3},
		"target frozen":          {func(w *world) { w.freeze(w.ownerNode(), long) }, loss, 3},
		"target frozen and back": {func(w *world) { w.freeze(w.ownerNode(), 8*time.Second) }, loss, 3},
		"target declared lost by mistake": {func(w *world) {
			w.declareTarget(w.ownerNode())
		}, time.Second, 3},
		"target declared lost by mistake, then frozen": {func(w *world) {
			t := w.ownerNode()
			w.declareTarget(t)
			w.after(50*time.Millisecond, func() { w.freeze(t, 10*time.Second) })
		}, loss, 3},
		"target drained": {func(w *world) {
			w.drains = []place.Target{place.Target(w.ownerNode().name)}
			w.tellAll()
		}, time.Second, 3},
		"all hosts replaced one by one": {func(w *world) {
			for i, h := range w.hosts {
				w.after(time.Duration(i)*3*time.Second, func() { w.handle(h, h.life, StopSeen{}) })
			}
		}, 0, 4},
		"target restarted":   {func(w *world) { w.crashTarget(w.ownerNode(), 100*time.Millisecond) }, time.Second, 3},
		"lead killed":        {func(w *world) { w.crashHost(w.leadHost(), long) }, 0, 3},
		"lead paused":        {func(w *world) { w.pauseHost(w.leadHost(), 5*time.Second) }, 0, 3},
		"lead of two killed": {func(w *world) { w.crashHost(w.leadHost(), long) }, 0, 2},
		"lead stopped":       {func(w *world) { h := w.leadHost(); w.handle(h, h.life, StopSeen{}) }, 0, 3},
		"store out":          {func(w *world) { w.up = false }, 0, 3},
		"store slow":         {func(w *world) { w.slow = true }, 0, 3},
		"store out, target killed": {func(w *world) {
			w.up = false
			w.after(5*time.Second, func() { w.crashTarget(w.ownerNode(), long) })
		}, loss, 3},
		"store out, lead killed": {func(w *world) {
			w.up = false
			w.after(5*time.Second, func() { w.crashHost(w.leadHost(), long) })
		}, 0, 3},
		"store slow, lead killed": {func(w *world) {
			w.slow = true
			w.after(5*time.Second, func() { w.crashHost(w.leadHost(), long) })
		}, 0, 3},
		"store slow, target killed": {func(w *world) {
			w.slow = true
			w.after(5*time.Second, func() { w.crashTarget(w.ownerNode(), long) })
		}, loss, 3},
		"store out, target drained": {func(w *world) {
			w.up = false
			w.after(5*time.Second, func() {
				w.drains = []place.Target{place.Target(w.ownerNode().name)}
				w.tellAll()
			})
		}, time.Second, 3},
		"lead and target killed": {func(w *world) {
			w.crashTarget(w.ownerNode(), long)
			w.crashHost(w.leadHost(), long)
		}, loss, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := uint64(1); seed <= seeds; seed++ {
				w := newWorld(options{seed: seed, hosts: tt.hosts, targets: 4, calm: true, length: time.Hour})
				w.until(4 * time.Second)
				assert.Equal(t, w.gaps(2*time.Second) <= 50*time.Millisecond, true, "not served before the fault:\n%s", strings.Join(w.trace, "\n"))
				tt.faults(w)
				gap := w.gaps(20 * time.Second)
				worst = max(worst, gap)
				if gap > max(tt.bound, 50*time.Millisecond) || w.failure != "" {
					t.Fatalf("seed %d: gap %v, bound %v, %s\n%s", seed, gap, tt.bound, w.failure, strings.Join(w.trace, "\n"))
				}
			}
			t.Logf("longest gap %v", worst)
		})
	}
}
