package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

func (w *world) cutLinks(a string, others ...string) {
	for _, b := range others {
		w.cuts[pair(a, b)] = time.Hour
	}
}

func (w *world) link(a, b string) { delete(w.cuts, pair(a, b)) }

func (w *world) others(not *hostNode) []*hostNode {
	var out []*hostNode
	for _, h := range w.hosts {
		if h != not {
			out = append(out, h)
		}
	}
	return out
}

// backedLead makes a lead a that lost the store and lives on the promise of b,
// and a successor c with the lease. The old lead reaches the target t alone,
// the successor all others: these would tell the old lead of the later term.
func backedLead(w *world) (a, b, c *hostNode, t *targetNode) {
	w.until(4 * time.Second)
	a = w.leadHost()
	b, c = w.others(a)[0], w.others(a)[1]
	t = w.ownerNode()
	w.cutLinks(storeName, a.name, b.name)
	w.cutLinks(c.name, a.name, b.name, t.name)
	for _, other := range w.targets {
		if other != t {
			w.cutLinks(a.name, other.name)
		}
	}
	// The hosts' heartbeats come at other times in each run.
	w.until(8*time.Second + time.Duration(w.r.IntN(400))*time.Millisecond)
	return a, b, c, t
}

// restartedBacker restarts the host that backs the old lead; its new life
// hears only the successor.
func restartedBacker(w *world) {
	a, b, c, _ := backedLead(w)
	w.cutLinks(a.name, b.name)
	w.link(b.name, c.name)
	w.crashHost(b, 50*time.Millisecond)
}

// movedBacker lets the host that backs the old lead hear only the successor.
func movedBacker(w *world) {
	a, b, c, _ := backedLead(w)
	w.cutLinks(a.name, b.name)
	w.link(b.name, c.name)
}

// lostBacker declares the host lost that backed the old lead until just now.
func lostBacker(w *world) {
	a, b, _, _ := backedLead(w)
	w.cutLinks(a.name, b.name)
	w.crashHost(b, time.Hour)
	w.lost = []Lost{{Host: place.Host(b.name), By: "operator", Reason: "fire"}}
	w.tellAll()
}

// evictedLead activates a standby while the store is out, passes the hold, and
// is evicted before it reaches the store again.
func evictedLead(w *world) {
	w.until(4 * time.Second)
	a := w.leadHost()
	for _, h := range w.hosts {
		w.cutLinks(h.name, storeName)
	}
	w.crashTarget(w.ownerNode(), time.Hour)
	w.until(20 * time.Second)
	w.takeOver(w.storeClock.at(w.now))
	w.leaseThenCut(a)
}

// leaseThenCut lets the host reach the store until it has the lease.
func (w *world) leaseThenCut(h *hostNode) {
	w.link(h.name, storeName)
	for end := w.now + 5*time.Second; w.now < end && !h.at(w.now).Before(h.cell.lease.until); {
		w.until(w.now + 100*time.Microsecond)
	}
	w.cutLinks(h.name, storeName)
}

// droppedBackers drops an old lead and its backer from the roster, then cuts
// the successor from a target that the old lead still renews.
func droppedBackers(w *world) {
	w.until(4 * time.Second)
	a := w.leadHost()
	b, c := w.others(a)[0], w.others(a)[1]
	w.cutLinks(storeName, a.name, b.name)
	w.cutLinks(c.name, a.name, b.name)
	w.until(12 * time.Second)
	w.cutLinks(c.name, w.ownerNode().name)
}

