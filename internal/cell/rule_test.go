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

func (w *sim) otherHosts(except *simHost) []*simHost {
	var out []*simHost
	for _, h := range w.hosts {
		if h != except {
			out = append(out, h)
		}
	}
	return out
}

// promisedLeader isolates the leader a and the host b from the store and from c. The
// leader then renews grants by the promise of b, while c acquires the lease and succeeds
// it. The old leader reaches only the target t, and the successor only the other targets,
// as these would report the later term to the old leader.
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
	// Vary the time in relation to the heartbeats from seed to seed.
	w.runUntil(8*time.Second + time.Duration(w.rng.IntN(400))*time.Millisecond)
	return a, b, c, t
}

// restartPromiser restarts the host that has promised to the old leader. The new
// incarnation gets heartbeats only from the successor.
func restartPromiser(w *sim) {
	a, b, c, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.restoreLink(b.name, c.name)
	w.crashHost(b, 50*time.Millisecond)
}

// switchPromiser cuts the host that has promised to the old leader off from it. From
// then on, the host gets heartbeats only from the successor.
func switchPromiser(w *sim) {
	a, b, c, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.restoreLink(b.name, c.name)
}

// losePromiser declares the host lost whose promise to the old leader has not expired
// yet.
func losePromiser(w *sim) {
	a, b, _, _ := promisedLeader(w)
	w.cutLinks(a.name, b.name)
	w.crashHost(b, time.Hour)
	w.losses = []LossDeclaration{{Host: place.Host(b.name), By: "operator", Reason: "fire"}}
	w.sendListsToAll()
}

// evictLeader makes a leader activate a standby during a store outage, pass its renew
// limit, and be evicted before it reaches the store again.
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

// leaseThenIsolate connects a host to the store until it has the lease, and then isolates
// it again.
func (w *sim) leaseThenIsolate(h *simHost) {
	w.restoreLink(h.name, storeName)
	for end := w.now + 5*time.Second; w.now < end && !h.at(w.now).Before(h.cell.lease.until); {
		w.runUntil(w.now + 100*time.Microsecond)
	}
	w.cutLinks(h.name, storeName)
}

// removePromisers waits until the successor has removed the old leader and the host
// that has promised to it from the roster, and cuts the successor's link to a target
// whose grants the old leader still renews.
func removePromisers(w *sim) {
	w.runUntil(4 * time.Second)
	a := w.leaderHost()
	b, c := w.otherHosts(a)[0], w.otherHosts(a)[1]
	w.cutLinks(storeName, a.name, b.name)
	w.cutLinks(c.name, a.name, b.name)
	w.runUntil(12 * time.Second)
	w.cutLinks(c.name, w.firstOwner().name)
}

// unreadPromiser gives an old leader the promise of a host whose new incarnation knows
// neither the two later terms nor the roster that replaced the old one.
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

// splitAtUnreachableOwner splits a hot key off a shard whose owner does not learn of it. The next
// leader then finds out the holder of the key's row, but not that of the parent's row, as
// it does not reach the parent's standby. The owner still holds the parent shard at the
// epoch that includes the key.
func splitAtUnreachableOwner(w *sim) {
	w.runUntil(4 * time.Second)
	a, t := w.leaderHost(), w.firstOwner()
	row := w.doc.Rows[0]
	w.cutLinks(a.name, t.name)
	split := PlannedMove{Shard: row.Shard, Split: true, HotKey: key.Hash(uint64(row.Shard) << 62)}
	w.handle(a, a.incarnation, PlanReceived{Moves: []PlannedMove{split}})
	w.runUntil(w.now + 150*time.Millisecond)
	w.drains = []place.Target{w.doc.Targets[row.Standby].Target}
	w.sendListsToAll()
	w.runUntil(w.now + 250*time.Millisecond)
	w.handle(a, a.incarnation, StopRequested{})
	standby := string(w.doc.Targets[w.doc.Rows[0].Standby].Target)
	for _, h := range w.otherHosts(a) {
		w.cutLinks(h.name, standby)
	}
	single := w.doc.Rows[len(w.doc.Rows)-1].Shard
	for range 20 {
		w.runUntil(w.now + 50*time.Millisecond)
		for _, to := range w.targets {
			for _, h := range w.hosts {
				w.handle(h, h.incarnation, PlanReceived{Moves: []PlannedMove{{Shard: single, To: place.Target(to.name)}}})
			}
		}
	}
}

// pauseInLeaseCall pauses a leader while a response to its lease call is in flight. When
// it goes on, a target has restarted and so accepts every term, and only this host
// reaches it.
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

// regainLease isolates a leader until its successor has moved the shards off a target that
// only the old leader reaches. Then the successor crashes. The old leader acquires the
// expired lease again, and is isolated from the store before it has read the document.
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

// TestRulesPreventViolations runs scripts of cases that random runs seldom reach. Each
// passes with all rules, and leads to a violation if its rule is disabled.
func TestRulesPreventViolations(t *testing.T) {
	const seeds = 30
	if testing.Short() {
		t.Skip("skipped in short mode")
	}
	tests := map[string]struct {
		script  func(*sim)
		options options
		mutate  func(*options)
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
			splitAtUnreachableOwner, options{hosts: 3, targets: 5}, func(o *options) { o.mutations.skipParentCheck = true },
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
			countFailures := func(o options) int {
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
			assert.Equal(t, countFailures(tt.options), 0)
			mutated := tt.options
			tt.mutate(&mutated)
			failed := countFailures(mutated)
			t.Logf("%d of %d runs fail without the rule", failed, seeds)
			assert.Assert(t, failed > 0)
		})
	}
}
