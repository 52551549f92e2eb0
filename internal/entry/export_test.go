package entry

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Demand returns the requests that wait or run here for each target.
func (e *Entry) Demand() map[place.Target]int {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	out := map[place.Target]int{}
	for id, l := range e.lanes {
		l.mu.Lock()
		out[id.target] = l.queue.Len() + l.running
		l.mu.Unlock()
	}
	return out
}

// ShareSlots gives this entry host a share of a target's slots.
func (e *Entry) ShareSlots(target place.Target, slots int) {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	for id, l := range e.lanes {
		if id.target != target {
			continue
		}
		l.mu.Lock()
		l.limiter.slots, l.limiter.limit = slots, float64(slots)
		l.start(time.Now())
		l.mu.Unlock()
	}
}

// Suspects reports whether a host did not answer its last ping.
func (e *Entry) Suspects(host place.Host) bool { return e.homes.suspected(host) }

// Use makes a host one that work is handed to.
func (e *Entry) Use(row place.HostRow) { e.homes.use(time.Now(), row) }
