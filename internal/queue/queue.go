// Package queue implements the queue of requests for one target. It is bounded, refuses
// items that would miss their deadline, serves classes by weight (stride scheduling), and
// serves the callers of a class round robin.
//
// The package has no clock: functions take the current time and never block.
package queue

import (
	"time"

	"citrontray.example/citrontray/internal/settings"
)

// Handle identifies one item in the queue. It is stale once the item has left.
type Handle struct {
	node       int32
	generation uint32
}

// Item is one queued value with its caller, class and deadline.
type Item[T any] struct {
	Caller   settings.Caller
	Class    settings.Class
	Deadline time.Time
	Value    T
}

// PushResult is whether Push queued an item and, if not, why.
type PushResult uint8

// The results of Push.
const (
	Queued PushResult = iota
	Full              // not queued: the queue is full, and the item's flow is too long to evict another item
	Late              // not queued: the item would not be served before its deadline
)

// Config configures a Queue.
type Config struct {
	// MaxLen is the maximum number of items. Requeue may exceed it.
	MaxLen int
	// Weights are the relative shares of the classes. The default weight is 1.
	Weights map[settings.Class]float64
}

// DefaultConfig returns a configuration whose weights favor interactive requests over
// registrations, and those over bulk requests.
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

// noNode is the index that terminates a list of nodes.
const noNode int32 = -1

// node is an element of a flow's doubly linked list, or unused.
type node[T any] struct {
	Item[T]
	flow       *flow
	prev, next int32
	// generation counts the uses of the node, to detect stale handles.
	generation uint32
	inUse      bool
}

// flow is the list of one caller's items in one class, oldest first.
type flow struct {
	caller      settings.Caller
	class       *class
	first, last int32
	count       int
}

// class holds the nonempty flows of one class.
type class struct {
	name   settings.Class
	weight float64
	// pass is the virtual time of the class, which advances by 1/weight with each item
	// served. The class with the lowest pass is served next.
	pass  float64
	flows []*flow
	// nextFlow is the index of the flow to serve next.
	nextFlow int
}

// Queue is a bounded, weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	cfg     Config
	nodes   []node[T]
	free    []int32 // indexes of unused nodes
	flows   map[flowID]*flow
	classes []*class
	// virtualTime is the pass of the class that was served last, before the advance.
	virtualTime float64
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

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an item unless it would wait beyond its deadline or the queue is full.
// interval is the mean time between two served items. A full queue evicts the newest
// item of the flow that longestFlow returns, provided that this flow has more items than
// that of the new item would have. hasEvicted reports whether an item was evicted.
func (q *Queue[T]) Push(now time.Time, item Item[T], interval time.Duration) (h Handle, result PushResult, evicted T, hasEvicted bool) {
	if now.Add(q.estimateWait(item, interval)).After(item.Deadline) {
		return Handle{}, Late, evicted, false
	}
	if q.size >= q.cfg.MaxLen {
		longest := q.longestFlow()
		if longest == nil || longest.count <= q.flowLen(item)+1 {
			return Handle{}, Full, evicted, false
		}
		evicted, hasEvicted = q.removeNode(longest.last), true
	}
	return q.add(item), Queued, evicted, hasEvicted
}

// estimateWait estimates how long a new item would wait: for as many intervals as the
// queue has items, or as aheadByShare returns if that is lower.
func (q *Queue[T]) estimateWait(item Item[T], interval time.Duration) time.Duration {
	ahead := q.size
	if share := q.aheadByShare(item); share < ahead {
		ahead = share
	}
	return time.Duration(ahead) * interval
}

// aheadByShare returns how many items are served until a new item has been served, it
// included, if every flow gets exactly its weighted share.
func (q *Queue[T]) aheadByShare(item Item[T]) int {
	var total, weight float64
	flows := 1
	for _, c := range q.classes {
		if len(c.flows) == 0 {
			continue
		}
		if c.name == item.Class {
			flows = len(c.flows)
			if q.flowLen(item) == 0 {
				flows++
			}
			continue
		}
		total += c.weight
	}
	weight = q.weight(item.Class)
	total += weight
	return int(float64((q.flowLen(item)+1)*flows) * total / weight)
}

// flowLen returns the length of the flow that an item belongs to.
func (q *Queue[T]) flowLen(item Item[T]) int {
	if f := q.flows[flowID{item.Caller, item.Class}]; f != nil {
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

// Requeue puts a popped item that did not run back at the head of its flow, also if the
// queue is full.
func (q *Queue[T]) Requeue(item Item[T]) Handle {
	f := q.flowOf(item)
	i := q.newNode(item, f)
	q.nodes[i].next = f.first
	if f.first != noNode {
		q.nodes[f.first].prev = i
	} else {
		f.last = i
	}
	f.first = i
	return q.handle(i)
}

// add appends an item to its flow.
func (q *Queue[T]) add(item Item[T]) Handle {
	f := q.flowOf(item)
	i := q.newNode(item, f)
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

// newNode stores an item in an unused node. The caller links it into the flow.
func (q *Queue[T]) newNode(item Item[T], f *flow) int32 {
	var i int32
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		i = int32(len(q.nodes))
		q.nodes = append(q.nodes, node[T]{})
	}
	generation := q.nodes[i].generation + 1
	q.nodes[i] = node[T]{Item: item, flow: f, prev: noNode, next: noNode, generation: generation, inUse: true}
	f.count++
	q.size++
	return i
}

// flowOf returns the flow that an item belongs to, and creates it if necessary.
func (q *Queue[T]) flowOf(item Item[T]) *flow {
	id := flowID{item.Caller, item.Class}
	if f := q.flows[id]; f != nil {
		return f
	}
	c := q.classOf(item.Class)
	if len(c.flows) == 0 && c.pass < q.virtualTime {
		c.pass = q.virtualTime // an idle class must not accumulate a share
	}
	f := &flow{caller: item.Caller, class: c, first: noNode, last: noNode}
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

// longestFlow returns the flow with the most items relative to the weight of its class,
// so that bulk requests are evicted before registrations.
func (q *Queue[T]) longestFlow() *flow {
	var longest *flow
	var maxLen float64
	for _, c := range q.classes {
		for _, f := range c.flows {
			if n := float64(f.count) / c.weight; n > maxLen {
				longest, maxLen = f, n
			}
		}
	}
	return longest
}

// removeNode removes a node from its flow, frees it and returns its value.
func (q *Queue[T]) removeNode(i int32) T {
	n := &q.nodes[i]
	f := n.flow
	if n.prev != noNode {
		q.nodes[n.prev].next = n.next
	} else {
		f.first = n.next
	}
	if n.next != noNode {
		q.nodes[n.next].prev = n.prev
	} else {
		f.last = n.prev
	}
	value := n.Value
	q.nodes[i] = node[T]{generation: n.generation}
	q.free = append(q.free, i)
	q.size--
	f.count--
	if f.count == 0 {
		q.removeFlow(f)
	}
	return value
}
