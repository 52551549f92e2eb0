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

// windowCount is the number of windows.
const windowCount = 3

// halfLives is how fast an old load loses its weight in each window.
var halfLives = [windowCount]time.Duration{2 * time.Second, 8 * time.Second, 32 * time.Second}

const (
	// maxHotKeys bounds the hot keys of one table of loads.
	maxHotKeys = 1024
	// maxShardRows bounds the shards of one table of loads, solo keys included.
	maxShardRows = 1 << 16
	// minBusySeconds is the busy time, in seconds, below which a row is dropped.
	minBusySeconds = 1e-6
	sweepInterval  = time.Minute
)

// Load is a number of slots that are busy on average.
type Load float64

// Loads is the decayed load of the shards and hot keys of one cell, from the
// reports of all entries. Not safe for concurrent use.
type Loads struct {
	firstReport time.Time // the first report
	sweptAt     time.Time
	shards      map[key.Shard]decayedSums
	hot         map[key.Hash]decayedSums
}

// decayedSums is a row of decayed sums, one for each window.
type decayedSums struct {
	updatedAt time.Time
	sums      [windowCount]windowSum
}

// windowSum is what a window has seen.
type windowSum struct {
	busySeconds float64 // seconds
	requests    float64
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{shards: make(map[key.Shard]decayedSums), hot: make(map[key.Hash]decayedSums)}
}

// Add counts one report that arrived at the time now.
func (l *Loads) Add(now time.Time, r Report) {
	if l.firstReport.IsZero() {
		l.firstReport = now.Add(-r.Period)
	}
	for _, s := range r.Shards {
		row, known := l.shards[s.Shard]
		if !known && len(l.shards) >= maxShardRows {
			continue
		}
		l.shards[s.Shard] = row.add(now, s.Busy, float64(s.Requests))
	}
	for _, h := range r.HotKeys {
		// What the sketch is sure of: too high a load would cut a cold key.
		sure := h.Busy - h.Error
		if sure > 0 {
			l.hot[h.Hash] = l.hot[h.Hash].add(now, sure, 0)
		}
	}
	if len(l.hot) > maxHotKeys {
		l.dropColdKeys(now)
	}
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.Sweep(now)
	}
}

func (r decayedSums) add(now time.Time, busy time.Duration, requests float64) decayedSums {
	r = r.decayed(now)
	for w := range r.sums {
		r.sums[w].busySeconds += busy.Seconds()
		r.sums[w].requests += requests
	}
	return r
}

func (r decayedSums) decayed(now time.Time) decayedSums {
	out := decayedSums{updatedAt: now}
	for w := range r.sums {
		out.sums[w] = r.sum(now, window(w))
	}
	return out
}

// sum returns the sum of one window at the time now.
func (r decayedSums) sum(now time.Time, w window) windowSum {
	if r.updatedAt.IsZero() {
		return windowSum{}
	}
	factor := math.Exp2(-float64(max(now.Sub(r.updatedAt), 0)) / float64(halfLives[w]))
	return windowSum{busySeconds: r.sums[w].busySeconds * factor, requests: r.sums[w].requests * factor}
}

// negligible reports whether all windows have forgotten the row.
func (r decayedSums) negligible(now time.Time) bool {
	return r.sum(now, windowCount-1).busySeconds < minBusySeconds
}

func (l *Loads) dropColdKeys(now time.Time) {
	hashes := make([]key.Hash, 0, len(l.hot))
	for h := range l.hot {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b key.Hash) int {
		return cmp.Or(cmp.Compare(l.hot[b].sum(now, 0).busySeconds, l.hot[a].sum(now, 0).busySeconds), cmp.Compare(a, b))
	})
	for _, h := range hashes[maxHotKeys/2:] {
		delete(l.hot, h)
	}
}

// windowSeconds is the time, in seconds, that the sums of a window stand for.
func (l *Loads) windowSeconds(now time.Time, w window) float64 {
	full := halfLives[w].Seconds() / math.Ln2
	age := now.Sub(l.firstReport)
	if l.firstReport.IsZero() || age <= 0 {
		return full
	}
	return full * (1 - math.Exp2(-float64(age)/float64(halfLives[w])))
}

// shardLoad returns the load of one shard at the time now and the requests that it
// was measured on: the fewer, the less the load tells.
func (l *Loads) shardLoad(now time.Time, w window, shard key.Shard) (Load, float64) {
	s := l.shards[shard].sum(now, w)
	return Load(s.busySeconds / l.windowSeconds(now, w)), s.requests
}

// keyLoad returns the load of one hot key, zero where it is not among the hot.
func (l *Loads) keyLoad(now time.Time, w window, h key.Hash) Load {
	return Load(l.hot[h].sum(now, w).busySeconds / l.windowSeconds(now, w))
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
	l.sweptAt = now
	for shard, row := range l.shards {
		if row.negligible(now) {
			delete(l.shards, shard)
		}
	}
	for h, row := range l.hot {
		if row.negligible(now) {
			delete(l.hot, h)
		}
	}
}
