package cell

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// longestGap runs the simulation for d and returns the longest time for which a shard
// was held by no running target.
func (w *sim) longestGap(d time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	last := make(map[key.Shard]time.Duration)
	for s := range key.Shard(simShards) {
		last[s] = w.now
	}
	var longest time.Duration
	for end := w.now + d; w.now < end && w.failure == ""; {
		w.runUntil(w.now + step)
		for _, t := range w.targets {
			if t.down || w.now < t.pausedUntil {
				continue
			}
			for _, h := range t.holdings.List(t.clockStamp(w.now)) {
				last[h.Shard] = w.now
			}
		}
		for _, at := range last {
			longest = max(longest, w.now-at)
		}
	}
	return longest
}

func (w *sim) leaderHost() *simHost {
	for _, h := range w.hosts {
		if !h.down && h.cell.leading() && w.now >= h.pausedUntil {
			return h
		}
	}
	return w.hosts[0]
}

// firstOwner returns the target that owns the first shard by the document.
func (w *sim) firstOwner() *simTarget {
	name := w.doc.Targets[w.doc.Rows[0].Owner].Target
	for _, t := range w.targets {
		if place.Target(t.name) == name {
			return t
		}
	}
	return nil
}

func (w *sim) declareTargetLost(t *simTarget) {
	w.losses = []LossDeclaration{{Target: place.Target(t.name), By: "operator", Reason: "mistake"}}
	w.sendListsToAll()
}

// TestFailoverGap injects single faults into a cell without other faults and checks for
// how long a shard is without an owner.
func TestFailoverGap(t *testing.T) {
	const lossBound, long = 4 * time.Second, time.Hour
	seeds := uint64(60)
	if testing.Short() {
		seeds = 3
	}
	tests := map[string]struct {
		faults func(w *sim)
		bound  time.Duration
		hosts  int
	}{
		"nothing lost":           {func(*sim) {}, 0, 3},
		"target killed":          {func(w *sim) { w.crashTarget(w.firstOwner(), long) }, lossBound, 3},
		"target frozen":          {func(w *sim) { w.freezeTarget(w.firstOwner(), long) }, lossBound, 3},
		"target frozen and back": {func(w *sim) { w.freezeTarget(w.firstOwner(), 8*time.Second) }, lossBound, 3},
		"target declared lost by mistake": {func(w *sim) {
			w.declareTargetLost(w.firstOwner())
		}, time.Second, 3},
		"target declared lost by mistake, then frozen": {func(w *sim) {
			t := w.firstOwner()
			w.declareTargetLost(t)
			w.after(50*time.Millisecond, func() { w.freezeTarget(t, 10*time.Second) })
		}, lossBound, 3},
		"target drained": {func(w *sim) {
			w.drains = []place.Target{place.Target(w.firstOwner().name)}
			w.sendListsToAll()
		}, time.Second, 3},
		"all hosts replaced one by one": {func(w *sim) {
			for i, h := range w.hosts {
				w.after(time.Duration(i)*3*time.Second, func() { w.handle(h, h.incarnation, StopRequested{}) })
			}
		}, 0, 4},
		"target restarted":     {func(w *sim) { w.crashTarget(w.firstOwner(), 100*time.Millisecond) }, time.Second, 3},
		"leader killed":        {func(w *sim) { w.crashHost(w.leaderHost(), long) }, 0, 3},
		"leader paused":        {func(w *sim) { w.pauseHost(w.leaderHost(), 5*time.Second) }, 0, 3},
		"leader of two killed": {func(w *sim) { w.crashHost(w.leaderHost(), long) }, 0, 2},
		"leader stopped":       {func(w *sim) { h := w.leaderHost(); w.handle(h, h.incarnation, StopRequested{}) }, 0, 3},
		"store unavailable":    {func(w *sim) { w.storeUp = false }, 0, 3},
		"store slow":           {func(w *sim) { w.storeSlow = true }, 0, 3},
		"store unavailable, target killed": {func(w *sim) {
			w.storeUp = false
			w.after(5*time.Second, func() { w.crashTarget(w.firstOwner(), long) })
		}, lossBound, 3},
		"store unavailable, leader killed": {func(w *sim) {
			w.storeUp = false
			w.after(5*time.Second, func() { w.crashHost(w.leaderHost(), long) })
		}, 0, 3},
		"store slow, leader killed": {func(w *sim) {
			w.storeSlow = true
			w.after(5*time.Second, func() { w.crashHost(w.leaderHost(), long) })
		}, 0, 3},
		"store slow, target killed": {func(w *sim) {
			w.storeSlow = true
			w.after(5*time.Second, func() { w.crashTarget(w.firstOwner(), long) })
		}, lossBound, 3},
		"store unavailable, target drained": {func(w *sim) {
			w.storeUp = false
			w.after(5*time.Second, func() {
				w.drains = []place.Target{place.Target(w.firstOwner().name)}
				w.sendListsToAll()
			})
		}, time.Second, 3},
		"leader and target killed": {func(w *sim) {
			w.crashTarget(w.firstOwner(), long)
			w.crashHost(w.leaderHost(), long)
		}, lossBound, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := uint64(1); seed <= seeds; seed++ {
				w := newSim(options{seed: seed, hosts: tt.hosts, targets: 4, noFaults: true, duration: time.Hour})
				w.runUntil(4 * time.Second)
				assert.Equal(t, w.longestGap(2*time.Second) <= 50*time.Millisecond, true, "not served before the fault:\n%s", strings.Join(w.trace, "\n"))
				tt.faults(w)
				gap := w.longestGap(20 * time.Second)
				worst = max(worst, gap)
				if gap > max(tt.bound, 50*time.Millisecond) || w.failure != "" {
					t.Fatalf("seed %d: gap %v, bound %v, %s\n%s", seed, gap, tt.bound, w.failure, strings.Join(w.trace, "\n"))
				}
			}
			t.Logf("longest gap %v", worst)
		})
	}
}
