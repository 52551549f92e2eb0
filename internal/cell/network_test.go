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

func (w *world) storeReached(h *hostNode) bool { return w.up && w.linked(h.name, storeName) }

func (w *world) storeDelay() time.Duration {
	if w.slow {
		return time.Duration(1000+w.r.IntN(4000)) * time.Millisecond
	}
	return w.delay()
}

// store makes one call: apply at the store, then done or failed at the host.
// failed gets whether the call may have taken effect.
func (w *world) store(h *hostNode, apply, done func(), failed func(unknown bool)) {
	life := h.life
	if !w.storeReached(h) {
		w.after(w.delay(), func() {
			if failed != nil && h.life == life {
				failed(w.r.IntN(4) == 0)
			}
		})
		return
	}
	limit := callLimit
	if w.slow {
		limit = 12 * time.Second
	}
	answered := false
	w.after(w.storeDelay(), func() {
		if !w.up {
			return
		}
		apply()
		if !w.calm && w.r.IntN(20) == 0 {
			return // the answer is lost
		}
		w.after(w.storeDelay(), func() {
			if answered || h.life != life || !w.linked(h.name, storeName) {
				return
			}
			answered = true
			if done != nil {
				done()
			}
		})
	})
	w.after(limit, func() {
		if !answered && failed != nil && h.life == life {
			answered = true
			failed(true)
		}
	})
}

func (w *world) readDoc(h *hostNode) {
	var seen DocSeen
	life := h.life
	w.store(h, func() {
		seen = DocSeen{Exists: w.docAt != 0, FromStore: true, Doc: w.doc.clone(), Revision: w.docAt}
	}, func() { w.handle(h, life, seen) }, nil)
}

func (w *world) writeDoc(h *hostNode, e WriteDoc) {
	life := h.life
	result := WriteDone{WriteID: e.Doc.WriteID}
	w.store(h, func() { w.commit(h, e, &result) }, func() { w.handle(h, life, result) }, func(unknown bool) {
		result.Result = WriteUnavailable
		if unknown {
			w.stats.unknown++
			result.Result = WriteUnknown
		}
		w.handle(h, life, result)
	})
}

func (w *world) commit(h *hostNode, e WriteDoc, result *WriteDone) {
	if w.docAt != e.Expect {
		result.Result = WriteConflict
		return
	}
	if err := stepError(&w.doc, &e.Doc); err != nil && w.docAt != 0 {
		w.fail("%s wrote a bad step: %v", h.name, err)
	}
	w.watchDoc(&e.Doc)
	data, err := EncodeDoc(e.Doc)
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	decoded, err := DecodeDoc(data)
	if err != nil {
		w.fail("decode: %v", err)
		return
	}
	w.revision++
	w.doc, w.docAt = decoded, w.revision
	result.Result, result.Revision = WriteWon, w.revision
	w.tracef("%s commits rev %d term %d roster %v removed %v rows %v", h.name, w.docAt, w.doc.Term, w.doc.Roster, w.doc.Removed, w.doc.Rows)
}

// watchDoc notes what the run's own checks need of a committed document.
func (w *world) watchDoc(next *Doc) {
	if next.Term > w.doc.Term {
		w.stats.terms++
	}
	if !slices.Equal(next.Roster, w.doc.Roster) {
		w.stats.rosters++
	}
	for _, r := range next.Rows {
		if i := w.doc.rowOf(r.Shard); i >= 0 && w.doc.Rows[i].Owner != r.Owner {
			w.stats.moves++
		}
	}
	for _, s := range next.Solos {
		if _, known := w.solos[s.Hash]; !known || w.solos[s.Hash].Cut < s.Cut {
			w.stats.cuts++
			w.solos[s.Hash] = s
			delete(w.rejoined, s.Hash)
		}
	}
	for _, s := range w.doc.Solos {
		i, j := w.doc.rowOf(s.Parent), next.rowOf(s.Parent)
		if !isSolo(next, s.Shard) && i >= 0 && j >= 0 {
			w.stats.joins++
			w.rejoined[s.Hash] = next.Rows[j].Epoch
			w.after(0, w.checkAll)
		}
	}
	for _, g := range next.Given {
		if _, away := w.outside[g.Shard]; away || slices.ContainsFunc(w.doc.Given, func(o Given) bool { return o.Shard == g.Shard }) {
			continue
		}
		w.stats.given++
		w.tracef("shard %d is given away at floor %d", g.Shard, g.Floor)
		w.outside[g.Shard] = g.Floor
		for hash, s := range w.solos {
			if s.Parent == g.Shard {
				w.rejoined[hash] = g.Floor
			}
		}
		w.checkOutside(g.Shard)
	}
}

func (w *world) acquire(h *hostNode) {
	life := h.life
	sent := h.at(w.now)
	var held bool
	w.store(h, func() {
		now := w.storeClock.at(w.now)
		me := place.Host(h.name)
		if w.holder == me || !now.Before(w.holdUntil) {
			w.holder, w.holdUntil = me, now.Add(DefaultTiming().Lease)
		}
		held = w.holder == me
	}, func() {
		w.handle(h, life, LeaseDone{SentAt: sent, Reached: true, Held: held})
	}, func(bool) {
		w.handle(h, life, LeaseDone{SentAt: sent})
	})
}

