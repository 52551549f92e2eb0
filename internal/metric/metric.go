// Package metric sets up the metrics of a program: tally scopes behind a page
// that the usual collectors read, with label sets bounded in size.
package metric

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the page.
const reportInterval = time.Second

// maxLabelValues bounds the values of one label; later ones count as Other.
const maxLabelValues = 256

// OtherValue stands for all label values past the bound.
const OtherValue = "other"

// Registry is the root of a program's metrics.
type Registry struct {
	tally.Scope

	handler http.Handler
	closer  io.Closer

	mu          sync.Mutex
	labelValues map[string]map[string]struct{}
}

// New returns a registry whose names start with prefix.
func New(prefix string) *Registry {
	own := prom.NewRegistry() // the library's default is one per process
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: own, Gatherer: own})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Registry{
		Scope:       scope,
		handler:     reporter.HTTPHandler(),
		closer:      closer,
		labelValues: make(map[string]map[string]struct{}),
	}
}

// Handler serves the page /metrics.
func (r *Registry) Handler() http.Handler { return r.handler }

// Close stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }

// LabelValue returns value, or Other once the label has too many values.
func (r *Registry) LabelValue(label, value string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.labelValues[label]
	if known == nil {
		known = make(map[string]struct{})
		r.labelValues[label] = known
	}
	if _, ok := known[value]; ok {
		return value
	}
	if len(known) >= maxLabelValues {
		return OtherValue
	}
	known[value] = struct{}{}
	return value
}

// LatencyBuckets are the bounds of latency histograms: 50 µs to 26 s, doubling.
func LatencyBuckets() tally.Buckets {
	const first, count = 50 * time.Microsecond, 20
	return tally.MustMakeExponentialDurationBuckets(first, 2, count)
}
