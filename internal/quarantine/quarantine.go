// Package quarantine finds the requests that end the targets which run them, and decides
// which requests are refused because of that.
//
// Many requests are on a target that ends, and most ends have another cause. A request is
// guilty if several targets have ended under it one after the other and none has served it
// in between. Each host keeps a Table; their records are exchanged and merged, and any
// order of merging gives the same result.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const (
	// refusedEnds is the number of ends from which a request is refused, and
	// trustedRefusedEnds that of one that targets have served lately: such requests are on
	// many targets that end for other reasons.
	refusedEnds        = 3
	trustedRefusedEnds = 5
	// aloneEnds is the number of ends from which a request does not run beside another
	// one with as many: the next end shows which of them it was.
	aloneEnds = 2
	// maxTrials is how often a request is tried again before only an operator can release
	// it.
	maxTrials = 3
	// watchTTL is how long after its last change a record with fewer ends than RefusedEnds is
	// kept, refusedTTL the same for one with more.
	watchTTL   = 10 * time.Minute
	refusedTTL = 24 * time.Hour
	// maxRecords bounds the records of a table. Those with the fewest ends are dropped
	// first, and of these the oldest.
	maxRecords = 2048
	// maxNamedEnds is the number of ends that a record names: all that count before the
	// last trial.
	maxNamedEnds = trustedRefusedEnds + maxTrials
)

// Forbidden is the number of ends of a request that an operator forbids.
const Forbidden = math.MaxUint8

// Suspicion is how much speaks against a request. Of two, the one with the later generation
// holds, and of the same generation the one with more ends.
type Suspicion struct {
	// Generation rises each time that the request is served or an operator decides on it:
	// ends before that no longer count.
	Generation uint32
	// Ends is the number of targets that have ended under the request one after the
	// other: each attempt began when the end before it was known.
	Ends uint8
	// Trusted is set if the request was served shortly before the first of these ends.
	Trusted bool
}

// refusedEnds returns the number of ends from which the request is refused.
func (s Suspicion) refusedEnds() uint8 {
	if s.Trusted {
		return trustedRefusedEnds
	}
	return refusedEnds
}

// IsRefused reports whether the request is refused, or on trial.
func (s Suspicion) IsRefused() bool { return s.Ends >= s.refusedEnds() }

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint
	Suspicion

	Service key.Service
	// Last are the last ends under it, newest first.
	Last []End
	// Age is the time since the last change.
	Age time.Duration
}

// End is the end of one incarnation of a target.
type End struct {
	Target      place.Target
	Incarnation place.Incarnation
}

// Verdict is what becomes of a request: Free, Watched or Refused.
type Verdict interface{ verdict() }

// Free is the verdict on a request that nothing speaks against.
type Free struct{}

// Watched is the verdict on a request under which a target has ended. It may run once at a
// time. Alone is set if it must not run beside another such request, either.
type Watched struct{ Alone bool }

// Refused is the verdict on a request that must not run. It is tried again after Left;
// zero stands for never.
type Refused struct{ Left time.Duration }

func (Free) verdict()    {}
func (Watched) verdict() {}
func (Refused) verdict() {}

// Table holds the records of one host. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// hold is how long a request is refused before it is tried again; each failed trial
	// doubles it.
	hold    time.Duration
	records map[Fingerprint]*record
	served  servedFilter
	// unsaved are the requests whose records the store has although they no longer count.
	unsaved []Fingerprint
}

// record is a Record and how it came about.
type record struct {
	Record

	changedAt time.Time
	// own is set if this host made the last change, and so distributes it. saved is set if
	// the store has the record, or gets it.
	own, saved bool
}

// New returns an empty table.
func New(hold time.Duration) *Table {
	return &Table{hold: hold, records: make(map[Fingerprint]*record)}
}

// Suspicion returns what is known of a request.
func (t *Table) Suspicion(f Fingerprint) Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		return r.Suspicion
	}
	return Suspicion{}
}

// Verdict returns the verdict on a request.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || f == 0 {
		return Free{}
	}
	return t.verdict(now, r)
}

func (t *Table) verdict(now time.Time, r *record) Verdict {
	switch {
	case r.Ends == 0:
		return Free{}
	case !r.IsRefused():
		return Watched{Alone: r.Ends >= aloneEnds}
	case r.Ends >= r.refusedEnds()+maxTrials:
		return Refused{}
	}
	if left := t.hold<<(r.Ends-r.refusedEnds()) - now.Sub(r.changedAt); left > 0 {
		return Refused{Left: left}
	}
	return Watched{Alone: true} // a trial
}

// Ended records that a target ended under an attempt which began when known was known of its
// request. It reports whether that is news.
func (t *Table) Ended(now time.Time, f Fingerprint, known Suspicion, service key.Service, end End) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known.Ends < Forbidden-1 {
		known.Ends++
	}
	known.Trusted = known.Trusted || known.Generation > 0 || t.served.contains(now, f)
	next := Record{Fingerprint: f, Suspicion: known, Service: service, Last: []End{end}}
	if r := t.records[f]; r != nil && r.Generation == known.Generation {
		next.Last = append(next.Last, r.Last...)
		next.Last = next.Last[:min(len(next.Last), maxNamedEnds)]
	}
	return t.merge(now, next, true)
}

// Served records that a target has served a request. It returns how many ends no longer
// count because of that.
func (t *Table) Served(now time.Time, f Fingerprint) (ends uint8) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(now, f)
	r := t.records[f]
	if r == nil || r.Ends == 0 || r.Ends == Forbidden {
		return 0
	}
	ends = r.Ends
	t.decide(now, r, 0)
	return ends
}

