package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

func (w *sim) cutLinks(a string, others ...string) {
	for _, b := range others {
		w.cutUntil[linkKey(a, b)] = time.Hour
	}
}

func (w *sim) restoreLink(a, b string) { delete(w.cutUntil, linkKey(a, b)) }

func (w *sim) otherHosts(not *simHost) []*simHost {
	var out []*simHost
	for _, h := range w.hosts {
		if h != not {
			out = append(out, h)
		}
	}
	return out
}

// promisedLeader makes a lead a that lost the store and lives on the promise of b,
// and a successor c with the lease. The old lead reaches the target t alone,
// the successor all others: these would tell the old lead of the later term.
func promisedLeader(w *sim) (a, b, c *simHost, t *simTarget) {
	w.runUntil(4 * time.Second)
	a = w.leaderHost()
	b, c = w.otherHosts(a)[0], w.otherHosts(a)[1]
	t = w.firstOwner()
	w.cutLinks(storeName, a.name, b.name)
	w.cutLinks(c.name, a.name, b.name, t.name)
	for _, other := range w.targets {
		if other != t {
			w.cutLinks(a.name, other.name)
		}
	}
	// The hosts' heartbeats come at other times in each run.
	w.runUntil(8*time.Second + time.Duration(w.rng.IntN(400))*time.Millisecond)
	return a, b, c, t
}

// restartPromiser restarts the host that backs the old lead; its new life
// hears only the successor.
func restartPromiser(w *sim) {
	a, b, c, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.restoreLink(b.name, c.name)
	w.crashHost(b, 50*time.Millisecond)
}

// switchPromiser lets the host that backs the old lead hear only the successor.
func switchPromiser(w *sim) {
	a, b, c, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.restoreLink(b.name, c.name)
}

// losePromiser declares the host lost that backed the old lead until just now.
func losePromiser(w *sim) {
	a, b, _, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.crashHost(b, time.Hour)
	w.losses = []LossDeclaration{{Host: place.Host(b.name), By: "operator", Reason: "fire"}}
	w.sendListsToAll()
}

// evictLeader activates a standby while the store is out, passes the hold, and
// is evicted before it reaches the store again.
func evictLeader(w *sim) {
	w.runUntil(4 * time.Second)
	a := w.leaderHost()
	for _, h := range w.hosts {
		w.cutLinks(h.name, storeName)
	}
	w.crashTarget(w.firstOwner(), time.Hour)
	w.runUntil(20 * time.Second)
	w.evictCell(w.storeClock.at(w.now))
	w.leaseThenIsolate(a)
}

// leaseThenIsolate lets the host reach the store until it has the lease.
func (w *sim) leaseThenIsolate(h *simHost) {
	w.restoreLink(h.name, storeName)
	for end := w.now + 5*time.Second; w.now < end && !h.at(w.now).Before(h.cell.lease.until); {
		w.runUntil(w.now + 100*time.Microsecond)
	}
	w.cutLinks(h.name, storeName)
}

// removePromisers drops an old lead and its backer from the roster, then cuts
// the successor from a target that the old lead still renews.
func removePromisers(w *sim) {
	w.runUntil(4 * time.Second)
	a := w.leaderHost()
	b, c := w.otherHosts(a)[0], w.otherHosts(a)[1]
	w.cutLinks(storeName, a.name, b.name)
	w.cutLinks(c.name, a.name, b.name)
	w.runUntil(12 * time.Second)
	w.cutLinks(c.name, w.firstOwner().name)
}

// unreadPromiser gives an old lead the promise of a host whose new life knows
// nothing of two later terms and of the roster that replaced the old one.
func unreadPromiser(w *sim) {
	w.unlisted["h2"] = true
	w.runUntil(4 * time.Second)
	a := w.leaderHost()
	b, c := w.otherHosts(a)[0], w.hosts[2]
	if b == c {
		b = w.otherHosts(a)[1]
	}
	row := w.doc.Rows[0]
	standby := string(w.doc.Targets[row.Standby].Target)
	w.cutLinks(a.name, storeName, b.name, c.name)
	for _, t := range w.targets {
		if t.name == standby {
			w.cutLinks(t.name, b.name, c.name)
		} else {
			w.cutLinks(t.name, a.name)
		}
	}
	w.runUntil(10 * time.Second)
	w.unlisted["h2"] = false
	w.sendListsToAll()
	w.runUntil(20 * time.Second)
	w.cutLinks(b.name, storeName, c.name)
	w.restoreLink(a.name, b.name)
	w.crashHost(b, 50*time.Millisecond)
}

