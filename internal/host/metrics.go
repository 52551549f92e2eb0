package host

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
)

// metrics are the counters and histograms of a host. Safe for concurrent use.
type metrics struct {
	registry *metric.Registry

	mu       sync.Mutex
	counters map[metricID]tally.Counter
	times    map[metricID]tally.Histogram
}

// metricID names a metric with its labels.
type metricID struct{ name, service, first, second string }

func newMetrics(r *metric.Registry) *metrics {
	return &metrics{
		registry: r,
		counters: make(map[metricID]tally.Counter),
		times:    make(map[metricID]tally.Histogram),
	}
}

// kept returns the metric of an id, which open makes at its first use.
func kept[M any](known map[metricID]M, id metricID, open func() M) M {
	m, ok := known[id]
	if !ok {
		m = open()
		known[id] = m
	}
	return m
}

// ended counts a request by how it ended, and its time.
func (m *metrics) ended(service key.Service, r outcome.Result, took time.Duration) {
	o, status := string(outcome.Of(r)), strconv.Itoa(outcome.Status(r))
	m.mu.Lock()
	defer m.mu.Unlock()
	kept(m.counters, metricID{"requests", string(service), o, status}, func() tally.Counter {
		return m.scope(service, map[string]string{"outcome": o, "status": status}).Counter("requests")
	}).Inc(1)
	kept(m.times, metricID{"latency_seconds", string(service), o, ""}, func() tally.Histogram {
		return m.scope(service, map[string]string{"end": o}).Histogram("latency_seconds", metric.LatencyBuckets())
	}).RecordDuration(took)
}

// attempted counts a try at a target by how it ended, and its time.
func (m *metrics) attempted(service key.Service, end dispatch.Result, took, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept(m.counters, metricID{"attempts", string(service), end.String(), ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"end": end.String()}).Counter("attempts")
	}).Inc(1)
	kept(m.times, metricID{"attempt_seconds", string(service), end.String(), ""}, func() tally.Histogram {
		return m.scope(service, map[string]string{"end": end.String()}).Histogram("attempt_seconds", metric.LatencyBuckets())
	}).RecordDuration(took)
	kept(m.times, metricID{"wait_seconds", string(service), "", ""}, func() tally.Histogram {
		return m.scope(service, map[string]string{}).Histogram("wait_seconds", metric.LatencyBuckets())
	}).RecordDuration(waited)
}

// ordered counts an order to a target by its kind and result.
func (m *metrics) ordered(service key.Service, kind, result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept(m.counters, metricID{"orders", string(service), kind, result}, func() tally.Counter {
		return m.scope(service, map[string]string{"kind": kind, "result": result}).Counter("orders")
	}).Inc(1)
}

// called counts a call to the store by its kind and result.
func (m *metrics) called(kind string, err error) {
	result := callResult(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	kept(m.counters, metricID{"calls", "", kind, result}, func() tally.Counter {
		return m.registry.Tagged(map[string]string{"kind": kind, "result": result}).Counter("calls")
	}).Inc(1)
}

// restored counts that the store came back from an older copy.
func (m *metrics) restored() { m.registry.Counter("store_restored").Inc(1) }

// panicked counts a part of the process that panicked.
func (m *metrics) panicked(part string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept(m.counters, metricID{"panics", "", part, ""}, func() tally.Counter {
		return m.registry.Tagged(map[string]string{"part": part}).Counter("panics")
	}).Inc(1)
}

// noted counts a decision of a lead by its text.
func (m *metrics) noted(service key.Service, text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept(m.counters, metricID{"decisions", string(service), text, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"text": text}).Counter("decisions")
	}).Inc(1)
}

func (m *metrics) scope(service key.Service, labels map[string]string) tally.Scope {
	labels["service"] = m.registry.Value("service", string(service))
	return m.registry.Tagged(labels)
}
