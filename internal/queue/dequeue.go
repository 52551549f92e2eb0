package queue

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/settings"
)

// Pop removes and returns the item whose turn it is, of any class but except.
// Items past their deadline are skipped: Expire returns those.
func (q *Queue[T]) Pop(now time.Time, except settings.Class) (Item[T], bool) {
	c := q.nextClass(now, except)
	if c == nil {
		var zero Item[T]
		return zero, false
	}
	at, i := q.nextNode(c, now)
	q.virtualTime = c.pass
	c.pass += 1 / c.weight
	c.nextFlow = (at + 1) % len(c.flows)
	e := q.nodes[i].Item
	q.removeNode(i)
	return e, true
}

// nextClass returns the class of lowest virtual time that has an item within
// its deadline.
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

// nextNode returns the oldest item within its deadline of the flow whose turn
// it is, and that flow's place in the ring.
func (q *Queue[T]) nextNode(c *class, now time.Time) (at int, i int32) {
	for n := range c.flows {
		at := (c.nextFlow + n) % len(c.flows)
		for i := c.flows[at].first; i != noNode; i = q.nodes[i].next {
			if q.nodes[i].Deadline.After(now) {
				return at, i
			}
		}
	}
	return 0, noNode
}

// removeFlow takes an empty flow out of its class's ring.
func (q *Queue[T]) removeFlow(f *flow) {
	c := f.class
	at := slices.Index(c.flows, f)
	c.flows = slices.Delete(c.flows, at, at+1)
	if c.nextFlow > at {
		c.nextFlow--
	}
	if c.nextFlow >= len(c.flows) {
		c.nextFlow = 0
	}
	delete(q.flows, flowID{f.caller, c.name})
}

// Remove takes an item out; it reports false where it had left already.
func (q *Queue[T]) Remove(t Handle) bool {
	if int(t.node) >= len(q.nodes) {
		return false
	}
	if r := &q.nodes[t.node]; !r.inUse || r.generation != t.generation {
		return false
	}
	q.removeNode(t.node)
	return true
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []T {
	return q.RemoveWhere(func(e Item[T]) bool { return !e.Deadline.After(now) })
}

// RemoveWhere removes and returns the items for which drop holds.
func (q *Queue[T]) RemoveWhere(drop func(Item[T]) bool) []T {
	if q.size == 0 {
		return nil
	}
	var out []T
	for i := range q.nodes {
		if q.nodes[i].inUse && drop(q.nodes[i].Item) {
			out = append(out, q.removeNode(int32(i)))
		}
	}
	return out
}
