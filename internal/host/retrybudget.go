package host

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/site"
)

// retryBudgetShare is the share of the budget that is used. Requests are counted on
// arrival here and a little later at the targets.
const retryBudgetShare = 0.8

// retryBudget is this host's share of the deployment's retry budget: the ratio of its
// own requests, and an equal part of the slack. Safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget site.RetryBudget
	// hosts is the largest recent number of hosts, last seen at hostsAt. While the list
	// is incomplete for a moment, the shares of the other hosts must not be used.
	hosts   int
	hostsAt time.Time
	// firstListAt is when the first list arrived, maxHosts the length of the longest
	// one since.
	firstListAt time.Time
	maxHosts    int
	services    map[key.Service]*slidingWindow
}

func newRetryBudget() *retryBudget {
	return &retryBudget{hosts: initialHostCount, services: make(map[key.Service]*slidingWindow)}
}

// setBudget puts a budget in force.
func (r *retryBudget) setBudget(b site.RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = b
}

// initialHostCount is the assumed number of hosts until it is known.
const initialHostCount = 64

const (
	// hostCountTTL is how long a larger number of hosts is remembered.
	hostCountTTL = 20 * time.Second
	// hostCountSettleTime is how long after the first list more hosts may join. A host
	// that no registrar enters does so itself, after at most selfEntryDelay +
	// selfEntryJitter.
	hostCountSettleTime = selfEntryDelay + selfEntryJitter + time.Second
)

// setHosts sets the number of hosts that share the slack.
func (r *retryBudget) setHosts(now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstListAt.IsZero() {
		r.firstListAt = now
	}
	r.maxHosts = max(r.maxHosts, n, 1)
	switch {
	case now.Sub(r.firstListAt) < hostCountSettleTime:
	case r.hostsAt.IsZero():
		r.hosts, r.hostsAt = r.maxHosts, now
	case n >= r.hosts || now.Sub(r.hostsAt) > hostCountTTL:
		r.hosts, r.hostsAt = max(n, 1), now
	}
}

func (r *retryBudget) window(service key.Service) *slidingWindow {
	w := r.services[service]
	if w == nil {
		w = &slidingWindow{}
		r.services[service] = w
	}
	return w
}

// countRequest counts one request, which raises the budget.
func (r *retryBudget) countRequest(now time.Time, service key.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).bucketAt(now, r.budget.Window).requests++
}

// withdraw takes one retry from the budget. It returns false if the budget is
// exhausted.
func (r *retryBudget) withdraw(now time.Time, service key.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	b := w.bucketAt(now, r.budget.Window)
	requests, retried := w.sum()
	allowed := retryBudgetShare * (r.budget.Ratio*float64(requests) + float64(r.budget.Slack)/float64(r.hosts))
	if float64(retried+1) > allowed {
		return false
	}
	b.retries++
	return true
}

// windowBuckets is the number of buckets of a window.
const windowBuckets = 10

// slidingWindow counts requests and retries over the window of a budget.
type slidingWindow struct {
	buckets [windowBuckets]bucket
}

type bucket struct {
	index             int64
	requests, retries int
}

// bucketAt returns the bucket of the current time and clears expired ones.
func (w *slidingWindow) bucketAt(now time.Time, length time.Duration) *bucket {
	width := max(length/windowBuckets, time.Millisecond)
	current := now.UnixNano() / int64(width)
	b := &w.buckets[current%windowBuckets]
	if b.index != current {
		*b = bucket{index: current}
	}
	for i := range w.buckets {
		if w.buckets[i].index <= current-windowBuckets {
			w.buckets[i] = bucket{index: w.buckets[i].index}
		}
	}
	return b
}

func (w *slidingWindow) sum() (requests, retried int) {
	for i := range w.buckets {
		requests += w.buckets[i].requests
		retried += w.buckets[i].retries
	}
	return requests, retried
}
