// Package metric sets up the metrics of a program: tally scopes that are
// exported in the Prometheus format, with a bound on the values of each label.
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

// reportInterval is the time between two updates of the exported values.
const reportInterval = time.Second

// maxLabelValues bounds the values of one label; further ones are counted under
// OtherValue.
const maxLabelValues = 256

// OtherValue replaces the label values beyond maxLabelValues.
const OtherValue = "other"

// Registry is the root of a program's metrics.
type Registry struct {
	tally.Scope

	handler http.Handler
	closer  io.Closer

	mu          sync.Mutex
	labelValues map[string]map[string]struct{}
}

// New returns a registry whose metric names start with prefix.
func New(prefix string) *Registry {
	registry := prom.NewRegistry() // the default registry is one per process and would be shared
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
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

// Handler serves the metrics in the Prometheus format.
func (r *Registry) Handler() http.Handler { return r.handler }

// Close stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }

// LabelValue returns value, or OtherValue where the label has maxLabelValues
// other values already.
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