// Lift ends what is held against a request, and reports whether anything was.
func (t *Table) Lift(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.Ends > 0 && t.decide(now, r, 0)
}

// Save reports whether the store should get the record of a request, and does not have it:
// after the second end, or when the request has come again and the record has not changed
// for a while. The caller then saves it.
func (t *Table) Save(now time.Time, f Fingerprint, unchanged time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.Ends == 0 || r.saved || r.Ends < aloneEnds && now.Sub(r.changedAt) < unchanged {
		return false
	}
	r.saved = true
	return true
}

// Forbid makes the table refuse a request until it is lifted.
func (t *Table) Forbid(now time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		r = &record{Record: Record{Fingerprint: f}}
	}
	t.decide(now, r, Forbidden)
}

// decide begins a generation with a number of ends.
func (t *Table) decide(now time.Time, r *record, ends uint8) bool {
	next := r.Record
	next.Suspicion, next.Last, next.Age = Suspicion{Generation: r.Generation + 1, Ends: ends}, nil, 0
	return t.merge(now, next, true)
}

// Merge adds a record of another host. It reports whether that is news.
func (t *Table) Merge(now time.Time, r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, r, false)
}

// MergeSaved is Merge for a record of the store.
func (t *Table) MergeSaved(now time.Time, next Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.merge(now, next, false)
	if r := t.records[next.Fingerprint]; r != nil && r.Suspicion == next.Suspicion {
		r.saved = true
	}
	return news
}

func (t *Table) merge(now time.Time, next Record, own bool) bool {
	if next.Fingerprint == 0 {
		return false
	}
	r := t.records[next.Fingerprint]
	if r != nil && r.Generation == next.Generation {
		news := next.Trusted && !r.Trusted
		next.Trusted = next.Trusted || r.Trusted
		if next.Ends <= r.Ends {
			r.Trusted, r.own = next.Trusted, r.own || news && own
			return news
		}
	}
	if r != nil && next.Generation < r.Generation {
		return false
	}
	if r != nil && r.saved && next.Ends == 0 {
		t.unsaved = append(t.unsaved, next.Fingerprint)
	}
	t.records[next.Fingerprint] = &record{Record: next, changedAt: now.Add(-next.Age), own: own}
	if next.IsRefused() {
		t.release(now, own)
	}
	for len(t.records) > maxRecords {
		t.drop(t.least())
	}
	return true
}

// release ends what is held against refused requests whose ends all have another
// explanation, now that one more is refused.
func (t *Table) release(now time.Time, own bool) {
	for _, f := range slices.Sorted(maps.Keys(t.records)) { // one release may prevent another
		r := t.records[f]
		if !r.IsRefused() || r.Ends == Forbidden || len(r.Last) < int(r.Ends) {
			continue
		}
		if !slices.ContainsFunc(r.Last, func(e End) bool { return !t.explained(e, r) }) {
			next := r.Record
			next.Suspicion, next.Last, next.Age = Suspicion{Generation: r.Generation + 1}, nil, 0
			t.merge(now, next, own)
		}
	}
}

// explained reports whether another request is refused that was on a target when it ended,
// and also on one on which r was not.
func (t *Table) explained(e End, r *record) bool {
	for _, other := range t.records {
		if other == r || !other.IsRefused() || !slices.Contains(other.Last, e) {
			continue
		}
		if slices.ContainsFunc(other.Last, func(e End) bool { return !slices.Contains(r.Last, e) }) {
			return true
		}
	}
	return false
}

// least returns the record whose loss matters least.
func (t *Table) least() *record {
	var least *record
	for _, r := range t.records {
		if least == nil || compareWeight(r, least) < 0 {
			least = r
		}
	}
	return least
}

// drop forgets a record.
func (t *Table) drop(r *record) {
	delete(t.records, r.Fingerprint)
	if r.saved {
		t.unsaved = append(t.unsaved, r.Fingerprint)
	}
}

// Expire drops records that are too old. It returns the requests whose records the store
// has although they no longer count.
func (t *Table) Expire(now time.Time) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		ttl := watchTTL
		if r.IsRefused() {
			ttl = max(refusedTTL, 2*t.hold<<maxTrials)
		}
		if now.Sub(r.changedAt) > ttl && r.Ends != Forbidden {
			t.drop(r)
		}
	}
	out := t.unsaved
	t.unsaved = nil
	return out
}

// compareWeight orders records by what is lost if they are dropped.
func compareWeight(a, b *record) int {
	return cmp.Or(cmp.Compare(a.Ends, b.Ends), a.changedAt.Compare(b.changedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// Own returns the records that this host distributes, those with the most ends first, at
// most the given number.
func (t *Table) Own(now time.Time, most int) []Record {
	return t.list(now, most, func(r *record) bool { return r.own })
}

// Refused returns the records of the requests that are refused or on trial.
func (t *Table) Refused(now time.Time) []Record {
	return t.list(now, maxRecords, func(r *record) bool { return r.IsRefused() })
}

// Record returns what is known of a request.
func (t *Table) Record(now time.Time, f Fingerprint) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return Record{Fingerprint: f}
	}
	out := r.Record
	out.Age = now.Sub(r.changedAt)
	return out
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

func (t *Table) list(now time.Time, most int, include func(*record) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*record
	for _, r := range t.records {
		if include(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return compareWeight(b, a) })
	out := make([]Record, 0, min(len(found), most))
	for _, r := range found[:min(len(found), most)] {
		next := r.Record
		next.Age = now.Sub(r.changedAt)
		out = append(out, next)
	}
	return out
}
