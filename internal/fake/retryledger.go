package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/site"
)

// RetryLedger records the requests that clients send and all that reaches targets, to
// check the retry budget of the deployment. The zero value is ready to use. It is safe for
// concurrent use.
type RetryLedger struct {
	mu       sync.Mutex
	services map[key.Service]*retryRecord
}

// retryRecord holds the requests for one service and the arrivals beyond the first of each
// request.
type retryRecord struct {
	sent, repeated []time.Time
	arrived        map[string]bool
}

func (l *RetryLedger) record(service key.Service) *retryRecord {
	if l.services == nil {
		l.services = make(map[key.Service]*retryRecord)
	}
	r := l.services[service]
	if r == nil {
		r = &retryRecord{arrived: make(map[string]bool)}
		l.services[service] = r
	}
	return r
}

// Sent records that a client sends a request.
func (l *RetryLedger) Sent(at time.Time, service key.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(service)
	r.sent = append(r.sent, at)
}

// Arrived records that a request arrives at a target, whether the target refuses it or not.
func (l *RetryLedger) Arrived(at time.Time, service key.Service, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(service)
	if r.arrived[id] {
		r.repeated = append(r.repeated, at)
	}
	r.arrived[id] = true
}

// RetryResult is the result of a check.
type RetryResult struct {
	// Repeated is the number of repeated arrivals, Highest the highest share of what the
	// budget allows that some window used.
	Repeated   int
	Highest    float64
	Violations []string
}

// Check checks that in any window each service got at most Ratio repeated arrivals for each
// request, plus Slack. The requests count in that window, the one before it, or the one
// half a window before it, whichever has most.
func (l *RetryLedger) Check(b site.RetryBudget, start time.Time) RetryResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out RetryResult
	for service, r := range l.services {
		slices.SortFunc(r.sent, time.Time.Compare)
		slices.SortFunc(r.repeated, time.Time.Compare)
		out.Repeated += len(r.repeated)
		worst, violation := 0.0, ""
		for _, at := range r.repeated {
			for _, from := range []time.Time{at, at.Add(time.Nanosecond - b.Window)} {
				repeated := count(r.repeated, from, b.Window)
				requests := max(count(r.sent, from, b.Window), count(r.sent, from.Add(-b.Window/2), b.Window), count(r.sent, from.Add(-b.Window), b.Window))
				allowed := b.Ratio*float64(requests) + float64(b.Slack)
				used := float64(repeated) / max(allowed, 1)
				if used > worst && float64(repeated) > allowed {
					violation = fmt.Sprintf("%s: %d repeated arrivals in %v from %.3f s, for %d requests, %.0f allowed",
						service, repeated, b.Window, from.Sub(start).Seconds(), requests, allowed)
				}
				worst = max(worst, used)
			}
		}
		out.Highest = max(out.Highest, worst)
		if violation != "" {
			out.Violations = append(out.Violations, violation)
		}
	}
	return out
}

// count returns the number of the sorted times in the window that begins at from.
func count(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}

// Count returns the repeated arrivals and the requests of a service in a span of time that
// begins at from. Check must have been called before.
func (l *RetryLedger) Count(service key.Service, from time.Time, span time.Duration) (repeated, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(service)
	return count(r.repeated, from, span), count(r.sent, from, span)
}
