package host

import (
	"log/slog"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// slowPeriod is the stated slowdown from which a response counts as sent in a slow period.
const slowPeriod = 1.5

// countLoad counts what the response to a job's request states about the target's load. An
// invalid statement is logged once for each incarnation of the target.
func (j *job) countLoad(row place.TargetRow, s target.Signal, end dispatch.Result) {
	if end == dispatch.ResultServed {
		j.host.dispatcher.recordLoad(j.service.Name, s.Load != nil)
	}
	switch {
	case s.InvalidLoad != "":
		j.host.metrics.countLoad(j.service.Name, "invalid")
		if j.host.dispatcher.firstInvalidLoad(row) {
			j.host.log.Warn("Target reports an invalid load, ignored.", slog.String("service", string(j.service.Name)),
				slog.String("target", string(row.Target)), slog.String("value", s.InvalidLoad), slog.String("request", j.request.ID))
		}
	case s.Load == nil:
	case s.Load.Slowdown >= slowPeriod:
		j.host.metrics.countLoad(j.service.Name, "slow")
	default:
		j.host.metrics.countLoad(j.service.Name, "usual")
	}
}

// firstInvalidLoad reports whether this is the first invalid load of an incarnation of a
// target.
func (d *dispatcher) firstInvalidLoad(row place.TargetRow) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.invalidLoads[row.Target]; ok && known == row.Incarnation {
		return false
	}
	d.invalidLoads[row.Target] = row.Incarnation
	return true
}

// loadShareWeight is the weight of the newest response in the share of those that state a load.
const loadShareWeight = 0.05

// recordLoad records whether the response to a request stated the target's load.
func (d *dispatcher) recordLoad(service key.Service, stated bool) {
	sample := 0.0
	if stated {
		sample = 1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	share, known := d.loadShares[service]
	if !known {
		share = sample
	}
	d.loadShares[service] = share + loadShareWeight*(sample-share)
}

// reportsLoad reports whether most responses of a service's targets to this host state their
// load.
func (d *dispatcher) reportsLoad(service key.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadShares[service] > 0.5
}
