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

// metrics holds latency histograms by tenant and class, and counters of outcomes and of
// attempts.
type metrics struct {
	registry  *metric.Registry
	mu        sync.RWMutex
	latencies map[latencyID]tally.Histogram
	outcomes  map[outcomeID]tally.Counter
	attempts  map[string]tally.Counter
	retries   tally.Counter
}

type latencyID struct {
	tenant settings.Tenant
	class  settings.Class
}

type outcomeID struct {
	outcome outcome.Outcome
	reason  outcome.Reason
}

func newMetrics(r *metric.Registry) *metrics {
	m := &metrics{
		registry:  r,
		latencies: make(map[latencyID]tally.Histogram),
		outcomes:  make(map[outcomeID]tally.Counter),
		attempts:  make(map[string]tally.Counter),
		retries:   r.Counter("resends"),
	}
	for _, name := range []string{"answered", "refused", "not_sent", "uncertain"} {
		m.attempts[name] = r.Tagged(map[string]string{"result": name}).Counter("tries")
	}
	return m
}

// countRequest records the outcome and the latency of a request.
func (m *metrics) countRequest(match route.Match, result outcome.Result, took time.Duration) {
	id := latencyID{match.Caller.Tenant, match.Route.Class}
	m.mu.RLock()
	h := m.latencies[id]
	m.mu.RUnlock()
	if h == nil {
		h = m.addLatency(id)
	}
	h.RecordDuration(took)
	m.outcomeCounter(outcomeID{outcome.Of(result), outcome.ReasonOf(result)}).Inc(1)
}

// addLatency creates the histogram of a tenant and class.
func (m *metrics) addLatency(id latencyID) tally.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.registry.Tagged(map[string]string{
		"tenant": m.registry.LabelValue("tenant", string(id.tenant)),
		"class":  m.registry.LabelValue("class", string(id.class)),
	}).Histogram("latency_seconds", metric.LatencyBuckets())
	m.latencies[id] = h
	return h
}

// outcomeCounter returns the counter of an outcome and reason, and creates it if
// necessary.
func (m *metrics) outcomeCounter(id outcomeID) tally.Counter {
	m.mu.RLock()
	c := m.outcomes[id]
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
	m.outcomes[id] = c
	return c
}

// countRejected records a request for which no route was found.
func (m *metrics) countRejected(reason outcome.Reason) {
	m.outcomeCounter(outcomeID{outcome.NotRun, reason}).Inc(1)
}

// countAttempt records the result of one attempt.
func (m *metrics) countAttempt(result forward.Result) {
	name := "uncertain"
	switch result.(type) {
	case forward.Completed:
		name = "answered"
	case forward.Refused:
		name = "refused"
	case forward.NotSent:
		name = "not_sent"
	}
	m.attempts[name].Inc(1)
}
