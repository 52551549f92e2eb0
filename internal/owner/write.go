package owner

import (
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// writeRetryDelay is the delay after a failed write: each call is billed, and store
// outages last for seconds.
const writeRetryDelay = 200 * time.Millisecond

// writeDoc records the new owners of free ranges in the store, all in one write, clears the
// flags of the document that no longer hold, and takes the next term if that is needed.
func (c *Core) writeDoc(now time.Time) {
	clearFlags := c.docFlagged && !now.Before(later(later(c.priorMayRenewUntil, c.priorInTransitUntil), c.frozenUntil))
	if c.pending != nil || !c.writeDue(now) && !clearFlags && !c.needsTerm() || now.Sub(c.writeRefusedAt) < writeRetryDelay {
		return
	}
	c.docFlagged = c.docFlagged && !clearFlags
	for _, r := range c.rows {
		if c.placeable(now, r) {
			r.state = writing
		}
	}
	doc := c.Doc(now)
	if c.needsTerm() {
		doc.Term = c.nextTerm()
	}
	for i, r := range c.rows {
		if r.state == writing {
			t := c.targetRows[r.to]
			doc.Rows[i] = Row{Range: r.Range, Target: r.to, Incarnation: t.Incarnation, Addr: t.Addr, Handover: r.Handover}
		}
	}
	c.pending = &doc
	c.emit(WriteDoc{Doc: doc, Expect: c.revision})
}

// placeable reports whether a range can be given to its next owner.
func (c *Core) placeable(now time.Time, r *row) bool {
	return r.state == free && r.to != "" && c.usable(now, r.to)
}

// writeDue reports whether there is something to write that should not wait.
func (c *Core) writeDue(now time.Time) bool {
	ready, due, releases := false, false, false
	for _, r := range c.rows {
		if c.placeable(now, r) {
			ready = true
			due = due || now.Sub(r.since) >= c.cfg.WriteBatchDelay
		}
		releases = releases || r.state == releasing
	}
	return ready && (due || !releases)
}

// Written records that the document has been written.
func (c *Core) Written(now time.Time, e WriteDoc, revision platform.Revision) {
	if !c.leading || c.pending == nil || c.pending.WriteID != e.Doc.WriteID {
		return
	}
	c.pending, c.revision = nil, revision
	if e.Doc.Term > c.term {
		c.takeTerm(e.Doc.Term)
	}
	for _, r := range c.rows {
		if r.state != writing {
			continue
		}
		for _, w := range e.Doc.Rows {
			if w.Range.Covers(r.Range) {
				w.Range = r.Range
				if w.Handover == "" && r.Target != "" && w.Target != r.Target {
					r.warmAt = now.Add(c.warmup)
				}
				r.Row = w
			}
		}
		r.state, r.to, r.since = held, "", now
		// An owner that accepts no grant by then holds nothing.
		r.expiresBy, r.heldUntil = now.Add(c.cfg.FirstGrantTimeout), now.Add(c.cfg.FirstGrantTimeout)
		c.targetConn(r.Target)
		c.note(now, "New owner recorded.", r, r.Target)
	}
}

// NotWritten records that the document has certainly not been written.
func (c *Core) NotWritten(now time.Time, e WriteDoc) {
	if !c.leading || c.pending == nil || c.pending.WriteID != e.Doc.WriteID {
		return
	}
	c.pending, c.writeRefusedAt = nil, now
	for _, r := range c.rows {
		if r.state == writing {
			r.state = free
		}
	}
}

// WriteConflict records that another write came first. If this one is still pending,
// another host is the leader, and this one steps down.
func (c *Core) WriteConflict(e WriteDoc) {
	if c.leading && c.pending != nil && c.pending.WriteID == e.Doc.WriteID {
		c.StepDown()
	}
}
