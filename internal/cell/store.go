package cell

import (
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
)

// write is the one compare-and-swap that may be under way.
//
// Once an answer was lost, the same write is sent again until its outcome is
// known. Taking it for failed after a read that shows the old revision would
// be wrong: the lost call may still be on its way, and land later.
type write struct {
	pending bool
	doc     Doc
	expect  platform.Revision
	// proposed is when the first attempt was sent, sent the newest.
	proposed, sent time.Time
	// flying tells that no outcome of the newest attempt has come back.
	flying bool
	// unknown tells that an earlier attempt may have taken effect.
	unknown bool
	// changed holds the shards whose owner or epoch the write changes: they
	// are neither granted nor extended meanwhile.
	changed map[key.Shard]struct{}
}

// propose sends the document as the next revision.
func (c *Cell) propose(doc Doc) {
	c.writes++
	doc.ID = c.cfg.ID
	doc.WriteID = fmt.Sprintf("%s/%d/%d", c.cfg.Self, c.cfg.Incarnation, c.writes)
	if c.hasDoc && !c.checkStep(&c.doc, &doc) {
		return
	}
	c.write = write{pending: true, doc: doc, expect: c.revision, proposed: c.now, changed: changedShards(&c.doc, &doc)}
	c.sendWrite()
}

func (c *Cell) sendWrite() {
	c.write.sent = c.now
	c.write.flying = true
	c.emit(WriteDoc{Doc: c.write.doc.clone(), Expect: c.write.expect})
}

// resendWrite repeats a write whose outcome is not known.
func (c *Cell) resendWrite() {
	w := &c.write
	if !w.pending {
		return
	}
	if w.flying {
		if c.now.Sub(w.sent) < callTimeout {
			return
		}
		w.flying = false
		w.unknown = true
	}
	if c.now.Sub(w.sent) >= writeRetry {
		c.sendWrite()
		c.read()
	}
}

func (c *Cell) takeWrite(ev WriteDone) {
	w := &c.write
	if !w.pending || ev.WriteID != w.doc.WriteID {
		return
	}
	switch ev.Result {
	case WriteWon:
		c.won(ev.Revision)
	case WriteConflict:
		w.flying = false
		if !w.unknown {
			c.lostWrite()
		}
		c.read()
	case WriteUnknown:
		w.flying = false
		w.unknown = true
		if c.knobs.assumeLost {
			c.lostWrite()
		}
		c.read()
	case WriteUnavailable:
		w.flying = false
		if !w.unknown {
			c.lostWrite()
		}
	}
}

// won adopts the pending write as committed.
func (c *Cell) won(revision platform.Revision) {
	doc, proposed := c.write.doc, c.write.proposed
	c.write = write{}
	if !proposed.Before(c.lease.start) && c.now.Before(c.lease.until) {
		c.lease.verified = true
	}
	if revision < c.revision {
		return
	}
	c.adopt(doc, revision)
	switch {
	case c.role == candidate:
		c.becomeLead()
	case c.role == leader && doc.Term != c.term:
		c.adoptRoster()
	}
}

// lostWrite drops a write that certainly failed. A campaign reads again first.
func (c *Cell) lostWrite() {
	c.write = write{}
	c.campaign.fresh = false
}

// takeDoc adopts a newer document and resolves a pending write by it.
func (c *Cell) takeDoc(ev DocSeen) {
	if ev.FromStore {
		c.readStore = true
		c.campaign.fresh = true
		c.absent = !ev.Exists && !c.hasDoc
	}
	if !ev.Exists {
		return
	}
	if c.write.pending && ev.Doc.WriteID == c.write.doc.WriteID {
		c.won(ev.Revision)
		return
	}
	if c.hasDoc && ev.Revision <= c.revision || !c.checkTerm(&ev.Doc) {
		return
	}
	if c.write.pending && ev.Revision > c.write.expect {
		c.lostWrite()
	}
	higher := ev.Doc.Term > c.doc.Term || !c.hasDoc
	if c.leading() && !higher {
		c.logf("Document changed by another writer.")
	}
	if c.leading() || c.role == deputy && higher {
		c.stepDown("a newer document was read")
	}
	c.adopt(ev.Doc.clone(), ev.Revision)
}

// read asks for the document, at most once in readEvery.
func (c *Cell) read() {
	if !c.readAsked.IsZero() && c.now.Sub(c.readAsked) < readEvery {
		return
	}
	c.readAsked = c.now
	c.emit(ReadDoc{})
}

// askLease takes or renews the lease, one call at a time.
func (c *Cell) askLease(every time.Duration) {
	l := &c.lease
	if l.pending && c.now.Sub(l.asked) < callTimeout {
		return
	}
	if !l.asked.IsZero() && c.now.Sub(l.asked) < every {
		return
	}
	l.pending = true
	l.asked = c.now
	c.emit(AcquireLease{TTL: c.cfg.Timing.Lease})
}

// takeLease counts the lease from before the call was sent: after a pause in
// between, the lease may have ended already.
func (c *Cell) takeLease(ev LeaseDone) {
	l := &c.lease
	l.pending = false
	if !ev.Reached {
		return
	}
	l.taken = !ev.Held
	l.contact = latest(l.contact, ev.SentAt)
	from := ev.SentAt
	if c.knobs.leaseFromAnswer {
		from = c.now
	}
	if ev.Held {
		l.held = latest(l.held, ev.SentAt)
		if l.until.Before(ev.SentAt) {
			l.start, l.verified = c.now, false
		}
		l.until = latest(l.until, from.Add(c.shorter(c.cfg.Timing.Lease)))
		return
	}
	l.until, l.verified = time.Time{}, false
}

// verifyLease writes the document unchanged, but for activated standbys. It
// also makes any write of another host that is still on its way fail.
func (c *Cell) verifyLease() {
	if c.lease.verified || !c.now.Before(c.lease.until) || c.write.pending || c.knobs.leaseUnverified {
		return
	}
	d := c.newDraft()
	c.saveActivations(d)
	c.propose(d.doc)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// changedShards returns the shards whose owner or epoch differs.
func changedShards(from, to *Doc) map[key.Shard]struct{} {
	changed := make(map[key.Shard]struct{})
	for _, r := range from.Rows {
		i := to.rowOf(r.Shard)
		if i < 0 || to.Rows[i].Owner != r.Owner || to.Rows[i].Epoch != r.Epoch {
			changed[r.Shard] = struct{}{}
		}
	}
	return changed
}

// adopt makes doc the one in force and carries the states of its rows and
// targets over by their names.
func (c *Cell) adopt(doc Doc, revision platform.Revision) {
	old := c.doc
	c.doc, c.revision, c.hasDoc, c.absent = doc, revision, true, false
	c.alignTargets(&old)
	c.alignRows(&old)
	c.alignMates()
	c.dirty, c.unjudged = true, true
}
