package entry

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Demand returns the requests that wait or run here for each target.
func (e *Entry) Demand() map[place.Target]int {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	out := map[place.Target]int{}
	for id, l := range e.targetStates {
		l.mu.Lock()
		out[id.target] = l.queue.Len() + l.inFlight
		l.mu.Unlock()
	}
	return out
}

// SetSlots gives this entry host a share of a target's slots.
func (e *Entry) SetSlots(target place.Target, slots int) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	for id, l := range e.targetStates {
		if id.target != target {
			continue
		}
		l.mu.Lock()
		l.concurrency.slots, l.concurrency.limit = slots, float64(slots)
		l.startQueued(time.Now())
		l.mu.Unlock()
	}
}

// Suspected reports whether a host did not answer its last ping.
func (e *Entry) Suspected(host place.Host) bool { return e.homes.suspected(host) }

// RecordHomeUse makes a host one that work is handed to.
func (e *Entry) RecordHomeUse(row place.HostRow) { e.homes.recordUse(time.Now(), row) }
