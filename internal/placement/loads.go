package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
)

// window is an index into halfLives. The load over a short window follows a hot set that
// changes every minute. The load over a long one has less noise if requests are few. The
// planner uses the shortest window whose noise is small enough.
type window uint8

// windowCount is the number of windows.
const windowCount = 3

// halfLives are the half-lives of the exponential decay of old load in each window.
var halfLives = [windowCount]time.Duration{2 * time.Second, 8 * time.Second, 32 * time.Second}

const (
	// maxHotKeys bounds the hot keys of a Loads.
	maxHotKeys = 1024
	// maxShardRows bounds the shards of a Loads, including single-key shards.
	maxShardRows = 1 << 16
	// minBusySeconds is the decayed busy time below which a row is dropped.
	minBusySeconds = 1e-6
	sweepInterval  = time.Minute
)

// Load is the mean number of busy slots.
type Load float64

// Loads holds the load of the shards and hot keys of one cell, by the reports of all
// entries, with exponential decay. It is not safe for concurrent use.
type Loads struct {
	firstReport time.Time // start of its period
	sweptAt     time.Time
	shards      map[key.Shard]decayedSums
	hot         map[key.Hash]decayedSums
}

// decayedSums holds the decayed sums of one shard or hot key for each window.
type decayedSums struct {
	updatedAt time.Time
	sums      [windowCount]windowSum
}

// windowSum is a sum over a window.
type windowSum struct {
	busySeconds float64
	requests    float64
}

// NewLoads returns a Loads without load.
func NewLoads() *Loads {
	return &Loads{shards: make(map[key.Shard]decayedSums), hot: make(map[key.Hash]decayedSums)}
}

// Add adds a report that arrived at the time now.
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
		// The lower bound of the sketch, as an overestimate would split off a cold key.
		lowerBound := h.Busy - h.Error
		if lowerBound > 0 {
			l.hot[h.Hash] = l.hot[h.Hash].add(now, lowerBound, 0)
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

// sum returns the sum over a window at the time now.
func (r decayedSums) sum(now time.Time, w window) windowSum {
	if r.updatedAt.IsZero() {
		return windowSum{}
	}
	factor := math.Exp2(-float64(max(now.Sub(r.updatedAt), 0)) / float64(halfLives[w]))
	return windowSum{busySeconds: r.sums[w].busySeconds * factor, requests: r.sums[w].requests * factor}
}

// negligible reports whether the sums have decayed so far that the row can be dropped.
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

// windowSeconds returns the effective length of a window, by which its sums have to be
// divided.
func (l *Loads) windowSeconds(now time.Time, w window) float64 {
	full := halfLives[w].Seconds() / math.Ln2
	age := now.Sub(l.firstReport)
	if l.firstReport.IsZero() || age <= 0 {
		return full
	}
	return full * (1 - math.Exp2(-float64(age)/float64(halfLives[w])))
}

// shardLoad returns the load of a shard at the time now, and the decayed number of
// requests from which it was measured.
func (l *Loads) shardLoad(now time.Time, w window, shard key.Shard) (Load, float64) {
	s := l.shards[shard].sum(now, w)
	return Load(s.busySeconds / l.windowSeconds(now, w)), s.requests
}

// keyLoad returns the load of a hot key, or zero if the key is not known as hot.
func (l *Loads) keyLoad(now time.Time, w window, h key.Hash) Load {
	return Load(l.hot[h].sum(now, w).busySeconds / l.windowSeconds(now, w))
}

// hotKeys returns the hot keys, sorted by hash.
func (l *Loads) hotKeys() []key.Hash {
	out := make([]key.Hash, 0, len(l.hot))
	for h := range l.hot {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// Sweep drops rows with negligible load. Add calls it at sweepInterval.
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
