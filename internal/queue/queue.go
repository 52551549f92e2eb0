// Package queue holds the requests that wait for one target: bounded, aware of
// deadlines, fair between classes and, within a class, between callers.
//
// The package is pure: the present time is an argument, nothing waits.
package queue

import (
	"time"

	"citrontray.example/citrontray/internal/settings"
)

// Ticket names one waiting item; it is stale once the item left the queue.
type Ticket struct {
	row        int32
	generation uint32
}

// Entry is what is pushed.
type Entry[T any] struct {
	Caller   settings.Caller
	Class    settings.Class
	Deadline time.Time
	Value    T
}

// Verdict is the outcome of a push.
type Verdict uint8

// The verdicts. Full and Late items were not taken.
const (
	Queued Verdict = iota
	Full           // the queue is full and the caller has its share of it
	Late           // the item would not be served before its deadline
)

// Config bounds a queue.
type Config struct {
	// Bound is the largest number of waiting items.
	Bound int
	// Weights gives the share of each class; a missing one has weight 1.
	Weights map[settings.Class]float64
}

// DefaultConfig serves interactive work before registrations before bulk.
func DefaultConfig() Config {
	return Config{
		Bound: 256,
		Weights: map[settings.Class]float64{
			settings.Interactive: 16,
			settings.Registering: 8,
			settings.Bulk:        1,
		},
	}
}

// none ends the linked lists of rows.
const none int32 = -1

type row[T any] struct {
	Entry[T]
	flow       *flow
	prev, next int32
	generation uint32
	used       bool
}

// flow is the waiting work of one caller in one class, oldest first.
type flow struct {
	caller      settings.Caller
	class       *class
	first, last int32
	count       int
}

// class is a ring of flows with waiting work; pass is its virtual time.
type class struct {
	name   settings.Class
	weight float64
	pass   float64
	flows  []*flow
	turn   int
}

// Queue is not safe for concurrent use.
type Queue[T any] struct {
	cfg     Config
	rows    []row[T]
	free    []int32
	flows   map[flowID]*flow
	classes []*class
	clock   float64 // virtual time of the last class served
	size    int
}

type flowID struct {
	caller settings.Caller
	class  settings.Class
}

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	return &Queue[T]{cfg: cfg, flows: make(map[flowID]*flow)}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an item unless it would wait beyond its deadline or the queue is
// full. each is the mean time between two items served. A full queue makes
// room by pushing out the newest item of the caller with the most waiting
// work, if that is more than the new item's caller has; out is that item.
func (q *Queue[T]) Push(now time.Time, e Entry[T], each time.Duration) (t Ticket, v Verdict, out T, pushed bool) {
	if now.Add(q.wait(e, each)).After(e.Deadline) {
		return Ticket{}, Late, out, false
	}
	if q.size >= q.cfg.Bound {
		longest := q.longest()
		if longest == nil || longest.count <= q.waiting(e)+1 {
			return Ticket{}, Full, out, false
		}
		out, pushed = q.take(longest.last), true
	}
	return q.add(e), Queued, out, pushed
}

// Wait estimates how long an item of a caller and class would wait.
func (q *Queue[T]) wait(e Entry[T], each time.Duration) time.Duration {
	ahead := q.size
	if share := q.aheadByShare(e); share < ahead {
		ahead = share
	}
	return time.Duration(ahead) * each
}

// aheadByShare counts the items served before a new one of the caller if
// every flow gets its weighted share.
func (q *Queue[T]) aheadByShare(e Entry[T]) int {
	var total, weight float64
	flows := 1
	for _, c := range q.classes {
		if len(c.flows) == 0 {
			continue
		}
		if c.name == e.Class {
			flows = len(c.flows)
			if q.waiting(e) == 0 {
				flows++
			}
			continue
		}
		total += c.weight
	}
	weight = q.weight(e.Class)
	total += weight
	return int(float64((q.waiting(e)+1)*flows) * total / weight)
}

func (q *Queue[T]) waiting(e Entry[T]) int {
	if f := q.flows[flowID{e.Caller, e.Class}]; f != nil {
		return f.count
	}
	return 0
}

func (q *Queue[T]) weight(name settings.Class) float64 {
	if w := q.cfg.Weights[name]; w > 0 {
		return w
	}
	return 1
}

// Return puts an item back at the head of its flow: it was popped but did not
// run. The bound does not apply to it.
func (q *Queue[T]) Return(e Entry[T]) Ticket {
	f := q.flowOf(e)
	i := q.newRow(e, f)
	q.rows[i].next = f.first
	if f.first != none {
		q.rows[f.first].prev = i
	} else {
		f.last = i
	}
	f.first = i
	return q.ticket(i)
}

func (q *Queue[T]) add(e Entry[T]) Ticket {
	f := q.flowOf(e)
	i := q.newRow(e, f)
	q.rows[i].prev = f.last
	if f.last != none {
		q.rows[f.last].next = i
	} else {
		f.first = i
	}
	f.last = i
	return q.ticket(i)
}

func (q *Queue[T]) ticket(i int32) Ticket {
	return Ticket{row: i, generation: q.rows[i].generation}
}

func (q *Queue[T]) newRow(e Entry[T], f *flow) int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		i = int32(len(q.rows))
		q.rows = append(q.rows, row[T]{})
	}
	generation := q.rows[i].generation + 1
	q.rows[i] = row[T]{Entry: e, flow: f, prev: none, next: none, generation: generation, used: true}
	f.count++
	q.size++
	return i
}

// flowOf returns the flow of an entry's caller, in the ring of its class.
func (q *Queue[T]) flowOf(e Entry[T]) *flow {
	id := flowID{e.Caller, e.Class}
	if f := q.flows[id]; f != nil {
		return f
	}
	c := q.classOf(e.Class)
	if len(c.flows) == 0 && c.pass < q.clock {
		c.pass = q.clock // an idle class saves up no share
	}
	f := &flow{caller: e.Caller, class: c, first: none, last: none}
	q.flows[id] = f
	c.flows = append(c.flows, f)
	return f
}

func (q *Queue[T]) classOf(name settings.Class) *class {
	for _, c := range q.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, weight: q.weight(name), pass: q.clock}
	q.classes = append(q.classes, c)
	return c
}

// longest returns the flow with the most waiting items. A class counts by its
// weight: bulk work is pushed out before registrations.
func (q *Queue[T]) longest() *flow {
	var best *flow
	var most float64
	for _, c := range q.classes {
		for _, f := range c.flows {
			if n := float64(f.count) / c.weight; n > most {
				best, most = f, n
			}
		}
	}
	return best
}

// take removes a row from its flow and returns its value.
func (q *Queue[T]) take(i int32) T {
	r := &q.rows[i]
	f := r.flow
	if r.prev != none {
		q.rows[r.prev].next = r.next
	} else {
		f.first = r.next
	}
	if r.next != none {
		q.rows[r.next].prev = r.prev
	} else {
		f.last = r.prev
	}
	value := r.Value
	q.rows[i] = row[T]{generation: r.generation}
	q.free = append(q.free, i)
	q.size--
	f.count--
	if f.count == 0 {
		q.dropFlow(f)
	}
	return value
}