// unreadBacker gives an old lead the promise of a host whose new life knows
// nothing of two later terms and of the roster that replaced the old one.
func unreadBacker(w *world) {
	w.unlisted["h2"] = true
	w.until(4 * time.Second)
	a := w.leadHost()
	b, c := w.others(a)[0], w.hosts[2]
	if b == c {
		b = w.others(a)[1]
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
	w.until(10 * time.Second)
	w.unlisted["h2"] = false
	w.tellAll()
	w.until(20 * time.Second)
	w.cutLinks(b.name, storeName, c.name)
	w.link(a.name, b.name)
	w.crashHost(b, 50*time.Millisecond)
}

// splitSolo cuts a hot key at an owner that does not hear of it, and lets the
// next lead settle the key's row, but not its parent's, whose standby it can't
// reach. The owner still holds the parent at the epoch that includes the key.
func splitSolo(w *world) {
	w.until(4 * time.Second)
	a, t := w.leadHost(), w.ownerNode()
	row := w.doc.Rows[0]
	w.cutLinks(a.name, t.name)
	cut := PlannedMove{Shard: row.Shard, Cut: true, Solo: key.Hash(uint64(row.Shard) << 62)}
	w.handle(a, a.life, PlanSeen{Moves: []PlannedMove{cut}})
	w.until(w.now + 150*time.Millisecond)
	w.drains = []place.Target{w.doc.Targets[row.Standby].Target}
	w.tellAll()
	w.until(w.now + 250*time.Millisecond)
	w.handle(a, a.life, StopSeen{})
	standby := string(w.doc.Targets[w.doc.Rows[0].Standby].Target)
	for _, h := range w.others(a) {
		w.cutLinks(h.name, standby)
	}
	solo := w.doc.Rows[len(w.doc.Rows)-1].Shard
	for range 20 {
		w.until(w.now + 50*time.Millisecond)
		for _, to := range w.targets {
			for _, h := range w.hosts {
				w.handle(h, h.life, PlanSeen{Moves: []PlannedMove{{Shard: solo, To: place.Target(to.name)}}})
			}
		}
	}
}

// pausedInCall pauses a lead while the answer about its lease is under way.
// When it goes on, a target has forgotten all terms and reaches it alone.
func pausedInCall(w *world) {
	w.until(4 * time.Second)
	a, t := w.leadHost(), w.ownerNode()
	for !a.cell.lease.pending {
		w.until(w.now + 100*time.Microsecond)
	}
	w.pauseHost(a, 6*time.Second)
	w.crashTarget(t, 5900*time.Millisecond)
	w.until(w.now + 100*time.Millisecond)
	w.cutLinks(a.name, w.names()...)
	w.link(a.name, t.name)
	for _, h := range w.others(a) {
		w.cutLinks(h.name, t.name)
	}
}

// regainedLease cuts a lead off until its successor has moved the shards of a
// target that the old lead alone reaches. Then the successor dies, and the old
// lead gets the lapsed lease back, and loses the store before it has read it.
func regainedLease(w *world) {
	a, b, c, _ := backedLead(w)
	w.cutLinks(a.name, b.name)
	w.link(b.name, c.name)
	w.until(16 * time.Second)
	for _, h := range w.others(a) {
		w.crashHost(h, time.Hour)
	}
	w.leaseThenCut(a)
}

// TestRulesBite plays scripts that random runs reach too seldom: each is safe
// as it is, and doubles an owner once its rule is broken.
func TestRulesBite(t *testing.T) {
	const seeds = 30
	if testing.Short() {
		t.Skip("the whole run plays it")
	}
	tests := map[string]struct {
		script  func(*world)
		options options
		breakIt func(*options)
	}{
		"silence of a restarted host": {
			restartedBacker, options{hosts: 3, targets: 4}, func(o *options) { o.knobs.noSilence = true },
		},
		"exclusive promises": {
			movedBacker, options{hosts: 3, targets: 4}, func(o *options) { o.knobs.sharedPromises = true },
		},
		"hold ends leading": {
			evictedLead, options{hosts: 3, targets: 4, hold: 5 * time.Second}, func(o *options) { o.knobs.holdOver = true },
		},
		"lost hosts leave promises behind": {
			lostBacker, options{hosts: 3, targets: 4}, func(o *options) { o.knobs.lostAtOnce = true },
		},
		"removed hosts count": {
			droppedBackers,
			options{hosts: 3, targets: 4, unfenced: true, termless: true},
			func(o *options) { o.knobs.forgetRemoved = true },
		},
		"parent of a solo key ended": {
			splitSolo, options{hosts: 3, targets: 5}, func(o *options) { o.knobs.noParentCheck = true },
		},
		"lease got back is verified": {
			regainedLease, options{hosts: 3, targets: 4}, func(o *options) { o.knobs.leaseUnverified = true },
		},
		"lease counts from sending": {
			pausedInCall, options{hosts: 3, targets: 4}, func(o *options) { o.knobs.leaseFromAnswer = true },
		},
		"read the store first": {
			unreadBacker, options{hosts: 3, targets: 4}, func(o *options) { o.knobs.standbyUnread = true },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			play := func(o options) int {
				failed := 0
				for seed := uint64(1); seed <= seeds; seed++ {
					o.seed, o.calm, o.length = seed, true, time.Hour
					w := newWorld(o)
					tt.script(w)
					w.until(w.now + 20*time.Second)
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
