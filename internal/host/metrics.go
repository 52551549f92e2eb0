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
	"citrontray.example/citrontray/internal/transfer"
)

// metrics holds the counters and histograms of a host. Safe for concurrent use.
type metrics struct {
	registry *metric.Registry

	mu         sync.Mutex
	counters   map[metricID]tally.Counter
	histograms map[metricID]tally.Histogram
}

// metricID identifies a metric and its label values.
type metricID struct{ name, service, first, second string }

func newMetrics(r *metric.Registry) *metrics {
	return &metrics{
		registry:   r,
		counters:   make(map[metricID]tally.Counter),
		histograms: make(map[metricID]tally.Histogram),
	}
}

// getOrCreate returns the metric with the ID. It calls open to create it on first use.
func getOrCreate[M any](known map[metricID]M, id metricID, open func() M) M {
	m, ok := known[id]
	if !ok {
		m = open()
		known[id] = m
	}
	return m
}

// countRequest counts a request by its outcome and records its time.
func (m *metrics) countRequest(service key.Service, r outcome.Result, took time.Duration) {
	o, status := string(outcome.Of(r)), strconv.Itoa(outcome.Status(r))
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"requests", string(service), o, status}, func() tally.Counter {
		return m.scope(service, map[string]string{"outcome": o, "status": status}).Counter("requests")
	}).Inc(1)
	getOrCreate(m.histograms, metricID{"latency_seconds", string(service), o, ""}, func() tally.Histogram {
		return m.scope(service, map[string]string{"end": o}).Histogram("latency_seconds", metric.LatencyBuckets())
	}).RecordDuration(took)
}

// countNotRun counts a request that is reported as not run, by what proves it.
func (m *metrics) countNotRun(service key.Service, p proof) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"not_run", string(service), string(p), ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"proof": string(p)}).Counter("not_run")
	}).Inc(1)
}

// countUnmarked counts a response with a status that means that the request did not run,
// without the target's mark.
func (m *metrics) countUnmarked(service key.Service, status int) {
	text := strconv.Itoa(status)
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"unmarked_responses", string(service), text, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"status": text}).Counter("unmarked_responses")
	}).Inc(1)
}

// countAttempt counts an attempt by its result and records its time and its wait for a
// slot.
func (m *metrics) countAttempt(service key.Service, end dispatch.Result, took, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"attempts", string(service), end.String(), ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"end": end.String()}).Counter("attempts")
	}).Inc(1)
	getOrCreate(m.histograms, metricID{"attempt_seconds", string(service), end.String(), ""}, func() tally.Histogram {
		return m.scope(service, map[string]string{"end": end.String()}).Histogram("attempt_seconds", metric.LatencyBuckets())
	}).RecordDuration(took)
	getOrCreate(m.histograms, metricID{"wait_seconds", string(service), "", ""}, func() tally.Histogram {
		return m.scope(service, map[string]string{}).Histogram("wait_seconds", metric.LatencyBuckets())
	}).RecordDuration(waited)
}

// countPath counts a path to a target that was lost, or is back.
func (m *metrics) countPath(service key.Service, back bool) {
	result := "lost"
	if back {
		result = "back"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"paths", string(service), result, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"result": result}).Counter("paths")
	}).Inc(1)
}

// countRelay counts a request that was passed to another host, by its outcome, or "none" if
// no host took it.
func (m *metrics) countRelay(service key.Service, result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"relays", string(service), result, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"result": result}).Counter("relays")
	}).Inc(1)
}

// countRetry counts a retry: "made", or "denied" by the budget.
func (m *metrics) countRetry(service key.Service, result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"retries", string(service), result, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"result": result}).Counter("retries")
	}).Inc(1)
}

// countEnd counts a target that ended under a request of this host.
func (m *metrics) countEnd(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"target_ends", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("target_ends")
	}).Inc(1)
}

// countQuarantined counts a request that is quarantined.
func (m *metrics) countQuarantined(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"quarantined", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("quarantined")
	}).Inc(1)
}

