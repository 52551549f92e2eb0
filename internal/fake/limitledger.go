package fake

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// The rule for a target that advertises a rate limit: in any limitWindow it gets at most
// limitRatio times the requests that the limit allows, plus limitSlack, from the hosts
// that passed on a response with the limit at least limitNotice before.
const (
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
)

// LimitLedger records what a target sees that advertises a rate limit. The zero value is
// ready to use. It is safe for concurrent use.
type LimitLedger struct {
	mu       sync.Mutex
	episodes []*limitEpisode
	current  *limitEpisode // nil while no limit is advertised
	value    string
}

// limitEpisode is a time over which a target advertises a limit.
type limitEpisode struct {
	// start is when the first response advertised the limit; zero before. end is when the
	// last one did; zero while the episode lasts.
	start, end time.Time
	rates      []limitRate
	arrivals   []limitArrival
	advertised map[string]bool // requests whose responses advertised the limit
}

// limitRate is a limit, in requests per second, and when the first response advertised it.
type limitRate struct {
	at   time.Time
	rate float64
}

// limitArrival is a request or, with an empty ID, an order.
type limitArrival struct {
	at time.Time
	id string
}

// SetValue sets the header value that responses carry from now on.
func (l *LimitLedger) SetValue(now time.Time, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = value
	if value == "" && l.current != nil {
		l.current.end, l.current = now, nil
	}
}

// Value returns the header value that responses carry, empty for none.
func (l *LimitLedger) Value() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value
}

// Arrived records a request, or an order if the ID is empty.
func (l *LimitLedger) Arrived(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.arrivals = append(l.current.arrivals, limitArrival{now, id})
	}
}

// Respond returns the header value for the response to a request, empty for none, and
// records it.
func (l *LimitLedger) Respond(now time.Time, id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, err := strconv.ParseFloat(l.value, 64)
	if err != nil {
		return l.value // malformed, or none
	}
	if l.current == nil {
		l.current = &limitEpisode{start: now, advertised: make(map[string]bool)}
		l.episodes = append(l.episodes, l.current)
	}
	e := l.current
	if n := len(e.rates); n == 0 || e.rates[n-1].rate != rate {
		e.rates = append(e.rates, limitRate{now, rate})
	}
	e.advertised[id] = true
	return l.value
}

// order returns 1 for an order and 0 for a request.
func (a *limitArrival) order() int {
	if a.id == "" {
		return 1
	}
	return 0
}

// Delivered is a response that a host returned to a client.
type Delivered struct {
	Host place.Host
	At   time.Time
}

// LimitCheck is what is known outside of a target about the requests that it got.
type LimitCheck struct {
	// Stable is the time after the first response with a limit from which the rule
	// applies.
	Stable time.Duration
	// Sender returns the host that forwarded a request.
	Sender func(id string) place.Host
	// Delivered returns the response to a request that a host returned, if any.
	Delivered func(id string) (Delivered, bool)
	// Exempt reports whether a host is exempt at a time, because it was restarted,
	// paused or partitioned.
	Exempt func(host place.Host, at time.Time) bool
	// ExemptOrders reports whether the orders at a time don't count, because ranges
	// could not move then. If it is nil, all orders count.
	ExemptOrders func(at time.Time) bool
}

// LimitResult is the result of a check.
type LimitResult struct {
	// Windows is the number of windows that were checked, Highest the highest ratio
	// of the counted requests to the allowed ones.
	Windows    int
	Highest    float64
	Violations []string
}

// Check applies the rule to all windows. Orders count as requests of a host that was
// notified.
func (l *LimitLedger) Check(c LimitCheck) LimitResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out LimitResult
	for _, e := range l.episodes {
		e.check(c, &out)
	}
	return out
}

func (e *limitEpisode) check(c LimitCheck, out *LimitResult) {
	notified := make(map[place.Host]time.Time)
	for id := range e.advertised {
		if p, ok := c.Delivered(id); ok {
			if at, known := notified[p.Host]; !known || p.At.Before(at) {
				notified[p.Host] = p.At
			}
		}
	}
	counted := e.counted(c, notified)
	first, orders := 0, 0
	for i, a := range counted {
		orders += a.order()
		for a.at.Sub(counted[first].at) >= limitWindow {
			orders -= counted[first].order()
			first++
		}
		if a.at.Sub(e.start) < c.Stable || !e.end.IsZero() && a.at.After(e.end) {
			continue
		}
		n, allowed := i-first+1, limitRatio*e.allows(a.at)+limitSlack
		out.Windows++
		out.Highest = max(out.Highest, float64(n)/allowed)
		if float64(n) > allowed {
			out.Violations = append(out.Violations, fmt.Sprintf("%.3f s after it first advertised a limit (%s): %d requests in %v, %d of them orders, allowed %.1f",
				a.at.Sub(e.start).Seconds(), e.describe(), n, limitWindow, orders, allowed))
		}
	}
}

// counted returns the requests that the rule counts, in their order. notified is when
// each host first passed on a response with the limit.
func (e *limitEpisode) counted(c LimitCheck, notified map[place.Host]time.Time) []limitArrival {
	var out []limitArrival
	for _, a := range e.arrivals {
		if since, counts := e.counts(a, c, notified); counts && a.at.Sub(since) >= limitNotice {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b limitArrival) int { return a.at.Compare(b.at) })
	return out
}

// counts reports whether the rule counts an arrival, and the time since which its sender
// was notified.
func (e *limitEpisode) counts(a limitArrival, c LimitCheck, notified map[place.Host]time.Time) (since time.Time, counts bool) {
	if a.id == "" {
		return e.start, c.ExemptOrders == nil || !c.ExemptOrders(a.at)
	}
	host := c.Sender(a.id)
	since, counts = notified[host]
	return since, counts && !c.Exempt(host, a.at)
}

// allows returns the requests that the limit allows in the window that ends at a time.
func (e *limitEpisode) allows(end time.Time) float64 {
	var sum float64
	begin := end.Add(-limitWindow)
	for i, r := range e.rates {
		from, to := begin, end
		if i > 0 {
			from = later(begin, e.appliesFrom(i))
		}
		if i+1 < len(e.rates) && e.appliesFrom(i+1).Before(end) {
			to = e.appliesFrom(i + 1)
		}
		sum += r.rate * max(to.Sub(from), 0).Seconds()
	}
	return sum
}

// appliesFrom returns when a changed rate applies: a higher one at once, a lower one
// limitNotice after the first response with it.
func (e *limitEpisode) appliesFrom(i int) time.Time {
	at := e.rates[i].at
	if e.rates[i].rate < e.rates[i-1].rate {
		at = at.Add(limitNotice)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *limitEpisode) describe() string {
	s := ""
	for i, r := range e.rates {
		if i > 0 {
			s += ", "
		}
		s += strconv.FormatFloat(r.rate, 'g', 4, 64)
	}
	return s + " a second"
}
