package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

const (
	evictor       = place.Host("evict/x0")
	evictLeaseTTL = 4 * time.Second
	evictPeriod   = 30 * time.Second
)

// tryEvict lets another zone take a silent cell's lease where hold is bounded,
// and its shards once it held the lease for longer than leads here may renew.
func (w *sim) tryEvict() {
	if w.renewLimit == 0 || !w.storeUp {
		return
	}
	if w.chance(0.004) {
		w.evictUntil = w.now + evictPeriod
		w.tracef("another zone waits for the lease")
	}
	now := w.storeClock.at(w.now)
	mine := w.leaseHolder == evictor && now.Before(w.leaseEnd)
	if w.now > w.evictUntil || !mine && now.Before(w.leaseEnd) {
		return
	}
	if !mine {
		w.evictSince = now
	}
	w.leaseHolder, w.leaseEnd = evictor, now.Add(evictLeaseTTL)
	timing := DefaultTiming()
	bound := w.renewLimit + timing.GrantDuration
	bound += bound*time.Duration(timing.DriftPerMil)/perMil + time.Second
	if now.Sub(w.evictSince) >= bound {
		w.evictCell(w.evictSince)
	}
}

// evictCell evicts the cell: custody changes first, then its document.
func (w *sim) evictCell(since time.Time) {
	w.evictUntil = 0
	gone := w.custody.Shards
	for _, s := range gone {
		w.changeCustody(s.Shard, 0, false)
	}
	if w.docRevision == 0 || len(gone) == 0 {
		return
	}
	w.tracef("another zone evicts the cell")
	w.stats.evicted++
	next := Evict(w.doc, w.custody.Revision, gone, grant.Expired{Since: since})
	w.recordDoc(&next)
	w.revision++
	w.doc, w.docRevision = next, w.revision
}
