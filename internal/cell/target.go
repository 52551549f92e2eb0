package cell

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// targetState is what this host knows of one target. The table is aligned to
// Doc.Targets.
type targetState struct {
	target place.Target
	addr   netip.AddrPort

	incarnation place.Incarnation
	// clock is the newest reading of the target's clock, which came at clockAt.
	clock   grant.Stamp
	clockAt time.Time
	// anchored is when the newest reading came that an order relied on.
	anchored time.Time
	// accepted is the highest term of an order that this life accepted.
	accepted grant.Term
	answered time.Time // newest answer
	asked    time.Time // when the order of the newest answer was sent
	sent     time.Time
	flying   bool
	due      time.Time
	digest   uint64
	draining bool // by its own word
	leaving  bool // by any list or word
	lost     bool // declared lost
	lostAt   time.Time
	refuted  bool // it answered an order sent after lostAt

	// The newest whole inventory, of an order sent at inventoryAt at
	// inventoryTerm. Zero term: none since this host took the lead.
	inventoryTerm grant.Term
	inventoryAt   time.Time
	held          []grant.ShardEpoch
	floors        []grant.ShardEpoch
}

// taken forgets what an answer to an earlier term proved.
func (t *targetState) taken() {
	t.inventoryTerm = 0
	t.flying = false
	t.due = time.Time{}
}

// holds returns the epoch of the shard in the newest inventory; zero for none.
func (t *targetState) holds(shard key.Shard) grant.Epoch { return epochIn(t.held, shard) }

// floor returns the lowest epoch that the target still accepts for the shard,
// as far as its newest inventory tells.
func (t *targetState) floor(shard key.Shard) grant.Epoch { return epochIn(t.floors, shard) }

func epochIn(list []grant.ShardEpoch, shard key.Shard) grant.Epoch {
	i, found := slices.BinarySearchFunc(list, shard, func(h grant.ShardEpoch, s key.Shard) int {
		return cmp.Compare(h.Shard, s)
	})
	if !found {
		return 0
	}
	return list[i].Epoch
}

// alignTargets carries the states over to the rows of the new document.
func (c *Cell) alignTargets(old *Doc) {
	states := make([]targetState, len(c.doc.Targets))
	for i, t := range c.doc.Targets {
		states[i] = targetState{target: t.Target, addr: t.Addr}
		j := old.targetOf(t.Target)
		if t.Target != "" && j != NoTarget && int(j) < len(c.targets) {
			states[i] = c.targets[j]
			states[i].addr = t.Addr
		}
	}
	c.targets = states
}

// targetOf returns the index of a member target, or NoTarget.
func (d *Doc) targetOf(name place.Target) TargetIndex {
	i := slices.IndexFunc(d.Targets, func(t TargetDoc) bool { return t.Target == name })
	if i < 0 {
		return NoTarget
	}
	return TargetIndex(i)
}

func (c *Cell) targetLost(name place.Target) (Lost, bool) {
	i := slices.IndexFunc(c.lost, func(l Lost) bool { return l.Target != "" && l.Target == name })
	if i < 0 {
		return Lost{}, false
	}
	return c.lost[i], true
}

// answering reports whether the target answered in the last renewals.
func (c *Cell) answering(t *targetState) bool {
	return !t.answered.IsZero() && c.now.Sub(t.answered) < 2*c.cfg.Timing.Renew+c.cfg.Timing.Renew/2
}

// eligible reports whether the target may get shards.
func (c *Cell) eligible(i TargetIndex) bool {
	t := &c.targets[i]
	if t.target == "" || !c.answering(t) || t.inventoryTerm != c.term || c.leavingNow(i) {
		return false
	}
	return true
}

// judgeLists works out what the lists say of each target and row, once after
// each change.
func (c *Cell) judgeLists() {
	if !c.unjudged {
		return
	}
	c.unjudged = false
	for i := range c.targets {
		t := &c.targets[i]
		was := t.lost
		_, t.lost = c.targetLost(t.target)
		if t.lost && !was {
			t.lostAt, t.refuted = c.now, false
		}
		row := c.fleetRow(t.target)
		listed := row != nil && row.State == place.Leaving
		t.leaving = t.lost || listed || t.draining || slices.Contains(c.drains, t.target)
	}
	for i := range c.rows {
		c.rows[i].away = !c.keeps(c.doc.Rows[i].Shard)
	}
}

// leavingNow reports whether the platform's list, an operator or the target
// itself says that it leaves.
func (c *Cell) leavingNow(i TargetIndex) bool { return c.targets[i].leaving }

func (c *Cell) fleetRow(name place.Target) *place.TargetRow {
	for i := range c.fleet.Targets {
		r := &c.fleet.Targets[i]
		if r.Target == name && r.Zone == c.cfg.ID.Zone && r.Service == string(c.cfg.ID.Service) {
			return r
		}
	}
	return nil
}

// takeOrder records a target's answer. Answers to orders sent before the one
// of the newest answer are too late to tell anything.
func (c *Cell) takeOrder(ev OrderDone) {
	i := c.doc.targetOf(ev.Target)
	if ev.Target == "" || i == NoTarget {
		return
	}
	t := &c.targets[i]
	if !ev.SentAt.Before(t.sent) {
		t.flying = false
	}
	if !ev.Reached || !ev.SentAt.After(t.asked) || ev.Answer.Target != ev.Target {
		return
	}
	a := &ev.Answer
	if a.Incarnation != t.incarnation {
		c.newIncarnation(t, a.Incarnation)
	}
	t.asked, t.answered = ev.SentAt, c.now
	t.clock, t.clockAt = a.Clock, c.now
	c.unjudged = c.unjudged || t.draining != a.Draining
	t.draining = a.Draining
	t.digest = a.Digest
	t.refuted = t.refuted || t.lost && ev.SentAt.After(t.lostAt)
	t.accepted = max(t.accepted, a.Term)
	c.superseded(a.Term, string(ev.Target))
	if c.role == leader && a.Accepted {
		c.takeAccepted(i, ev)
	}
}

// takeAccepted records what an answer proves to the lead of the term.
func (c *Cell) takeAccepted(i TargetIndex, ev OrderDone) {
	t := &c.targets[i]
	if ev.SentAt.Before(c.leadSince) || c.cfg.ChecksTerms && ev.Answer.Term != c.term {
		return
	}
	if ev.Answer.Full {
		t.held, t.floors = sorted(ev.Answer.Held), sorted(ev.Answer.Floors)
		t.inventoryAt = ev.SentAt
		if t.inventoryTerm != c.term {
			t.inventoryTerm = c.term
			t.due = c.now
		}
		c.maintainDue = c.now
	}
	c.confirm(i)
}

// newIncarnation forgets what an earlier life of the target had accepted.
func (c *Cell) newIncarnation(t *targetState, life place.Incarnation) {
	if t.incarnation != 0 {
		c.logf("Target %s restarted.", t.target)
	}
	t.incarnation = life
	t.accepted = 0
	t.inventoryTerm = 0
	t.held, t.floors = nil, nil
	t.due = c.now
}

// sorted returns a copy of a list from outside, sorted by shard.
func sorted(list []grant.ShardEpoch) []grant.ShardEpoch {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b grant.ShardEpoch) int { return cmp.Compare(a.Shard, b.Shard) })
	return out
}
