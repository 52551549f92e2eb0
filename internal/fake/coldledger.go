package fake

import (
	"sync"
	"time"
)

// ColdLedger records how many requests a target gets while it is cold. It is safe for
// concurrent use.
type ColdLedger struct {
	mu sync.Mutex
	// begin is since when requests count, end when the target is warm.
	begin, end time.Time
	// recent are the requests of the last second that count, most is the number of requests in
	// the second with the most of them.
	recent []time.Time
	most   int
}

// Cold makes the target cold until end. Requests count from begin on, when all hosts know it.
func (l *ColdLedger) Cold(begin, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin, l.end, l.recent = begin, end, nil
}

// Arrived records a request that the target accepted.
func (l *ColdLedger) Arrived(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.begin) || !now.Before(l.end) {
		return
	}
	l.recent = append(l.recent, now)
	for now.Sub(l.recent[0]) >= time.Second {
		l.recent = l.recent[1:]
	}
	l.most = max(l.most, len(l.recent))
}

// Left returns how much longer the target is cold.
func (l *ColdLedger) Left(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.end.Sub(now), 0)
}

// Most returns the number of requests in the second with the most of them.
func (l *ColdLedger) Most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}
