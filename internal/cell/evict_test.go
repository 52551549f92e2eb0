package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

const (
	evictor    = place.Host("evict/x0")
	evictLease = 4 * time.Second
	evictRuns  = 30 * time.Second
)

// evict lets another zone take a silent cell's lease where hold is bounded,
// and its shards once it held the lease for longer than leads here may renew.
func (w *world) evict() {
	if w.hold == 0 || !w.up {
		return
	}
	if w.chance(0.004) {
		w.evictUntil = w.now + evictRuns
		w.tracef("another zone waits for the lease")
	}
	now := w.storeClock.at(w.now)
	mine := w.holder == evictor && now.Before(w.holdUntil)
	if w.now > w.evictUntil || !mine && now.Before(w.holdUntil) {
		return
	}
	if !mine {
		w.evictSince = now
	}
	w.holder, w.holdUntil = evictor, now.Add(evictLease)
	timing := DefaultTiming()
	bound := w.hold + timing.Grant
	bound += bound*time.Duration(timing.DriftPerMil)/perMil + time.Second
	if now.Sub(w.evictSince) >= bound {
		w.takeOver(w.evictSince)
	}
}

// takeOver evicts the cell: custody changes first, then its document.
func (w *world) takeOver(since time.Time) {
	w.evictUntil = 0
	gone := w.custody.Shards
	for _, s := range gone {
		w.changeCustody(s.Shard, 0, false)
	}
	if w.docAt == 0 || len(gone) == 0 {
		return
	}
	w.tracef("another zone evicts the cell")
	w.stats.evicted++
	next := Evict(w.doc, w.custody.Revision, gone, grant.Expired{Since: since})
	w.watchDoc(&next)
	w.revision++
	w.doc, w.docAt = next, w.revision
}
