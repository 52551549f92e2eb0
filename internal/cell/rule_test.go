package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

// TestRulesBite plays scripts that random runs reach too seldom: each is safe
// as it is, and doubles an owner once its rule is broken.
func TestRulesBite(t *testing.T) {
	const seeds = 30
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
		"removed hosts count": {
			droppedBackers,
			options{hosts: 3, targets: 4, unfenced: true, termless: true},
			func(o *options) { o.knobs.forgetRemoved = true },
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
