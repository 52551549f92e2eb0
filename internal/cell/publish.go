package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/table"
)

// publish publishes the routing table after each change, if this host leads.
func (c *Cell) publish() {
	if !c.leading() || !c.tableChanged {
		return
	}
	c.tableChanged = false
	c.tableSequence++
	c.emit(Publish{Table: c.table()})
}

// table returns the routing table. It names the owners of routable rows only.
func (c *Cell) table() table.Table {
	t := table.Table{
		Service: c.cfg.ID.Service, Zone: c.cfg.ID.Zone,
		Version: table.Version{Term: c.doc.Term, Sequence: c.tableSequence},
		Leader:  c.cfg.Self, LeaderAddr: c.cfg.SelfAddr, Shards: c.cfg.Shards,
		Targets: make([]table.Target, 0, len(c.doc.Targets)),
		Rows:    make([]table.Row, 0, len(c.doc.Rows)),
	}
	for _, d := range c.doc.Targets {
		t.Targets = append(t.Targets, table.Target{Name: d.Target, Addr: d.Addr, Leaving: d.Leaving, WarmupStart: d.Since})
	}
	for i := range c.doc.Rows {
		r := c.currentRow(i)
		row := table.Row{Shard: r.Shard, Epoch: r.Epoch, Owner: table.NoOwner}
		if c.rows[i].routable && r.Owner != NoTarget {
			row.Owner = table.TargetIndex(r.Owner)
		}
		t.Rows = append(t.Rows, row)
	}
	for _, s := range c.doc.SingleKeys {
		t.SingleKeys = append(t.SingleKeys, table.SingleKey{Hash: s.Hash, Shard: s.Shard})
	}
	return t
}

// Status is the status of a cell as one host sees it, for operators.
type Status struct {
	ID        ID
	Role      string
	Term      grant.Term
	Leader    place.Host
	Roster    []place.Host
	Removed   []RemovedHost
	LeaseHeld bool
	// MayRenew is true if this host may renew grants now.
	MayRenew bool
	// SinceStoreContact is the time since the last call was sent to which the store
	// responded, or zero if there was none.
	SinceStoreContact time.Duration
	Promises          []PromiseStatus
	Targets           []TargetStatus
	Rows              int
	Blocked           []BlockedShard
	Releasing         []key.Shard
	Activations       []Activation
	Moves             []Move
	Ceded             []CededShard
	SingleKeys        int
}

// PromiseStatus is the promise of a peer to this host.
type PromiseStatus struct {
	Host      place.Host
	Remaining time.Duration
	OnRoster  bool
}

// TargetStatus is the status of a target as this host sees it.
type TargetStatus struct {
	Target      place.Target
	Rows        int
	RespondedAt time.Time
	Leaving     bool
}

// BlockedShard is a shard that can get no owner yet, as its holder is unknown.
type BlockedShard struct {
	Shard  key.Shard
	Owner  place.Target
	Reason string
}

// Status returns the status of the cell as this host sees it.
func (c *Cell) Status(now time.Time) Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role.String(), Term: c.doc.Term, Leader: c.doc.Leader,
		Roster: c.doc.Roster, Removed: c.doc.Removed,
		LeaseHeld: c.leading() && now.Before(c.lease.until),
		MayRenew:  (c.leading() || c.role == deputy) && c.mayRenew(),
		Rows:      len(c.doc.Rows), Moves: c.doc.Moves, Ceded: c.doc.Ceded, SingleKeys: len(c.doc.SingleKeys),
	}
	if !c.lease.contactAt.IsZero() {
		s.SinceStoreContact = now.Sub(c.lease.contactAt)
	}
	for _, p := range c.peers {
		s.Promises = append(s.Promises, PromiseStatus{Host: p.host, Remaining: max(p.promiseEnd.Sub(now), 0), OnRoster: p.onRoster})
	}
	for i, t := range c.targets {
		s.Targets = append(s.Targets, TargetStatus{Target: t.target, RespondedAt: t.respondedAt, Leaving: c.doc.Targets[i].Leaving})
	}
	c.addRowStatus(&s)
	return s
}

func (c *Cell) addRowStatus(s *Status) {
	for i := range c.rows {
		r, state := c.currentRow(i), &c.rows[i]
		if r.Owner != NoTarget {
			s.Targets[r.Owner].Rows++
		}
		if state.releasing {
			s.Releasing = append(s.Releasing, r.Shard)
		}
		if state.activation != nil {
			s.Activations = append(s.Activations, *state.activation)
		}
		if state.holderUnknown && r.Owner != NoTarget {
			s.Blocked = append(s.Blocked, BlockedShard{Shard: r.Shard, Owner: c.targets[r.Owner].target, Reason: c.blockedReason(i)})
		}
	}
}

// blockedReason returns the reason of a blocked shard. The status report has it in its
// JSON, so the texts are fixed.
func (c *Cell) blockedReason(i int) string {
	r := c.doc.Rows[i]
	switch c.resolve(i).kind {
	case awaitOwner:
		return "owner " + string(c.targets[r.Owner].target) + " was not reached since the change of lead"
	case awaitStandby:
		return "standby " + string(c.targets[r.Standby].target) + " was not reached since the change of lead"
	}
	return "to be recorded"
}
