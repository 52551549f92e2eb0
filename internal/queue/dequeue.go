package queue

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/settings"
)

// Pop removes and returns the next item of any class other than except. It skips items
// past their deadline; Expire returns those.
func (q *Queue[T]) Pop(now time.Time, except settings.Class) (Item[T], bool) {
	c := q.nextClass(now, except)
	if c == nil {
		var zero Item[T]
		return zero, false
	}
	flowIndex, i := q.nextNode(c, now)
	q.virtualTime = c.pass
	c.pass += 1 / c.weight
	c.nextFlow = (flowIndex + 1) % len(c.flows)
	item := q.nodes[i].Item
	q.removeNode(i)
	return item, true
}

// nextClass returns the class other than except with the lowest pass among those that
// have an item within its deadline, or nil if there is none.
func (q *Queue[T]) nextClass(now time.Time, except settings.Class) *class {
	var best *class
	for _, c := range q.classes {
		if c.name == except {
			continue
		}
		if best != nil && best.pass <= c.pass {
			continue
		}
		if _, i := q.nextNode(c, now); i != noNode {
			best = c
		}
	}
	return best
}

// nextNode returns the oldest item within its deadline of the next flow in turn that
// has one, and the index of that flow.
func (q *Queue[T]) nextNode(c *class, now time.Time) (flowIndex int, i int32) {
	for n := range c.flows {
		flowIndex := (c.nextFlow + n) % len(c.flows)
		for i := c.flows[flowIndex].first; i != noNode; i = q.nodes[i].next {
			if q.nodes[i].Deadline.After(now) {
				return flowIndex, i
			}
		}
	}
	return 0, noNode
}

// removeFlow removes an empty flow from its class.
func (q *Queue[T]) removeFlow(f *flow) {
	c := f.class
	index := slices.Index(c.flows, f)
	c.flows = slices.Delete(c.flows, index, index+1)
	if c.nextFlow > index {
		c.nextFlow--
	}
	if c.nextFlow >= len(c.flows) {
		c.nextFlow = 0
	}
	delete(q.flows, flowID{f.caller, c.name})
}

// Remove removes an item. It returns false if the item is no longer in the queue.
func (q *Queue[T]) Remove(h Handle) bool {
	if int(h.node) >= len(q.nodes) {
		return false
	}
	if n := &q.nodes[h.node]; !n.inUse || n.generation != h.generation {
		return false
	}
	q.removeNode(h.node)
	return true
}

// Expire removes the items past their deadline and returns their values.
func (q *Queue[T]) Expire(now time.Time) []T {
	return q.RemoveWhere(func(item Item[T]) bool { return !item.Deadline.After(now) })
}

// RemoveWhere removes the items that match and returns their values.
func (q *Queue[T]) RemoveWhere(match func(Item[T]) bool) []T {
	if q.size == 0 {
		return nil
	}
	var removed []T
	for i := range q.nodes {
		if q.nodes[i].inUse && match(q.nodes[i].Item) {
			removed = append(removed, q.removeNode(int32(i)))
		}
	}
	return removed
}
