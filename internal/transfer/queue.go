package transfer

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/traffic"
)

const (
	// stallTime is how long a response uses the link without progress: a target that does not
	// respond, or a client that does not read, sends nothing. The known downloads take 180 ms
	// at their targets, three times that in slow periods.
	stallTime = time.Second
	// slowFactor is how much slower than the link alone a client may read a complete response
	// before it counts as stalled: the link is shared.
	slowFactor = 4
	// minRetryAfter and maxRetryAfter bound retry delays. Where the rate of the link is not
	// known, the delay is minRetryAfter.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// crossings is how often a byte crosses the link: from the target, and to the client.
	crossings = 2
	// maxWaiting bounds the requests that wait. A link of 200 Mbit/s sends about 800 downloads
	// of average size within an objective of 3 s.
	maxWaiting = 1000
)

// ID identifies a request in the queue.
type ID uint64

// Request is a request for a large response.
type Request struct {
	ID    ID
	Route traffic.RouteName
	// Until is when the request no longer waits.
	Until time.Time
}

// Decision is the decision about a Request: Admitted, Queued or Refused.
type Decision interface{ decision() }

// Admitted lets the request be sent. Its room is kept until Queue.Release.
type Admitted struct{}

// Queued makes the request wait until Queue.Admit returns it or Queue.Release removes it.
type Queued struct{}

// Refused refuses the request. Room is expected after RetryAfter.
type Refused struct{ RetryAfter time.Duration }

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// room is what a response in flight takes.
type room struct {
	route traffic.RouteName
	// size is the estimate, or what was received if that is more, and the exact size once the
	// response is complete.
	size, received Bytes
	// linkUntil is when the response no longer counts as using the link unless it progresses.
	linkUntil time.Time
}

// waiter is a request that waits for room.
type waiter struct {
	Request

	size Bytes
}

// Queue decides when requests for large responses are sent: in the order of their arrival, as
// soon as there is room for the response. A response larger than a limit is sent once no other
// one is in flight. Not safe for concurrent use.
type Queue struct {
	limits  Limits
	sizes   sizes
	rooms   map[ID]*room
	waiting []waiter
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, sizes: make(sizes), rooms: make(map[ID]*room)}
}

// Ask decides about a request.
func (q *Queue) Ask(now time.Time, r Request) Decision {
	w := waiter{Request: r, size: q.sizes.estimate(r.Route)}
	q.dropLate(now)
	if len(q.waiting) == 0 && q.fits(now, w.size) {
		q.start(now, w)
		return Admitted{}
	}
	wait := q.wait(now, w.size)
	if len(q.waiting) >= maxWaiting || !now.Add(wait).Before(r.Until) {
		return Refused{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	q.waiting = append(q.waiting, w)
	return Queued{}
}

// Admit returns the waiting requests that may be sent now. It is called after Complete and
// Release, and at NextChange.
func (q *Queue) Admit(now time.Time) []ID {
	q.dropLate(now)
	var out []ID
	for len(q.waiting) > 0 && q.fits(now, q.waiting[0].size) {
		q.start(now, q.waiting[0])
		out = append(out, q.waiting[0].ID)
		q.waiting = q.waiting[1:]
	}
	return out
}

// Expire removes a request that has waited until its time, and returns its refusal.
func (q *Queue) Expire(now time.Time, id ID) Refused {
	size := defaultSize
	for _, w := range q.waiting {
		if w.ID == id {
			size = w.size
		}
	}
	q.Release(id)
	return Refused{RetryAfter: min(max(q.wait(now, size), minRetryAfter), maxRetryAfter)}
}

// Grow records that memory was reserved for the bytes of a response, which are about to be
// received. It returns false if the memory for large responses does not suffice.
func (q *Queue) Grow(now time.Time, id ID, more Bytes) bool {
	r := q.rooms[id]
	if r == nil {
		return true
	}
	r.received += more
	r.linkUntil = now.Add(stallTime)
	if r.received <= r.size {
		return true
	}
	was := r.size
	r.size = r.received
	if q.limits.Memory > 0 && q.inMemory() > q.limits.Memory {
		r.size, r.received = was, r.received-more
		return false
	}
	return true
}

// Complete records that a response was received whole, so that it is written to its client.
// typical is set if later responses of the route probably have such sizes.
func (q *Queue) Complete(now time.Time, id ID, n Bytes, typical bool) {
	r := q.rooms[id]
	if r == nil {
		return
	}
	r.size, r.received = n, n
	r.linkUntil = now.Add(stallTime + slowFactor*q.limits.Rate.duration(n))
	if typical {
		q.sizes.observe(r.route, n)
	}
}

// Release removes a request: its response was written, or there is none.
func (q *Queue) Release(id ID) {
	delete(q.rooms, id)
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool { return w.ID == id })
}

// NextChange returns when a response in flight will count as stalled, so that others may be
// sent; zero if none will.
func (q *Queue) NextChange(now time.Time) time.Time {
	var next time.Time
	for _, r := range q.rooms {
		if r.linkUntil.After(now) && (next.IsZero() || r.linkUntil.Before(next)) {
			next = r.linkUntil
		}
	}
	return next
}

// Load returns the bytes that use the link and memory, and the number of waiting requests.
func (q *Queue) Load(now time.Time) (link, memory Bytes, waiting int) {
	return q.onLink(now), q.inMemory(), len(q.waiting)
}

// start gives a request its room.
func (q *Queue) start(now time.Time, w waiter) {
	q.rooms[w.ID] = &room{route: w.Route, size: w.size, linkUntil: now.Add(stallTime)}
}

// dropLate removes requests that have waited until their time.
func (q *Queue) dropLate(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool { return !now.Before(w.Until) })
}

// fits reports whether there is room for a response.
func (q *Queue) fits(now time.Time, n Bytes) bool {
	link, memory := q.onLink(now), q.inMemory()
	return (q.limits.Link <= 0 || link == 0 || link+n <= q.limits.Link) &&
		(q.limits.Memory <= 0 || memory == 0 || memory+n <= q.limits.Memory)
}

// wait estimates how long a request waits for room, if the link sends nothing but large
// responses. It is zero if the rate of the link is not known.
func (q *Queue) wait(now time.Time, n Bytes) time.Duration {
	ahead := q.onLink(now) + n - q.limits.Link
	for _, w := range q.waiting {
		ahead += w.size
	}
	return q.limits.Rate.duration(crossings * ahead)
}

func (q *Queue) onLink(now time.Time) (n Bytes) {
	for _, r := range q.rooms {
		if now.Before(r.linkUntil) {
			n += r.size
		}
	}
	return n
}

func (q *Queue) inMemory() (n Bytes) {
	for _, r := range q.rooms {
		n += r.size
	}
	return n
}
