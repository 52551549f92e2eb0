// Package queue holds the requests that wait for one target: bounded, aware of
// deadlines, fair between classes and, within a class, between callers.
//
// The package is pure: the present time is an argument, nothing waits.
package queue

import (
	"time"

	"citrontray.example/citrontray/internal/settings"
)

// Handle names one waiting item; it is stale once the item left the queue.
type Handle struct {
	node       int32
	generation uint32
}

// Item is what is pushed.
type Item[T any] struct {
	Caller   settings.Caller
	Class    settings.Class
	Deadline time.Time
	Value    T
}

// PushResult is the outcome of a push.
type PushResult uint8

// The verdicts. Full and Late items were not taken.
const (
	Queued PushResult = iota
	Full              // the queue is full and the caller has its share of it
	Late              // the item would not be served before its deadline
)

// Config bounds a queue.
type Config struct {
	// MaxLen is the largest number of waiting items.
	MaxLen int
	// Weights gives the share of each class; a missing one has weight 1.
	Weights map[settings.Class]float64
}

// DefaultConfig serves interactive work before registrations before bulk.
func DefaultConfig() Config {
	return Config{
		MaxLen: 256,
		Weights: map[settings.Class]float64{
			settings.Interactive: 16,
			settings.Registering: 8,
			settings.Bulk:        1,
		},
	}
}

// noNode ends the linked lists of rows.
const noNode int32 = -1

type node[T any] struct {
	Item[T]
	flow       *flow
	prev, next int32
	generation uint32
	inUse      bool
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
	name     settings.Class
	weight   float64
	pass     float64
	flows    []*flow
	nextFlow int
}

// Queue is not safe for concurrent use.
type Queue[T any] struct {
	cfg         Config
	nodes       []node[T]
	free        []int32
	flows       map[flowID]*flow
	classes     []*class
	virtualTime float64 // virtual time of the last class served
	size        int
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
func (q *Queue[T]) Push(now time.Time, e Item[T], each time.Duration) (t Handle, v PushResult, out T, pushed bool) {
	if now.Add(q.estimateWait(e, each)).After(e.Deadline) {
		return Handle{}, Late, out, false
	}
	if q.size >= q.cfg.MaxLen {
		longest := q.longestFlow()
		if longest == nil || longest.count <= q.flowLen(e)+1 {
			return Handle{}, Full, out, false
		}
		out, pushed = q.removeNode(longest.last), true
	}
	return q.add(e), Queued, out, pushed
}

// Wait estimates how long an item of a caller and class would wait.
func (q *Queue[T]) estimateWait(e Item[T], each time.Duration) time.Duration {
	ahead := q.size
	if share := q.aheadByShare(e); share < ahead {
		ahead = share
	}
	return time.Duration(ahead) * each
}

// aheadByShare counts the items served before a new one of the caller if
// every flow gets its weighted share.
func (q *Queue[T]) aheadByShare(e Item[T]) int {
	var total, weight float64
	flows := 1
	for _, c := range q.classes {
		if len(c.flows) == 0 {
			continue
		}
		if c.name == e.Class {
			flows = len(c.flows)
			if q.flowLen(e) == 0 {
				flows++
			}
			continue
		}
		total += c.weight
	}
	weight = q.weight(e.Class)
	total += weight
	return int(float64((q.flowLen(e)+1)*flows) * total / weight)
}

func (q *Queue[T]) flowLen(e Item[T]) int {
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

// Requeue puts an item back at the head of its flow: it was popped but did not
// run. The bound does not apply to it.
func (q *Queue[T]) Requeue(e Item[T]) Handle {
	f := q.flowOf(e)
	i := q.newNode(e, f)
	q.nodes[i].next = f.first
	if f.first != noNode {
		q.nodes[f.first].prev = i
	} else {
		f.last = i
	}
	f.first = i
	return q.handle(i)
}

func (q *Queue[T]) add(e Item[T]) Handle {
	f := q.flowOf(e)
	i := q.newNode(e, f)
	q.nodes[i].prev = f.last
	if f.last != noNode {
		q.nodes[f.last].next = i
	} else {
		f.first = i
	}
	f.last = i
	return q.handle(i)
}

func (q *Queue[T]) handle(i int32) Handle {
	return Handle{node: i, generation: q.nodes[i].generation}
}

func (q *Queue[T]) newNode(e Item[T], f *flow) int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		i = int32(len(q.nodes))
		q.nodes = append(q.nodes, node[T]{})
	}
	generation := q.nodes[i].generation + 1
	q.nodes[i] = node[T]{Item: e, flow: f, prev: noNode, next: noNode, generation: generation, inUse: true}
	f.count++
	q.size++
	return i
}

// flowOf returns the flow of an entry's caller, in the ring of its class.
func (q *Queue[T]) flowOf(e Item[T]) *flow {
	id := flowID{e.Caller, e.Class}
	if f := q.flows[id]; f != nil {
		return f
	}
	c := q.classOf(e.Class)
	if len(c.flows) == 0 && c.pass < q.virtualTime {
		c.pass = q.virtualTime // an idle class saves up no share
	}
	f := &flow{caller: e.Caller, class: c, first: noNode, last: noNode}
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
	c := &class{name: name, weight: q.weight(name), pass: q.virtualTime}
	q.classes = append(q.classes, c)
	return c
}

// longestFlow returns the flow with the most waiting items. A class counts by its
// weight: bulk work is pushed out before registrations.
func (q *Queue[T]) longestFlow() *flow {
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

// removeNode removes a row from its flow and returns its value.
func (q *Queue[T]) removeNode(i int32) T {
	r := &q.nodes[i]
	f := r.flow
	if r.prev != noNode {
		q.nodes[r.prev].next = r.next
	} else {
		f.first = r.next
	}
	if r.next != noNode {
		q.nodes[r.next].prev = r.prev
	} else {
		f.last = r.prev
	}
	value := r.Value
	q.nodes[i] = node[T]{generation: r.generation}
	q.free = append(q.free, i)
	q.size--
	f.count--
	if f.count == 0 {
		q.removeFlow(f)
	}
	return value
}
