package status

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// usageWindow is the time over which rates are counted.
	usageWindow = 5 * time.Second
	// maxUsageRows bounds the ids of one Usage; later ones are not counted.
	maxUsageRows = 4096
	// latencyBuckets double from one microsecond.
	latencyBuckets = 32
	percentile     = 99
)

// Load is what passed for one id in the last window.
type Load struct {
	PerSecond float64
	Refused   float64 // a second
	P99       float64 // milliseconds, the bound of its bucket
}

// Usage counts requests for each id over a short window, for the view of
// operators. Safe for concurrent use; the zero value is ready.
type Usage[K comparable] struct {
	mu       sync.Mutex
	rows     map[K]*usageRow
	since    time.Time // start of the present window
	complete bool      // there is a last window
}

// usageRow holds the present window and the last one.
type usageRow struct{ present, last window }

type window struct {
	count, refused uint64
	latency        [latencyBuckets]uint32
}

// Add counts one request that ended at now.
func (u *Usage[K]) Add(now time.Time, id K, took time.Duration, refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turn(now)
	row := u.rows[id]
	if row == nil {
		if len(u.rows) >= maxUsageRows {
			return
		}
		row = &usageRow{}
		u.rows[id] = row
	}
	row.present.count++
	if refused {
		row.present.refused++
	}
	bucket := bits.Len64(uint64(max(took.Microseconds(), 0)))
	row.present.latency[min(bucket, latencyBuckets-1)]++
}

// turn starts a new window where the present one is over, and forgets ids
// without a request in two windows.
func (u *Usage[K]) turn(now time.Time) {
	if u.rows == nil {
		u.rows, u.since = make(map[K]*usageRow), now
	}
	passed := now.Sub(u.since)
	if passed < usageWindow {
		return
	}
	for id, row := range u.rows {
		if row.present.count == 0 || passed >= 2*usageWindow {
			delete(u.rows, id)
			continue
		}
		*row = usageRow{last: row.present}
	}
	u.since, u.complete = now, passed < 2*usageWindow
}

// Loads returns the loads of all ids.
func (u *Usage[K]) Loads(now time.Time) map[K]Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.turn(now)
	out := make(map[K]Load, len(u.rows))
	for id, row := range u.rows {
		w, length := row.last, usageWindow
		if !u.complete {
			w, length = row.present, max(now.Sub(u.since), time.Second)
		}
		if w.count == 0 {
			continue
		}
		out[id] = Load{
			PerSecond: float64(w.count) / length.Seconds(),
			Refused:   float64(w.refused) / length.Seconds(),
			P99:       w.p99(),
		}
	}
	return out
}

// p99 returns the bound of the bucket that holds the 99th percentile.
func (w *window) p99() float64 {
	left := w.count*(100-percentile)/100 + 1
	for bucket := latencyBuckets - 1; bucket >= 0; bucket-- {
		n := uint64(w.latency[bucket])
		if n >= left && n > 0 {
			return float64(uint64(1)<<bucket) / 1000
		}
		left -= min(left, n)
	}
	return 0
}
