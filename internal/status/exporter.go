package status

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"citrontray.example/citrontray/internal/metric"
)

// exportInterval is the time between two exports.
const exportInterval = time.Second

// Exporter exports the reports of a daemon as metrics.
type Exporter struct {
	source   Source
	registry *metric.Registry
}

// NewExporter returns an exporter of source's reports.
func NewExporter(source Source, registry *metric.Registry) *Exporter {
	return &Exporter{source: source, registry: registry}
}

// Run exports a report once per interval until ctx is done.
func (m *Exporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(exportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.set(now, m.source.Report(now, Query{}))
		}
	}
}

// set sets the metrics from a report.
func (m *Exporter) set(now time.Time, r Report) {
	m.registry.Gauge("settings_number").Update(float64(r.Settings.Number))
	if !r.LastStoreResponse.IsZero() {
		m.registry.Gauge("store_silence_seconds").Update(max(now.Sub(r.LastStoreResponse).Seconds(), 0))
	}
	for i := range r.Cells {
		m.setCell(&r.Cells[i])
	}
	for i := range r.Targets {
		t := &r.Targets[i]
		scope := m.scope("target", t.Target)
		scope.Gauge("target_waiting").Update(float64(t.Waiting))
		scope.Gauge("target_running").Update(float64(t.Running))
	}
}

// setCell sets the metrics of one cell.
func (m *Exporter) setCell(c *Cell) {
	scope := m.scope("service", c.Service)
	leading := 0.0
	if c.Leading {
		leading = 1
	}
	scope.Gauge("cell_leading").Update(leading)
	scope.Gauge("cell_term").Update(float64(c.Term))
	scope.Gauge("cell_shards").Update(float64(c.Shards))
	scope.Gauge("cell_owned").Update(float64(c.Owned))
	scope.Gauge("cell_moving").Update(float64(c.Moving))
	scope.Gauge("cell_doubts").Update(float64(len(c.Blocked)))
	scope.Gauge("cell_solos").Update(float64(c.SingleKeys))
}

// scope returns the metrics with one label; the registry bounds the label's values.
func (m *Exporter) scope(label, value string) tally.Scope {
	return m.registry.Tagged(map[string]string{label: m.registry.LabelValue(label, value)})
}
