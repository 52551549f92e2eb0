package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

const (
	evictor       = place.Host("evict/x0")
	evictLeaseTTL = 4 * time.Second
	evictPeriod   = 30 * time.Second // in which the other zone tries to evict
)

// tryEvict makes another zone acquire the cell's lease once it has expired, if there is
// a renew limit. When that zone has held it for longer than leaders of the cell may
// renew grants, it evicts the cell.
func (w *sim) tryEvict() {
	if w.renewLimit == 0 || !w.storeUp {
		return
	}
	if w.chance(0.004) {
		w.evictUntil = w.now + evictPeriod
		w.tracef("another zone waits for the lease")
	}
	now := w.storeClock.at(w.now)
	held := w.leaseHolder == evictor && now.Before(w.leaseEnd)
	if w.now > w.evictUntil || !held && now.Before(w.leaseEnd) {
		return
	}
	if !held {
		w.evictSince = now
	}
	w.leaseHolder, w.leaseEnd = evictor, now.Add(evictLeaseTTL)
	timing := DefaultTiming()
	minHeld := w.renewLimit + timing.GrantDuration
	minHeld += minHeld*time.Duration(timing.DriftPerMil)/perMil + time.Second
	if now.Sub(w.evictSince) >= minHeld {
		w.evictCell(w.evictSince)
	}
}

// evictCell evicts the cell: it changes the custody first, then the cell's document.
func (w *sim) evictCell(since time.Time) {
	w.evictUntil = 0
	shards := w.custody.Shards
	for _, s := range shards {
		w.changeCustody(s.Shard, 0, false)
	}
	if w.docRevision == 0 || len(shards) == 0 {
		return
	}
	w.tracef("another zone evicts the cell")
	w.stats.evicted++
	next := Evict(w.doc, w.custody.Revision, shards, grant.Expired{Since: since})
	w.recordDoc(&next)
	w.revision++
	w.doc, w.docRevision = next, w.revision
}
