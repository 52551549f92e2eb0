package cell

import (
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
)

// write is the pending compare-and-swap of the document, at most one at a time.
//
// After a lost response, the same write is retried until its outcome is known. A
// read that returns the old revision does not show that it failed: the first
// attempt may still be in flight and be committed later.
type write struct {
	pending bool
	doc     Doc
	expect  platform.Revision
	// proposedAt is when the first attempt was sent, sentAt the last one.
	proposedAt, sentAt time.Time
	// inFlight is true while the last attempt has no outcome.
	inFlight bool
	// uncertain is true if an earlier attempt may have been committed.
	uncertain bool
	// changedShards holds the shards whose owner or epoch the write changes. They
	// are neither granted nor extended while it is pending.
	changedShards map[key.Shard]struct{}
}

// propose writes doc as the next revision of the document.
func (c *Cell) propose(doc Doc) {
	c.writes++
	doc.ID = c.cfg.ID
	doc.WriteID = fmt.Sprintf("%s/%d/%d", c.cfg.Self, c.cfg.Incarnation, c.writes)
	if c.hasDoc && !c.checkTransition(&c.doc, &doc) {
		return
	}
	c.write = write{pending: true, doc: doc, expect: c.revision, proposedAt: c.now, changedShards: changedShards(&c.doc, &doc)}
	c.sendWrite()
}

func (c *Cell) sendWrite() {
	c.write.sentAt = c.now
	c.write.inFlight = true
	c.emit(WriteDoc{Doc: c.write.doc.clone(), Expect: c.write.expect})
}

// retryWrite retries a write whose outcome is unknown.
func (c *Cell) retryWrite() {
	w := &c.write
	if !w.pending {
		return
	}
	if w.inFlight {
		if c.now.Sub(w.sentAt) < callTimeout {
			return
		}
		w.inFlight = false
		w.uncertain = true
	}
	if c.now.Sub(w.sentAt) >= writeRetryDelay {
		c.sendWrite()
		c.readDoc()
	}
}

func (c *Cell) handleWrite(ev WriteDone) {
	w := &c.write
	if !w.pending || ev.WriteID != w.doc.WriteID {
		return
	}
	switch ev.Result {
	case WriteCommitted:
		c.writeCommitted(ev.Revision)
	case WriteConflict:
		w.inFlight = false
		if !w.uncertain {
			c.dropWrite()
		}
		c.readDoc()
	case WriteUnknown:
		w.inFlight = false
		w.uncertain = true
		if c.mutations.assumeWriteFailed {
			c.dropWrite()
		}
		c.readDoc()
	case WriteUnavailable:
		w.inFlight = false
		if !w.uncertain {
			c.dropWrite()
		}
	}
}

// writeCommitted adopts the document of the pending write, which was committed.
func (c *Cell) writeCommitted(revision platform.Revision) {
	doc, proposed := c.write.doc, c.write.proposedAt
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
		c.becomeLeader()
	case c.role == leader && doc.Term != c.term:
		c.adoptRoster()
	}
}

// dropWrite drops a write that certainly failed. A campaign has to read the
// document again before it goes on.
func (c *Cell) dropWrite() {
	c.write = write{}
	c.campaign.docRead = false
}

// handleDoc adopts a newer document, which may show the outcome of the pending
// write.
func (c *Cell) handleDoc(ev DocReceived) {
	if ev.FromStore {
		c.readStore = true
		c.campaign.docRead = true
		c.docAbsent = !ev.Exists && !c.hasDoc
	}
	if !ev.Exists {
		return
	}
	if c.write.pending && ev.Doc.WriteID == c.write.doc.WriteID {
		c.writeCommitted(ev.Revision)
		return
	}
	if c.hasDoc && ev.Revision <= c.revision || !c.checkTerm(&ev.Doc) {
		return
	}
	if c.write.pending && ev.Revision > c.write.expect {
		c.dropWrite()
	}
	higher := ev.Doc.Term > c.doc.Term || !c.hasDoc
	if c.leading() && !higher {
		c.logf("Document changed by another writer.")
	}
	if c.leading() || c.role == deputy && higher {
		c.stepDown("newer document read")
	}
	c.adopt(ev.Doc.clone(), ev.Revision)
}

// readDoc asks for the document, at most once per readInterval.
func (c *Cell) readDoc() {
	if !c.readAskedAt.IsZero() && c.now.Sub(c.readAskedAt) < readInterval {
		return
	}
	c.readAskedAt = c.now
	c.emit(ReadDoc{})
}

// requestLease asks to acquire or renew the lease, one call at a time.
func (c *Cell) requestLease(interval time.Duration) {
	l := &c.lease
	if l.pending && c.now.Sub(l.askedAt) < callTimeout {
		return
	}
	if !l.askedAt.IsZero() && c.now.Sub(l.askedAt) < interval {
		return
	}
	l.pending = true
	l.askedAt = c.now
	c.emit(AcquireLease{TTL: c.cfg.Timing.LeaseTTL})
}

// handleLease records the outcome of a lease call. It counts the lease from when the
// call was sent, as the lease may already have expired when a paused process gets
// the response.
func (c *Cell) handleLease(ev LeaseDone) {
	l := &c.lease
	l.pending = false
	if !ev.Reached {
		return
	}
	l.heldByOther = !ev.Held
	l.contactAt = latest(l.contactAt, ev.SentAt)
	from := ev.SentAt
	if c.mutations.leaseFromResponse {
		from = c.now
	}
	if ev.Held {
		l.renewedAt = latest(l.renewedAt, ev.SentAt)
		if l.until.Before(ev.SentAt) {
			l.start, l.verified = c.now, false
		}
		l.until = latest(l.until, from.Add(c.subtractDrift(c.cfg.Timing.LeaseTTL)))
		return
	}
	l.until, l.verified = time.Time{}, false
}

// verifyLease writes the document, unchanged but for activations, to verify that no
// other host has led since the lease was interrupted. It also makes every write of
// another host fail that is still in flight.
func (c *Cell) verifyLease() {
	if c.lease.verified || !c.now.Before(c.lease.until) || c.write.pending || c.mutations.skipLeaseCheck {
		return
	}
	d := c.newDraft()
	c.recordActivations(d)
	c.propose(d.doc)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// changedShards returns the shards of from that have another owner or epoch, or no row,
// in to.
func changedShards(from, to *Doc) map[key.Shard]struct{} {
	changed := make(map[key.Shard]struct{})
	for _, r := range from.Rows {
		i := to.rowIndex(r.Shard)
		if i < 0 || to.Rows[i].Owner != r.Owner || to.Rows[i].Epoch != r.Epoch {
			changed[r.Shard] = struct{}{}
		}
	}
	return changed
}

// adopt makes doc the current document and keeps the states of its rows, targets
// and peers.
func (c *Cell) adopt(doc Doc, revision platform.Revision) {
	old := c.doc
	c.doc, c.revision, c.hasDoc, c.docAbsent = doc, revision, true, false
	c.alignTargets(&old)
	c.alignRows(&old)
	c.alignPeers()
	c.tableChanged, c.listsChanged = true, true
}
