package cell

import (
	"slices"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const storeName = "store"

func (w *sim) storeReachable(h *simHost) bool { return w.storeUp && w.linked(h.name, storeName) }

func (w *sim) storeDelay() time.Duration {
	if w.storeSlow {
		return time.Duration(1000+w.rng.IntN(4000)) * time.Millisecond
	}
	return w.delay()
}

// callStore makes a call: apply runs at the store, then done or failed at the host.
// The argument of failed is true if the call may have taken effect.
func (w *sim) callStore(h *simHost, apply, done func(), failed func(unknown bool)) {
	inc := h.incarnation
	if !w.storeReachable(h) {
		w.after(w.delay(), func() {
			if failed != nil && h.incarnation == inc {
				failed(w.rng.IntN(4) == 0)
			}
		})
		return
	}
	timeout := simCallTimeout
	if w.storeSlow {
		timeout = 12 * time.Second
	}
	finished := false
	w.after(w.storeDelay(), func() {
		if !w.storeUp {
			return
		}
		apply()
		if !w.noFaults && w.rng.IntN(20) == 0 {
			return // the response is lost
		}
		w.after(w.storeDelay(), func() {
			if finished || h.incarnation != inc || !w.linked(h.name, storeName) {
				return
			}
			finished = true
			if done != nil {
				done()
			}
		})
	})
	w.after(timeout, func() {
		if !finished && failed != nil && h.incarnation == inc {
			finished = true
			failed(true)
		}
	})
}

func (w *sim) readDoc(h *simHost) {
	var read DocReceived
	inc := h.incarnation
	w.callStore(h, func() {
		read = DocReceived{Exists: w.docRevision != 0, FromStore: true, Doc: w.doc.clone(), Revision: w.docRevision}
	}, func() { w.handle(h, inc, read) }, nil)
}

func (w *sim) writeDoc(h *simHost, e WriteDoc) {
	inc := h.incarnation
	result := WriteDone{WriteID: e.Doc.WriteID}
	w.callStore(h, func() { w.commit(h, e, &result) }, func() { w.handle(h, inc, result) }, func(unknown bool) {
		result.Result = WriteUnavailable
		if unknown {
			w.stats.uncertain++
			result.Result = WriteUnknown
		}
		w.handle(h, inc, result)
	})
}

func (w *sim) commit(h *simHost, e WriteDoc, result *WriteDone) {
	if w.docRevision != e.Expect {
		result.Result = WriteConflict
		return
	}
	if err := transitionError(&w.doc, &e.Doc); err != nil && w.docRevision != 0 {
		w.failf("%s wrote a document that violates an invariant: %v", h.name, err)
	}
	w.recordDoc(&e.Doc)
	data, err := EncodeDoc(e.Doc)
	if err != nil {
		w.failf("encode: %v", err)
		return
	}
	decoded, err := DecodeDoc(data)
	if err != nil {
		w.failf("decode: %v", err)
		return
	}
	w.revision++
	w.doc, w.docRevision = decoded, w.revision
	result.Result, result.Revision = WriteCommitted, w.revision
	w.tracef("%s commits rev %d term %d roster %v removed %v rows %v", h.name, w.docRevision, w.doc.Term, w.doc.Roster, w.doc.Removed, w.doc.Rows)
}

// recordDoc records what the checks of the simulation need of a committed document.
func (w *sim) recordDoc(next *Doc) {
	if next.Term > w.doc.Term {
		w.stats.terms++
	}
	if !slices.Equal(next.Roster, w.doc.Roster) {
		w.stats.rosterChanges++
	}
	for _, r := range next.Rows {
		if i := w.doc.rowIndex(r.Shard); i >= 0 && w.doc.Rows[i].Owner != r.Owner {
			w.stats.moves++
		}
	}
	for _, s := range next.SingleKeys {
		if _, known := w.singleKeys[s.Hash]; !known || w.singleKeys[s.Hash].SplitEpoch < s.SplitEpoch {
			w.stats.splits++
			w.singleKeys[s.Hash] = s
			delete(w.merged, s.Hash)
		}
	}
	for _, s := range w.doc.SingleKeys {
		i, j := w.doc.rowIndex(s.Parent), next.rowIndex(s.Parent)
		if !isSingleKey(next, s.Shard) && i >= 0 && j >= 0 {
			w.stats.merges++
			w.merged[s.Hash] = next.Rows[j].Epoch
			w.after(0, w.checkTargets)
		}
	}
	for _, c := range next.Ceded {
		if _, isCeded := w.ceded[c.Shard]; isCeded || slices.ContainsFunc(w.doc.Ceded, func(o CededShard) bool { return o.Shard == c.Shard }) {
			continue
		}
		w.stats.ceded++
		w.tracef("shard %d is ceded at floor %d", c.Shard, c.Floor)
		w.ceded[c.Shard] = c.Floor
		for hash, s := range w.singleKeys {
			if s.Parent == c.Shard {
				w.merged[hash] = c.Floor
			}
		}
		w.checkCeded(c.Shard)
	}
}

func (w *sim) acquireLease(h *simHost) {
	inc := h.incarnation
	sent := h.at(w.now)
	var held bool
	w.callStore(h, func() {
		now := w.storeClock.at(w.now)
		host := place.Host(h.name)
		if w.leaseHolder == host || !now.Before(w.leaseEnd) {
			w.leaseHolder, w.leaseEnd = host, now.Add(DefaultTiming().LeaseTTL)
		}
		held = w.leaseHolder == host
	}, func() {
		w.handle(h, inc, LeaseDone{SentAt: sent, Reached: true, Held: held})
	}, func(bool) {
		w.handle(h, inc, LeaseDone{SentAt: sent})
	})
}

func (w *sim) sendPeer(h *simHost, e SendPeer) {
	data, err := EncodeMessage(e.Message)
	if err != nil {
		w.failf("encode: %v", err)
		return
	}
	for _, to := range w.hosts {
		if place.Host(to.name) != e.To || !w.linked(h.name, to.name) {
			continue
		}
		inc := to.incarnation
		w.after(w.delay(), func() {
			m, err := DecodeMessage(data)
			if err != nil {
				w.failf("decode: %v", err)
				return
			}
			if w.linked(h.name, to.name) {
				w.handle(to, inc, PeerReceived{From: place.Host(h.name), Message: m})
			}
		})
	}
}

func (w *sim) sendOrder(h *simHost, e SendOrder) {
	inc := h.incarnation
	sent := h.at(w.now)
	finished := false
	finish := func(ev OrderDone) {
		ev.Target, ev.SentAt = e.Target, sent
		w.handle(h, inc, ev)
	}
	w.after(simCallTimeout, func() {
		if !finished {
			finished = true
			finish(OrderDone{})
		}
	})
	t := w.targetAt(e)
	if t == nil || !w.linked(h.name, t.name) {
		return
	}
	w.after(w.delay(), func() {
		if !w.linked(h.name, t.name) {
			return
		}
		w.deliverOrder(t, e.Order, func(r grant.Response) {
			w.after(w.delay(), func() {
				if w.linked(h.name, t.name) && (!finished || w.rng.IntN(2) == 0) {
					finished = true
					finish(OrderDone{Reached: true, Response: r})
				}
			})
		})
	})
}

func (w *sim) targetAt(e SendOrder) *simTarget {
	for _, t := range w.targets {
		if t.addr == e.Addr {
			return t
		}
	}
	return nil
}

// deliverOrder delivers an order to a target, after its pause if it is frozen.
func (w *sim) deliverOrder(t *simTarget, o grant.Order, respond func(grant.Response)) {
	if t.down {
		return
	}
	if w.now < t.pausedUntil {
		t.deferred = append(t.deferred, func() { w.deliverOrder(t, o, respond) })
		return
	}
	now := t.clockStamp(w.now)
	if w.anchorAtArrival {
		o.Anchor = now
	}
	r := t.holdings.Apply(now, o)
	if w.hideTerms {
		r.Term = 0
	}
	w.checkDuplicates(t, o)
	respond(r)
}

// checkDuplicates fails the run if the target and another one hold the same shard or
// hot key, or if the target holds a ceded shard. As ownership begins only with an
// order, no duplicate owner is missed if the check runs after each order.
func (w *sim) checkDuplicates(t *simTarget, o grant.Order) {
	for _, held := range t.holdings.List(t.clockStamp(w.now)) {
		if floor, isCeded := w.ceded[held.Shard]; isCeded {
			w.failf("%s holds shard %d at %d, which is ceded at floor %d", t.name, held.Shard, held.Epoch, floor)
		}
		for _, other := range w.targets {
			if other == t || other.down {
				continue
			}
			for _, otherHeld := range other.holdings.List(other.clockStamp(w.now)) {
				if otherHeld.Shard == held.Shard {
					w.failf("duplicate owner of shard %d: %s at %d until +%v, %s at %d; order of term %d", held.Shard, t.name, held.Epoch,
						time.Duration(held.End-t.clockStamp(w.now)), other.name, otherHeld.Epoch, o.Term)
				}
				w.checkSingleKeys(t, held.ShardEpoch, other, otherHeld.ShardEpoch)
			}
		}
	}
}

func (w *sim) checkSingleKeys(t *simTarget, held grant.ShardEpoch, other *simTarget, otherHeld grant.ShardEpoch) {
	for hash := range w.singleKeys {
		if w.covers(held, hash) && w.covers(otherHeld, hash) {
			w.failf("duplicate owner of a hot key of shard %d: %s by %v, %s by %v", w.singleKeys[hash].Parent, t.name, held, other.name, otherHeld)
		}
	}
}

// covers reports whether a target with the holding may serve the hot key: by its
// single-key shard, or by its parent shard at an epoch before the split or since the
// merge.
func (w *sim) covers(h grant.ShardEpoch, hash key.Hash) bool {
	s := w.singleKeys[hash]
	if h.Shard == s.Shard {
		return true
	}
	if h.Shard != s.Parent {
		return false
	}
	mergeEpoch, wasMerged := w.merged[hash]
	return h.Epoch < s.SplitEpoch || wasMerged && h.Epoch >= mergeEpoch
}

func (w *sim) checkTargets() {
	for _, t := range w.targets {
		if !t.down {
			w.checkDuplicates(t, grant.Order{})
		}
	}
}

// checkCeded fails the run if a target still holds a shard that is ceded to another
// zone.
func (w *sim) checkCeded(shard key.Shard) {
	for _, t := range w.targets {
		if t.down {
			continue
		}
		for _, held := range t.holdings.List(t.clockStamp(w.now)) {
			if held.Shard == shard {
				w.failf("%s holds shard %d at %d as it is ceded", t.name, shard, held.Epoch)
			}
		}
	}
}

func (w *sim) recordLog(h *simHost, e Log) {
	w.tracef("%s: %s", h.name, e.Text)
	switch {
	case strings.HasPrefix(e.Text, "Invariant"):
		w.failf("%s: %s", h.name, e.Text)
	case strings.HasPrefix(e.Text, "Activates"):
		w.stats.activated++
	case strings.HasPrefix(e.Text, "Renewing grants as deputy"):
		w.stats.deputies++
	}
}

// changeCustody adds a shard to the cell's custody or removes it, at the next revision.
func (w *sim) changeCustody(shard key.Shard, floor grant.Epoch, inCustody bool) {
	rows := slices.DeleteFunc(slices.Clone(w.custody.Shards), func(r CustodyRow) bool { return r.Shard == shard })
	if inCustody {
		rows = append(rows, CustodyRow{Shard: shard, Floor: floor})
	}
	w.custody = CustodyReceived{Revision: w.custody.Revision + platform.Revision(1), Shards: rows}
	w.sendListsToAll()
}
