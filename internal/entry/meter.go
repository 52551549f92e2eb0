package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/status"
)

const (
	// meterWindow is the time that one figure of the status page covers.
	meterWindow = 5 * time.Second
	// maxMeters bounds the callers and classes that are metered.
	maxMeters = 1024

	minLatencyMicros = 1          // microseconds
	maxLatencyMicros = 60_000_000 // microseconds
	latencyDigits    = 2
)

// meterID is a caller's work of one class.
type meterID struct {
	caller settings.Caller
	class  settings.Class
}

// meters counts the work of callers for the status page, in windows. Safe for
// concurrent use.
type meters struct {
	mu   sync.Mutex
	rows map[meterID]*meter
}

// meter is the work of one caller and class, or at one target: a window under way and the one
// before it, which the page shows.
type meter struct {
	mu           sync.Mutex
	currentSince time.Time
	current      window
	previous     window
}

// window is what ended in a stretch of time.
type window struct {
	requests uint64
	refused  uint64
	latency  *hdrhistogram.Histogram
}

func newMeters() *meters { return &meters{rows: make(map[meterID]*meter)} }

func newWindow() window {
	return window{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
}

// get returns the meter of a caller and class, or nil past the bound.
func (m *meters) get(id meterID) *meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[id]
	if row == nil && len(m.rows) < maxMeters {
		row = newMeter()
		m.rows[id] = row
	}
	return row
}

// record counts one request of a caller.
func (m *meters) record(now time.Time, id meterID, took time.Duration, refused bool) {
	if row := m.get(id); row != nil {
		row.record(now, took, refused)
	}
}

func newMeter() *meter { return &meter{current: newWindow(), previous: newWindow()} }

// record counts one request that ended at now after it took so long.
func (r *meter) record(now time.Time, took time.Duration, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.current.requests++
	if refused {
		r.current.refused++
		return
	}
	_ = r.current.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros)) // bounded above
}

// rotate starts a new window where the one under way is over.
func (r *meter) rotate(now time.Time) {
	passed := now.Sub(r.currentSince)
	if passed < meterWindow {
		return
	}
	r.previous, r.current = r.current, r.previous
	if passed >= 2*meterWindow { // nothing ended in the window before this
		r.previous.reset()
	}
	r.current.reset()
	r.currentSince = now
}

func (w *window) reset() {
	w.requests, w.refused = 0, 0
	w.latency.Reset()
}

// callerRows returns the rows of the page, by caller and class.
func (m *meters) callerRows(now time.Time) []status.Caller {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]status.Caller, 0, len(m.rows))
	for id, row := range m.rows {
		out = append(out, row.callerRow(now, id))
	}
	slices.SortFunc(out, func(a, b status.Caller) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// callerRow returns the row of one caller and class.
func (r *meter) callerRow(now time.Time, id meterID) status.Caller {
	f := r.stats(now)
	return status.Caller{
		Caller: string(id.caller), Class: string(id.class),
		PerSecond: f.perSecond, Refused: f.refused, P99: f.p99,
	}
}

// windowStats are what the page shows of a window: rates a second, milliseconds.
type windowStats struct{ perSecond, refused, p99 float64 }

// stats returns those of the newest whole window.
func (r *meter) stats(now time.Time) windowStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	seconds := meterWindow.Seconds()
	return windowStats{
		perSecond: float64(r.previous.requests) / seconds,
		refused:   float64(r.previous.refused) / seconds,
		p99:       float64(r.previous.latency.ValueAtQuantile(99)) / 1000,
	}
}
