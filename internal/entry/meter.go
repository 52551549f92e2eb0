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
	// meterWindow is the time span of the statistics on the status page.
	meterWindow = 5 * time.Second
	// maxMeters limits the callers and classes with statistics of their own.
	maxMeters = 1024

	// The range of the latency histograms.
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 2 // significant decimal digits
)

// meterID identifies the requests of one caller and class.
type meterID struct {
	caller settings.Caller
	class  settings.Class
}

// meters holds the statistics of callers for the status page. It is safe for concurrent
// use.
type meters struct {
	mu   sync.Mutex
	rows map[meterID]*meter
}

// meter holds the statistics of one caller and class, or of one target: the current
// window and the previous one, which the status page shows.
type meter struct {
	mu           sync.Mutex
	currentSince time.Time
	current      window
	previous     window
}

// window holds the statistics of the requests that ended in one time span.
type window struct {
	requests uint64
	notRun   uint64
	latency  *hdrhistogram.Histogram
}

func newMeters() *meters { return &meters{rows: make(map[meterID]*meter)} }

func newWindow() window {
	return window{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
}

// get returns the meter of a caller and class, or nil if there are maxMeters others.
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

// record records one request of a caller. refused reports whether it ended as not run.
func (m *meters) record(now time.Time, id meterID, took time.Duration, refused bool) {
	if row := m.get(id); row != nil {
		row.record(now, took, refused)
	}
}

func newMeter() *meter { return &meter{current: newWindow(), previous: newWindow()} }

// record records one request that ended at now and took so long. The latency of refused
// requests is not recorded.
func (r *meter) record(now time.Time, took time.Duration, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.current.requests++
	if refused {
		r.current.notRun++
		return
	}
	_ = r.current.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros)) // never above the histogram's maximum
}

// rotate starts a new window if the current one has ended.
func (r *meter) rotate(now time.Time) {
	passed := now.Sub(r.currentSince)
	if passed < meterWindow {
		return
	}
	r.previous, r.current = r.current, r.previous
	if passed >= 2*meterWindow { // no request ended in the window before the new one
		r.previous.reset()
	}
	r.current.reset()
	r.currentSince = now
}

func (w *window) reset() {
	w.requests, w.notRun = 0, 0
	w.latency.Reset()
}

// callerRows returns the callers for the status page, sorted by caller and class.
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

// callerRow returns one caller and class for the status page.
func (r *meter) callerRow(now time.Time, id meterID) status.Caller {
	s := r.stats(now)
	return status.Caller{
		Caller: string(id.caller), Class: string(id.class),
		PerSecond: s.perSecond, Refused: s.notRun, P99: s.p99,
	}
}

// windowStats is the summary of a window: rates per second, and the 99th percentile of
// the latency in milliseconds.
type windowStats struct{ perSecond, notRun, p99 float64 }

// stats returns the summary of the last complete window.
func (r *meter) stats(now time.Time) windowStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	seconds := meterWindow.Seconds()
	return windowStats{
		perSecond: float64(r.previous.requests) / seconds,
		notRun:    float64(r.previous.notRun) / seconds,
		p99:       float64(r.previous.latency.ValueAtQuantile(99)) / 1000,
	}
}
