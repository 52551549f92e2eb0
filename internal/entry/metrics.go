package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/route"
	"citrontray.example/citrontray/internal/settings"
)

// metrics holds latency histograms for each tenant and class, and counters of
// outcomes and tries.
type metrics struct {
	registry *metric.Registry
	mu       sync.RWMutex
	paths    map[pathID]tally.Histogram
	ends     map[endID]tally.Counter
	tries    map[string]tally.Counter
	retries  tally.Counter
}

type pathID struct {
	tenant settings.Tenant
	class  settings.Class
}

type endID struct {
	outcome outcome.Outcome
	reason  outcome.Reason
}

func newMetrics(r *metric.Registry) *metrics {
	m := &metrics{
		registry: r,
		paths:    make(map[pathID]tally.Histogram),
		ends:     make(map[endID]tally.Counter),
		tries:    make(map[string]tally.Counter),
		retries:  r.Counter("resends"),
	}
	for _, name := range []string{"answered", "refused", "not_sent", "uncertain"} {
		m.tries[name] = r.Tagged(map[string]string{"result": name}).Counter("tries")
	}
	return m
}

// ended records the end of a request and its latency.
func (m *metrics) ended(match route.Match, result outcome.Result, took time.Duration) {
	id := pathID{match.Caller.Tenant, match.Route.Class}
	m.mu.RLock()
	h := m.paths[id]
	m.mu.RUnlock()
	if h == nil {
		h = m.addPath(id)
	}
	h.RecordDuration(took)
	m.end(endID{outcome.Of(result), outcome.ReasonOf(result)}).Inc(1)
}

func (m *metrics) addPath(id pathID) tally.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.registry.Tagged(map[string]string{
		"tenant": m.registry.LabelValue("tenant", string(id.tenant)),
		"class":  m.registry.LabelValue("class", string(id.class)),
	}).Histogram("latency_seconds", metric.LatencyBuckets())
	m.paths[id] = h
	return h
}

func (m *metrics) end(id endID) tally.Counter {
	m.mu.RLock()
	c := m.ends[id]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c = m.registry.Tagged(map[string]string{
		"outcome": string(id.outcome),
		"reason":  string(id.reason),
	}).Counter("requests")
	m.ends[id] = c
	return c
}

// rejected records a request that led nowhere.
func (m *metrics) rejected(reason outcome.Reason) {
	m.end(endID{outcome.NotRun, reason}).Inc(1)
}

// tried records one try at a target.
func (m *metrics) tried(result forward.Result) {
	name := "uncertain"
	switch result.(type) {
	case forward.Completed:
		name = "answered"
	case forward.Refused:
		name = "refused"
	case forward.NotSent:
		name = "not_sent"
	}
	m.tries[name].Inc(1)
}