// splitUnheard cuts a hot key at an owner that does not hear of it, and lets the
// next lead settle the key's row, but not its parent's, whose standby it can't
// reach. The owner still holds the parent at the epoch that includes the key.
func splitUnheard(w *sim) {
	w.runUntil(4 * time.Second)
	a, t := w.leaderHost(), w.firstOwner()
	row := w.doc.Rows[0]
	w.cutLinks(a.name, t.name)
	cut := PlannedMove{Shard: row.Shard, Split: true, HotKey: key.Hash(uint64(row.Shard) << 62)}
	w.handle(a, a.incarnation, PlanReceived{Moves: []PlannedMove{cut}})
	w.runUntil(w.now + 150*time.Millisecond)
	w.drains = []place.Target{w.doc.Targets[row.Standby].Target}
	w.sendListsToAll()
	w.runUntil(w.now + 250*time.Millisecond)
	w.handle(a, a.incarnation, StopRequested{})
	standby := string(w.doc.Targets[w.doc.Rows[0].Standby].Target)
	for _, h := range w.otherHosts(a) {
		w.cutLinks(h.name, standby)
	}
	solo := w.doc.Rows[len(w.doc.Rows)-1].Shard
	for range 20 {
		w.runUntil(w.now + 50*time.Millisecond)
		for _, to := range w.targets {
			for _, h := range w.hosts {
				w.handle(h, h.incarnation, PlanReceived{Moves: []PlannedMove{{Shard: solo, To: place.Target(to.name)}}})
			}
		}
	}
}

// pauseInLeaseCall pauses a lead while the answer about its lease is under way.
// When it goes on, a target has forgotten all terms and reaches it alone.
func pauseInLeaseCall(w *sim) {
	w.runUntil(4 * time.Second)
	a, t := w.leaderHost(), w.firstOwner()
	for !a.cell.lease.pending {
		w.runUntil(w.now + 100*time.Microsecond)
	}
	w.pauseHost(a, 6*time.Second)
	w.crashTarget(t, 5900*time.Millisecond)
	w.runUntil(w.now + 100*time.Millisecond)
	w.cutLinks(a.name, w.nodeNames()...)
	w.restoreLink(a.name, t.name)
	for _, h := range w.otherHosts(a) {
		w.cutLinks(h.name, t.name)
	}
}

// regainLease cuts a lead off until its successor has moved the shards of a
// target that the old lead alone reaches. Then the successor dies, and the old
// lead gets the lapsed lease back, and loses the store before it has read it.
func regainLease(w *sim) {
	a, b, c, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.restoreLink(b.name, c.name)
	w.runUntil(16 * time.Second)
	for _, h := range w.otherHosts(a) {
		w.crashHost(h, time.Hour)
	}
	w.leaseThenIsolate(a)
}

// TestRulesPreventViolations plays scripts that random runs reach too seldom: each is safe
// as it is, and doubles an owner once its rule is broken.
func TestRulesPreventViolations(t *testing.T) {
	const seeds = 30
	if testing.Short() {
		t.Skip("the whole run plays it")
	}
	tests := map[string]struct {
		script  func(*sim)
		options options
		breakIt func(*options)
	}{
		"silence of a restarted host": {
			restartPromiser, options{hosts: 3, targets: 4}, func(o *options) { o.mutations.skipStartupSilence = true },
		},
		"exclusive promises": {
			switchPromiser, options{hosts: 3, targets: 4}, func(o *options) { o.mutations.sharedPromises = true },
		},
		"hold ends leading": {
			evictLeader, options{hosts: 3, targets: 4, renewLimit: 5 * time.Second}, func(o *options) { o.mutations.leadPastLimit = true },
		},
		"lost hosts leave promises behind": {
			losePromiser, options{hosts: 3, targets: 4}, func(o *options) { o.mutations.ignoreLostPromises = true },
		},
		"removed hosts count": {
			removePromisers,
			options{hosts: 3, targets: 4, noTermCheck: true, hideTerms: true},
			func(o *options) { o.mutations.ignoreRemoved = true },
		},
		"parent of a solo key ended": {
			splitUnheard, options{hosts: 3, targets: 5}, func(o *options) { o.mutations.skipParentCheck = true },
		},
		"lease got back is verified": {
			regainLease, options{hosts: 3, targets: 4}, func(o *options) { o.mutations.skipLeaseCheck = true },
		},
		"lease counts from sending": {
			pauseInLeaseCall, options{hosts: 3, targets: 4}, func(o *options) { o.mutations.leaseFromResponse = true },
		},
		"read the store first": {
			unreadPromiser, options{hosts: 3, targets: 4}, func(o *options) { o.mutations.skipStoreRead = true },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			play := func(o options) int {
				failed := 0
				for seed := uint64(1); seed <= seeds; seed++ {
					o.seed, o.noFaults, o.duration = seed, true, time.Hour
					w := newSim(o)
					tt.script(w)
					w.runUntil(w.now + 20*time.Second)
					if w.failure != "" {
						failed++
					}
				}
				return failed
			}
			assert.Equal(t, play(tt.options), 0)
			broken := tt.options
			tt.breakIt(&broken)
			failed := play(broken)
			t.Logf("%d of %d scripts fail without the rule", failed, seeds)
			assert.Assert(t, failed > 0)
		})
	}
}
