package host

import (
	"github.com/uber-go/tally/v4"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
)

// homeOptions returns the options of this host's homes, which follow from the settings.
func (h *Host) homeOptions() []dispatch.HomeOption {
	if !h.site.Pressure {
		return nil
	}
	return []dispatch.HomeOption{dispatch.WithAdmission()}
}

// countAdmissionEvents counts what admission control did at the homes here.
func (m *metrics) countAdmissionEvents(service key.Service, c dispatch.AdmissionCounts) {
	m.countAdmissions(service, "floor", c.Floor)
	m.countAdmissions(service, "kept", c.Kept)
	m.countAdmissions(service, "broken", c.Broken)
	m.countAdmissions(service, "early", c.Early)
}

// countAdmissions counts a number of events of admission control of one kind.
func (m *metrics) countAdmissions(service key.Service, event string, n int) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	getOrCreate(m.counters, metricID{"admissions", string(service), event, ""}, func() tally.Counter {
		return m.scope(service, map[string]string{"event": event}).Counter("admissions")
	}).Inc(int64(n))
}

// countAdmissions passes on what admission control did at the homes here. The caller holds
// mu.
func (d *dispatcher) countAdmissions() {
	for service, c := range d.home.Admissions() {
		d.onAdmissions(service, c)
	}
}
