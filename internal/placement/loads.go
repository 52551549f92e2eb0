package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
)

// window selects how far back a load looks. A short one follows a hot set that
// moves within a minute; a long one tells load from chance where requests are
// few. All are kept, and the planner takes the shortest that is sure enough.
type window uint8

// windows is the number of windows.
const windows = 3

// halfLives is how fast an old load loses its weight in each window.
var halfLives = [windows]time.Duration{2 * time.Second, 8 * time.Second, 32 * time.Second}

const (
	// maxHotRows bounds the hot keys of one table of loads.
	maxHotRows = 1024
	// maxLoadRows bounds the shards of one table of loads, solo keys included.
	maxLoadRows = 1 << 16
	// faintLoad is the busy time, in seconds, below which a row is dropped.
	faintLoad     = 1e-6
	sweepInterval = time.Minute
)

// Load is a number of slots that are busy on average.
type Load float64

// Loads is the decayed load of the shards and hot keys of one cell, from the
// reports of all entries. Not safe for concurrent use.
type Loads struct {
	since  time.Time // the first report
	swept  time.Time
	shards map[key.Shard]rate
	hot    map[key.Hash]rate
}

// rate is a row of decayed sums, one for each window.
type rate struct {
	at   time.Time
	sums [windows]sum
}

// sum is what a window has seen.
type sum struct {
	busy     float64 // seconds
	requests float64
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{shards: make(map[key.Shard]rate), hot: make(map[key.Hash]rate)}
}

// Add counts one report that arrived at the time now.
func (l *Loads) Add(now time.Time, r Report) {
	if l.since.IsZero() {
		l.since = now.Add(-r.Period)
	}
	for _, s := range r.Shards {
		row, known := l.shards[s.Shard]
		if !known && len(l.shards) >= maxLoadRows {
			continue
		}
		l.shards[s.Shard] = row.add(now, s.Busy, float64(s.Requests))
	}
	for _, h := range r.Hot {
		// What the sketch is sure of: too high a load would cut a cold key.
		sure := h.Busy - h.Error
		if sure > 0 {
			l.hot[h.Hash] = l.hot[h.Hash].add(now, sure, 0)
		}
	}
	if len(l.hot) > maxHotRows {
		l.dropFaintHot(now)
	}
	if now.Sub(l.swept) >= sweepInterval {
		l.Sweep(now)
	}
}

func (r rate) add(now time.Time, busy time.Duration, requests float64) rate {
	r = r.decayed(now)
	for w := range r.sums {
		r.sums[w].busy += busy.Seconds()
		r.sums[w].requests += requests
	}
	return r
}

func (r rate) decayed(now time.Time) rate {
	out := rate{at: now}
	for w := range r.sums {
		out.sums[w] = r.sum(now, window(w))
	}
	return out
}

// sum returns the sum of one window at the time now.
func (r rate) sum(now time.Time, w window) sum {
	if r.at.IsZero() {
		return sum{}
	}
	factor := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(halfLives[w]))
	return sum{busy: r.sums[w].busy * factor, requests: r.sums[w].requests * factor}
}

// faint reports whether all windows have forgotten the row.
func (r rate) faint(now time.Time) bool { return r.sum(now, windows-1).busy < faintLoad }

func (l *Loads) dropFaintHot(now time.Time) {
	hashes := make([]key.Hash, 0, len(l.hot))
	for h := range l.hot {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b key.Hash) int {
		return cmp.Or(cmp.Compare(l.hot[b].sum(now, 0).busy, l.hot[a].sum(now, 0).busy), cmp.Compare(a, b))
	})
	for _, h := range hashes[maxHotRows/2:] {
		delete(l.hot, h)
	}
}

// span is the time, in seconds, that the sums of a window stand for.
func (l *Loads) span(now time.Time, w window) float64 {
	full := halfLives[w].Seconds() / math.Ln2
	age := now.Sub(l.since)
	if l.since.IsZero() || age <= 0 {
		return full
	}
	return full * (1 - math.Exp2(-float64(age)/float64(halfLives[w])))
}

// shard returns the load of one shard at the time now and the requests that it
// was measured on: the fewer, the less the load tells.
func (l *Loads) shard(now time.Time, w window, shard key.Shard) (Load, float64) {
	s := l.shards[shard].sum(now, w)
	return Load(s.busy / l.span(now, w)), s.requests
}

// key returns the load of one hot key, zero where it is not among the hot.
func (l *Loads) key(now time.Time, w window, h key.Hash) Load {
	return Load(l.hot[h].sum(now, w).busy / l.span(now, w))
}

// hotKeys returns the hot keys sorted by hash.
func (l *Loads) hotKeys() []key.Hash {
	out := make([]key.Hash, 0, len(l.hot))
	for h := range l.hot {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// Sweep drops what has faded; Add calls it now and then.
func (l *Loads) Sweep(now time.Time) {
	l.swept = now
	for shard, row := range l.shards {
		if row.faint(now) {
			delete(l.shards, shard)
		}
	}
	for h, row := range l.hot {
		if row.faint(now) {
			delete(l.hot, h)
		}
	}
}
