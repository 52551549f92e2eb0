package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	// halfLife is how fast an old load loses its weight: short enough to
	// follow a hot set that moves within a minute.
	halfLife = 5 * time.Second
	// maxHotRows bounds the hot keys of one table of loads.
	maxHotRows = 1024
	// maxLoadRows bounds the shards of one table of loads, solo keys included.
	maxLoadRows = 1 << 16
	// faintLoad is the load, in slots, below which a row is dropped.
	faintLoad = 1e-6
)

// Load is a number of slots that are busy on average.
type Load float64

// Loads is the decayed load of the shards and hot keys of one cell, from the
// reports of all entries. Not safe for concurrent use.
type Loads struct {
	since  time.Time // the first report
	shards map[key.Shard]rate
	hot    map[key.Hash]rate
}

// rate is a sum that loses half its value in each half-life.
type rate struct {
	at       time.Time
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
}

func (r rate) add(now time.Time, busy time.Duration, requests float64) rate {
	r = r.decayed(now)
	r.busy += busy.Seconds()
	r.requests += requests
	return r
}

func (r rate) decayed(now time.Time) rate {
	factor := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(halfLife))
	return rate{at: now, busy: r.busy * factor, requests: r.requests * factor}
}

func (l *Loads) dropFaintHot(now time.Time) {
	hashes := make([]key.Hash, 0, len(l.hot))
	for h := range l.hot {
		hashes = append(hashes, h)
	}
	slices.SortFunc(hashes, func(a, b key.Hash) int {
		return cmp.Or(cmp.Compare(l.hot[b].decayed(now).busy, l.hot[a].decayed(now).busy), cmp.Compare(a, b))
	})
	for _, h := range hashes[maxHotRows/2:] {
		delete(l.hot, h)
	}
}

// span is the time, in seconds, that the decayed sums stand for.
func (l *Loads) span(now time.Time) float64 {
	full := halfLife.Seconds() / math.Ln2
	age := now.Sub(l.since)
	if l.since.IsZero() || age <= 0 {
		return full
	}
	return full * (1 - math.Exp2(-float64(age)/float64(halfLife)))
}

// Shard returns the load of one shard at the time now.
func (l *Loads) Shard(now time.Time, shard key.Shard) Load {
	return Load(l.shards[shard].decayed(now).busy / l.span(now))
}

// Hot returns the load of one hot key, zero where it is not among the hot.
func (l *Loads) Hot(now time.Time, h key.Hash) Load {
	return Load(l.hot[h].decayed(now).busy / l.span(now))
}

// Requests returns the requests that the shard's load was measured on, decayed
// like it: the fewer, the less the load tells.
func (l *Loads) Requests(now time.Time, shard key.Shard) float64 {
	return l.shards[shard].decayed(now).requests
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

// Sweep drops what has faded; call it now and then.
func (l *Loads) Sweep(now time.Time) {
	for shard, row := range l.shards {
		if row.decayed(now).busy < faintLoad {
			delete(l.shards, shard)
		}
	}
	for h, row := range l.hot {
		if row.decayed(now).busy < faintLoad {
			delete(l.hot, h)
		}
	}
}
