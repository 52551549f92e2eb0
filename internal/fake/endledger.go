package fake

import (
	"fmt"
	"sync"
	"time"
)

// The rule for a request that ends the targets which run it: later than a given time after
// it has ended endLimit targets, it arrives at targets at most lateLimit times more.
const (
	endLimit  = 3
	lateLimit = 3
)

// EndLedger records the requests that end targets, by what makes them the same. The zero
// value is ready to use. It is safe for concurrent use.
type EndLedger struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time
	ends     map[string][]time.Time
}

// Arrived records that such a request arrives at a target.
func (l *EndLedger) Arrived(at time.Time, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrivals == nil {
		l.arrivals = make(map[string][]time.Time)
	}
	l.arrivals[request] = append(l.arrivals[request], at)
}

// Ended records that a target ended under it.
func (l *EndLedger) Ended(at time.Time, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ends == nil {
		l.ends = make(map[string][]time.Time)
	}
	l.ends[request] = append(l.ends[request], at)
}

// Ends returns how many targets ended under a request.
func (l *EndLedger) Ends(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends[request])
}

// EndResult is the result of a check.
type EndResult struct {
	// MostEnds is the highest number of targets that ended under one request, MostLate
	// that of the arrivals which the rule counts.
	MostEnds, MostLate int
	Violations         []string
}

// Check checks the rule, with the time after which arrivals count.
func (l *EndLedger) Check(stable time.Duration, start time.Time) EndResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out EndResult
	for request, ends := range l.ends {
		out.MostEnds = max(out.MostEnds, len(ends))
		if len(ends) < endLimit {
			continue
		}
		late := 0
		from := ends[endLimit-1].Add(stable)
		for _, at := range l.arrivals[request] {
			if at.After(from) {
				late++
			}
		}
		out.MostLate = max(out.MostLate, late)
		if late > lateLimit {
			out.Violations = append(out.Violations, fmt.Sprintf("%s: %d arrivals later than %.3f s, %d targets ended",
				request, late, from.Sub(start).Seconds(), len(ends)))
		}
	}
	return out
}