// countQuarantineRefusal counts a refusal of a quarantined request.
func (m *metrics) countQuarantineRefusal(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"quarantine_refusals", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("quarantine_refusals")
	}).Inc(1)
}

// countOrder counts an order to a target by kind and result.
func (m *metrics) countOrder(service key.Service, kind, result string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"orders", string(service), kind, result}, func() tally.Counter {
		return m.scope(service, map[string]string{"kind": kind, "result": result}).Counter("orders")
	}).Inc(1)
}

// countLimit counts a change of a target's rate limit: "advertised", "ended" or
// "invalid".
func (m *metrics) countLimit(service key.Service, change string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"limits", string(service), change, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"change": change}).Counter("limits")
	}).Inc(1)
}

// countLoad counts a response that states the target's load: "usual", "slow" or
// "invalid".
func (m *metrics) countLoad(service key.Service, state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"load_reports", string(service), state, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"state": state}).Counter("load_reports")
	}).Inc(1)
}

// countLimitRefusal counts a request that was refused because of the rate limit of a
// target.
func (m *metrics) countLimitRefusal(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"limit_refusals", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("limit_refusals")
	}).Inc(1)
}

// countLeavingRefusal counts a request that was refused because the owner of its key is
// leaving and has no successor yet.
func (m *metrics) countLeavingRefusal(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"leaving_refusals", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("leaving_refusals")
	}).Inc(1)
}

// countEvacuatedRefusal counts a request that was refused because of an evacuation.
func (m *metrics) countEvacuatedRefusal(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"evacuated_refusals", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("evacuated_refusals")
	}).Inc(1)
}

// setEvacuatedZones sets the number of evacuated zones.
func (m *metrics) setEvacuatedZones(n int) { m.registry.Gauge("evacuated_zones").Update(float64(n)) }

// countTransferRefusal counts a request for a large response that was refused since there was
// no room for the response on this host.
func (m *metrics) countTransferRefusal(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"transfer_refusals", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("transfer_refusals")
	}).Inc(1)
}

// countRegionRefusal counts a request that was refused since no target in the regions of its
// route can serve it.
func (m *metrics) countRegionRefusal(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"region_refusals", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("region_refusals")
	}).Inc(1)
}

// setTransfers sets the bytes of large responses in flight and the requests that wait for room.
func (m *metrics) setTransfers(link, memory transfer.Bytes, waiting int) {
	m.registry.Gauge("transfer_link_bytes").Update(float64(link))
	m.registry.Gauge("transfer_memory_bytes").Update(float64(memory))
	m.registry.Gauge("transfers_waiting").Update(float64(waiting))
}

// countResent counts a request for a ticket that was sent again.
func (m *metrics) countResent(service key.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"ticket_resends", string(service), "", ""}, func() tally.Counter {
		return m.scope(service, map[string]string{}).Counter("ticket_resends")
	}).Inc(1)
}

// countCall counts a store call by kind and result.
func (m *metrics) countCall(kind string, err error) {
	result := callResult(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"calls", "", kind, result}, func() tally.Counter {
		return m.registry.Tagged(map[string]string{"kind": kind, "result": result}).Counter("calls")
	}).Inc(1)
}

// countRestore counts a restore of the store from an older snapshot.
func (m *metrics) countRestore() { m.registry.Counter("store_restored").Inc(1) }

// countPanic counts a panic by the part of the process.
func (m *metrics) countPanic(part string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"panics", "", part, ""}, func() tally.Counter {
		return m.registry.Tagged(map[string]string{"part": part}).Counter("panics")
	}).Inc(1)
}

// countDecision counts a decision of a leader by its text.
func (m *metrics) countDecision(service key.Service, text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"decisions", string(service), text, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"text": text}).Counter("decisions")
	}).Inc(1)
}

func (m *metrics) scope(service key.Service, labels map[string]string) tally.Scope {
	labels["service"] = m.registry.LabelValue("service", string(service))
	return m.registry.Tagged(labels)
}