func (w *world) sendPeer(h *hostNode, e SendPeer) {
	data, err := EncodeMessage(e.Message)
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	for _, to := range w.hosts {
		if place.Host(to.name) != e.To || !w.linked(h.name, to.name) {
			continue
		}
		life := to.life
		w.after(w.delay(), func() {
			m, err := DecodeMessage(data)
			if err != nil {
				w.fail("decode: %v", err)
				return
			}
			if w.linked(h.name, to.name) {
				w.handle(to, life, PeerReceived{From: place.Host(h.name), Message: m})
			}
		})
	}
}

func (w *world) sendOrder(h *hostNode, e SendOrder) {
	life := h.life
	sent := h.at(w.now)
	answered := false
	finish := func(ev OrderDone) {
		ev.Target, ev.SentAt = e.Target, sent
		w.handle(h, life, ev)
	}
	w.after(callLimit, func() {
		if !answered {
			answered = true
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
		w.arrive(t, e.Order, func(a grant.Response) {
			w.after(w.delay(), func() {
				if w.linked(h.name, t.name) && (!answered || w.r.IntN(2) == 0) {
					answered = true
					finish(OrderDone{Reached: true, Answer: a})
				}
			})
		})
	})
}

func (w *world) targetAt(e SendOrder) *targetNode {
	for _, t := range w.targets {
		if t.addr == e.Addr {
			return t
		}
	}
	return nil
}

// arrive gives an order to a target; a frozen one reads it after the thaw.
func (w *world) arrive(t *targetNode, o grant.Order, answer func(grant.Response)) {
	if t.dead {
		return
	}
	if w.now < t.paused {
		t.waiting = append(t.waiting, func() { w.arrive(t, o, answer) })
		return
	}
	now := t.reading(w.now)
	if w.noAnchor {
		o.Anchor = now
	}
	a := t.holds.Apply(now, o)
	if w.termless {
		a.Term = 0
	}
	w.checkTarget(t, o)
	answer(a)
}

// checkTarget reports a shard or hot key that the target holds beside another.
// Ownership begins with an order alone, so that this check sees every instant.
func (w *world) checkTarget(t *targetNode, o grant.Order) {
	for _, mine := range t.holds.List(t.reading(w.now)) {
		if epoch, away := w.outside[mine.Shard]; away {
			w.fail("%s holds shard %d at %d, given away at floor %d", t.name, mine.Shard, mine.Epoch, epoch)
		}
		for _, other := range w.targets {
			if other == t || other.dead {
				continue
			}
			for _, theirs := range other.holds.List(other.reading(w.now)) {
				if theirs.Shard == mine.Shard {
					w.fail("shard %d doubled: %s at %d until +%v, %s at %d; order of term %d", mine.Shard, t.name, mine.Epoch,
						time.Duration(mine.End-t.reading(w.now)), other.name, theirs.Epoch, o.Term)
				}
				w.checkSolos(t, mine.ShardEpoch, other, theirs.ShardEpoch)
			}
		}
	}
}

func (w *world) checkSolos(t *targetNode, mine grant.ShardEpoch, other *targetNode, theirs grant.ShardEpoch) {
	for hash := range w.solos {
		if w.includes(mine, hash) && w.includes(theirs, hash) {
			w.fail("hot key of shard %d doubled: %s by %v, %s by %v", w.solos[hash].Parent, t.name, mine, other.name, theirs)
		}
	}
}

// includes reports whether a request for the hot key may be served under the
// holding: by its own row, or by its parent at an epoch before the cut.
func (w *world) includes(h grant.ShardEpoch, hash key.Hash) bool {
	s := w.solos[hash]
	if h.Shard == s.Shard {
		return true
	}
	if h.Shard != s.Parent {
		return false
	}
	again, rejoined := w.rejoined[hash]
	return h.Epoch < s.Cut || rejoined && h.Epoch >= again
}

func (w *world) checkAll() {
	for _, t := range w.targets {
		if !t.dead {
			w.checkTarget(t, grant.Order{})
		}
	}
}

// checkOutside reports a shard that a target still holds as another zone gets it.
func (w *world) checkOutside(shard key.Shard) {
	for _, t := range w.targets {
		if t.dead {
			continue
		}
		for _, held := range t.holds.List(t.reading(w.now)) {
			if held.Shard == shard {
				w.fail("%s holds shard %d at %d as it is given away", t.name, shard, held.Epoch)
			}
		}
	}
}

func (w *world) noteLog(h *hostNode, e Log) {
	w.tracef("%s: %s", h.name, e.Text)
	switch {
	case strings.HasPrefix(e.Text, "Invariant"):
		w.fail("%s: %s", h.name, e.Text)
	case strings.HasPrefix(e.Text, "Activates"):
		w.stats.activated++
	case strings.HasPrefix(e.Text, "Renews as deputy"):
		w.stats.deputies++
	}
}

// custodyAt returns the custody without or with one shard, at the next revision.
func (w *world) changeCustody(shard key.Shard, floor grant.Epoch, here bool) {
	rows := slices.DeleteFunc(slices.Clone(w.custody.Shards), func(r CustodyRow) bool { return r.Shard == shard })
	if here {
		rows = append(rows, CustodyRow{Shard: shard, Floor: floor})
	}
	w.custody = CustodySeen{Revision: w.custody.Revision + platform.Revision(1), Shards: rows}
	w.tellAll()
}
