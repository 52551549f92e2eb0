package entry

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Demand returns the number of requests queued or in flight for each target.
func (e *Entry) Demand() map[place.Target]int {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	out := map[place.Target]int{}
	for id, ts := range e.targetStates {
		ts.mu.Lock()
		out[id.target] = ts.queue.Len() + ts.inFlight
		ts.mu.Unlock()
	}
	return out
}

// SetSlots sets this entry host's share of a target's slots.
func (e *Entry) SetSlots(target place.Target, slots int) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for id, ts := range e.targetStates {
		if id.target != target {
			continue
		}
		ts.mu.Lock()
		ts.concurrency.slots, ts.concurrency.limit = slots, float64(slots)
		ts.startQueued(time.Now())
		ts.mu.Unlock()
	}
}

// Suspected reports whether a host is suspected to be unreachable.
func (e *Entry) Suspected(host place.Host) bool { return e.homes.suspected(host) }

// RecordHomeUse makes the monitor ping a host.
func (e *Entry) RecordHomeUse(row place.HostRow) { e.homes.recordUse(time.Now(), row) }
