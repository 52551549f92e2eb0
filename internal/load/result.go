package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/settings"
)

const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
	// maxExamples bounds the examples of failed calls that are kept.
	maxExamples = 16
)

// Result records the results of all calls of a generator. It is safe for concurrent use.
type Result struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	byClass   map[settings.Class]*hdrhistogram.Histogram
	done      []string // operations to compare with those that ran
	notRun    []string
	refusals  []refusal // for each of notRun
	counts    Counts
	reasons   map[string]uint64
	outages   *Outages
	examples  []string
	firstDone time.Time
	lastDone  time.Time
}

// refusal is the response to an operation that was reported as not run.
type refusal struct {
	service key.Service
	reason  string
}

// Counts counts calls by how they ended.
type Counts struct {
	Requests, Done, NotRun, Unknown, Lost, Wrong uint64
	// Dropped counts arrivals that the generator dropped at maxInFlight.
	Dropped uint64
}

// NewResult returns an empty record.
func NewResult() *Result {
	return &Result{
		latency: newHistogram(),
		byClass: make(map[settings.Class]*hdrhistogram.Histogram),
		reasons: make(map[string]uint64),
		outages: NewOutages(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// record records the result of one call.
func (r *Result) record(c call, shard key.Shard, end callResult, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	switch end.state {
	case endDone:
		r.recordDone(c, shard, now)
		return
	case endNotRun:
		r.counts.NotRun++
		r.notRun = append(r.notRun, c.operation)
		r.refusals = append(r.refusals, refusal{service: c.stream.Service, reason: end.reason})
	case endUnknown:
		r.counts.Unknown++
	case endLost:
		r.counts.Lost++
		r.addExample("no response after %s: %s %s: %s, status %d, %v", now.Sub(c.due), c.stream.Method, c.uri(), end.reason, end.status, end.err)
	case endWrong:
		r.counts.Wrong++
		r.addExample("wrong response: %s %s: %s, status %d, %v", c.stream.Method, c.uri(), end.reason, end.status, end.err)
	}
	r.reasons[end.reason]++
	if !isLoadShed(end.reason) {
		r.outages.Failed(c.stream.Service, shard, c.due)
	}
}

func (r *Result) recordDone(c call, shard key.Shard, now time.Time) {
	r.counts.Done++
	r.done = append(r.done, c.operation)
	r.outages.Served(c.stream.Service, shard, c.due, now)
	if c.probe {
		return // the latency of probes is not that of the load
	}
	micros := min(now.Sub(c.due).Microseconds(), highestMicros)
	_ = r.latency.RecordValue(micros) // cannot fail: micros is within the bounds
	class := r.byClass[c.stream.Class]
	if class == nil {
		class = newHistogram()
		r.byClass[c.stream.Class] = class
	}
	_ = class.RecordValue(micros)
	if r.firstDone.IsZero() {
		r.firstDone = now
	}
	r.lastDone = now
}

// isLoadShed reports whether a request was refused because of load, not for lack of an
// owner.
func isLoadShed(reason string) bool {
	return reason == reasonOverload || reason == reasonLimited
}

func (r *Result) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Dropped++
}

// addExample keeps an example, up to maxExamples. The caller must hold mu.
func (r *Result) addExample(format string, args ...any) {
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf(format, args...))
	}
}

// RunCounter returns how often each operation ran at the targets.
type RunCounter func(operations []string) ([]uint32, error)

// Summary summarizes the results of a load.
type Summary struct {
	Counts
	P50, P99 time.Duration
	Classes  map[settings.Class]Percentiles
	// PerSecond is the rate of done requests.
	PerSecond float64
	// FalseNotRun counts operations that ran although the response was not-run,
	// FalseDone those that did not run although the response was done.
	FalseNotRun, FalseDone uint64
	OutageSum              time.Duration
	OutageMax              time.Duration
	OutageShards           int
	Worst                  []Outage
	Reasons                map[string]uint64
	Examples               []string
}

// Percentiles holds the latency percentiles of one class.
type Percentiles struct{ P50, P99 time.Duration }

// maxWorst is the number of longest outages in a summary.
const maxWorst = 5

// Summarize ends the record at now, compares it with the operations that ran, and returns
// the summary.
func (r *Result) Summarize(now time.Time, runs RunCounter) (Summary, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages.Finish(now)
	s := Summary{
		Counts:   r.counts,
		P50:      percentile(r.latency, 50),
		P99:      percentile(r.latency, 99),
		Classes:  make(map[settings.Class]Percentiles),
		Worst:    r.outages.Worst(maxWorst),
		Reasons:  r.reasons,
		Examples: r.examples,
	}
	s.OutageSum, s.OutageMax, s.OutageShards = r.outages.Totals()
	for class, histogram := range r.byClass {
		s.Classes[class] = Percentiles{P50: percentile(histogram, 50), P99: percentile(histogram, 99)}
	}
	if span := r.lastDone.Sub(r.firstDone); span > 0 {
		s.PerSecond = float64(r.counts.Done) / span.Seconds()
	}
	return s, r.compare(&s, runs)
}

// compare compares the recorded operations with those that ran at the targets.
func (r *Result) compare(s *Summary, runs RunCounter) error {
	counts, err := runs(r.notRun)
	if err != nil {
		return err
	}
	for i, n := range counts {
		if n > 0 {
			s.FalseNotRun++
			r.addExample("false not-run: operation %s of %s ran %d times, refused as %s",
				r.notRun[i], r.refusals[i].service, n, r.refusals[i].reason)
		}
	}
	if counts, err = runs(r.done); err != nil {
		return err
	}
	for i, n := range counts {
		if n == 0 {
			s.FalseDone++
			r.addExample("done but never ran: operation %s", r.done[i])
		}
	}
	s.Examples = r.examples
	return nil
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}

// Counts returns the counts so far.
func (r *Result) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
