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

	meterLowest  = 1          // microseconds
	meterHighest = 60_000_000 // microseconds
	meterDigits  = 2
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
	mu    sync.Mutex
	since time.Time
	now   window
	last  window
}

// window is what ended in a stretch of time.
type window struct {
	ended   uint64
	refused uint64
	latency *hdrhistogram.Histogram
}

func newMeters() *meters { return &meters{rows: make(map[meterID]*meter)} }

func newWindow() window {
	return window{latency: hdrhistogram.New(meterLowest, meterHighest, meterDigits)}
}

// of returns the meter of a caller and class, or nil past the bound.
func (m *meters) of(id meterID) *meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[id]
	if row == nil && len(m.rows) < maxMeters {
		row = newMeter()
		m.rows[id] = row
	}
	return row
}

// ended counts one request of a caller.
func (m *meters) ended(now time.Time, id meterID, took time.Duration, refused bool) {
	if row := m.of(id); row != nil {
		row.ended(now, took, refused)
	}
}

func newMeter() *meter { return &meter{now: newWindow(), last: newWindow()} }

// ended counts one request that ended at now after it took so long.
func (r *meter) ended(now time.Time, took time.Duration, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	r.now.ended++
	if refused {
		r.now.refused++
		return
	}
	_ = r.now.latency.RecordValue(min(took.Microseconds(), meterHighest)) // bounded above
}

// turn starts a new window where the one under way is over.
func (r *meter) turn(now time.Time) {
	passed := now.Sub(r.since)
	if passed < meterWindow {
		return
	}
	r.last, r.now = r.now, r.last
	if passed >= 2*meterWindow { // nothing ended in the window before this
		r.last.reset()
	}
	r.now.reset()
	r.since = now
}

func (w *window) reset() {
	w.ended, w.refused = 0, 0
	w.latency.Reset()
}

// callers returns the rows of the page, by caller and class.
func (m *meters) callers(now time.Time) []status.Caller {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]status.Caller, 0, len(m.rows))
	for id, row := range m.rows {
		out = append(out, row.caller(now, id))
	}
	slices.SortFunc(out, func(a, b status.Caller) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// caller returns the row of one caller and class.
func (r *meter) caller(now time.Time, id meterID) status.Caller {
	f := r.figures(now)
	return status.Caller{
		Caller: string(id.caller), Class: string(id.class),
		PerSecond: f.perSecond, Refused: f.refused, P99: f.p99,
	}
}

// figures are what the page shows of a window: rates a second, milliseconds.
type figures struct{ perSecond, refused, p99 float64 }

// figures returns those of the newest whole window.
func (r *meter) figures(now time.Time) figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	seconds := meterWindow.Seconds()
	return figures{
		perSecond: float64(r.last.ended) / seconds,
		refused:   float64(r.last.refused) / seconds,
		p99:       float64(r.last.latency.ValueAtQuantile(99)) / 1000,
	}
}
