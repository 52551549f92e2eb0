// Package budget limits the retries of one host, so that those of all hosts together stay
// within the retry budget of the deployment.
//
// The budget is a rule for any window of time, while a host that is killed forgets what it
// has spent. So each host has a token bucket that starts empty: requests and time fill it,
// and what all buckets hold together is a part of the slack. Whatever hosts restart, the
// retries in a window are then at most those that its requests and its time pay for, and
// what the buckets held at its start. Which share of the slack a host may use: see share.
package budget

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/site"
)

const (
	// requestFill is the share of the budget's ratio that each request adds to a bucket,
	// requestBurst the share of it that the bucket holds for each request of the last
	// window. Together they are below 1, since a retry may arrive in a later window than
	// the one in which it was sent.
	requestFill  = 0.89
	requestBurst = 0.08
	// slackFill is the share of the slack that is added to all buckets together in one
	// window, slackBurst the share that they hold.
	slackFill  = 0.65
	slackBurst = 0.34
)

// Retries is this host's part of the deployment's retry budget. Safe for concurrent use.
type Retries struct {
	mu       sync.Mutex
	budget   site.RetryBudget
	share    share
	services map[key.Service]*bucket
	// startedAt is when the budget was first used. Times are measured from it, since the
	// time of day may be set.
	startedAt time.Time
}

// New returns an empty budget.
func New() *Retries {
	return &Retries{services: make(map[key.Service]*bucket)}
}

// SetBudget puts a budget in force.
func (r *Retries) SetBudget(b site.RetryBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = b
}

// ObserveHosts records the number of hosts in a new list, and whether this one is among
// them.
func (r *Retries) ObserveHosts(now time.Time, hosts int, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fillAll(now)
	r.share.observe(now, hosts, listed)
}

// Confirm records that a registrar with a list of so many hosts, at most MaxListAge old,
// confirms that this host is listed.
func (r *Retries) Confirm(now time.Time, hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fillAll(now)
	r.share.confirm(now, hosts)
}

// CountRequest counts one request, which fills the bucket.
func (r *Retries) CountRequest(now time.Time, service key.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fill(now, service)
	b.requests.count(r.elapsed(now), r.budget.Window)
	b.tokens = min(b.tokens+requestFill*r.budget.Ratio, r.capacity(now, b))
}

// Withdraw takes one retry from the budget of a service. It returns false if the budget
// is exhausted, and the state of the budget.
func (r *Retries) Withdraw(now time.Time, service key.Service) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fill(now, service)
	ok := b.tokens >= 1
	if ok {
		b.tokens--
		b.made++
	} else {
		b.denied++
	}
	return r.state(now, service, b), ok
}

// Return gives back a retry that was not sent.
func (r *Retries) Return(now time.Time, service key.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fill(now, service)
	b.made--
	b.tokens = min(b.tokens+1, r.capacity(now, b))
}

// bucket holds the retries that a host may make to one service.
type bucket struct {
	tokens   float64
	filledAt time.Time
	requests slidingWindow
	// made and denied count retries since the start of the process.
	made, denied int
}

// fill adds what has become available to the bucket of a service, and returns it.
func (r *Retries) fill(now time.Time, service key.Service) *bucket {
	b := r.services[service]
	if b == nil {
		b = &bucket{filledAt: now}
		r.services[service] = b
	}
	if now.After(b.filledAt) {
		if usable := r.share.usableTime(b.filledAt, now); usable > 0 {
			windows := usable.Seconds() / r.budget.Window.Seconds()
			b.tokens += slackFill * float64(r.budget.Slack) / float64(r.share.hosts()) * windows
		}
		b.filledAt = now
	}
	b.tokens = min(b.tokens, r.capacity(now, b))
	return b
}

// fillAll fills all buckets, before the share of this host changes.
func (r *Retries) fillAll(now time.Time) {
	for service := range r.services {
		r.fill(now, service)
	}
}

// capacity returns what a bucket holds.
func (r *Retries) capacity(now time.Time, b *bucket) float64 {
	requests := b.requests.sum(r.elapsed(now), r.budget.Window)
	return slackBurst*float64(r.budget.Slack)*r.share.size(now) + requestBurst*r.budget.Ratio*float64(requests)
}

// elapsed returns the time since the budget was first used.
func (r *Retries) elapsed(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	return now.Sub(r.startedAt)
}

// State is the budget of one service at this host.
type State struct {
	Service key.Service
	// Left is the number of retries that the host may make now, Limit the highest that it
	// can be at present.
	Left, Limit float64
	// Hosts is the number of hosts by which the slack is divided, Sharing whether this one
	// may use its share now.
	Hosts   int
	Sharing bool
	// Made and Denied count the retries since the start of the process.
	Made, Denied int
}

// States returns the state of each service, sorted by name.
func (r *Retries) States(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]State, 0, len(r.services))
	for service := range r.services {
		out = append(out, r.state(now, service, r.fill(now, service)))
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (r *Retries) state(now time.Time, service key.Service, b *bucket) State {
	return State{
		Service: service, Left: max(b.tokens, 0), Limit: r.capacity(now, b), Hosts: r.share.hosts(), Sharing: r.share.size(now) > 0,
		Made: b.made, Denied: b.denied,
	}
}

// windowSlots is the number of slots of a window.
const windowSlots = 10

// slidingWindow counts requests over nine to ten tenths of a window.
type slidingWindow struct {
	slots [windowSlots]slot
}

type slot struct {
	index    int64
	requests int
}

// count counts a request, given the time since the first use.
func (w *slidingWindow) count(elapsed, length time.Duration) {
	current := slotIndex(elapsed, length)
	s := &w.slots[current%windowSlots]
	if s.index != current {
		*s = slot{index: current}
	}
	s.requests++
}

// sum returns the requests of the last window.
func (w *slidingWindow) sum(elapsed, length time.Duration) int {
	n, current := 0, slotIndex(elapsed, length)
	for _, s := range w.slots {
		if s.index > current-windowSlots {
			n += s.requests
		}
	}
	return n
}

func slotIndex(elapsed, length time.Duration) int64 {
	return int64(max(elapsed, 0) / max(length/windowSlots, time.Millisecond))
}
