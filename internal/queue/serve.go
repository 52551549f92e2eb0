package queue

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/settings"
)

// Pop removes and returns the item whose turn it is, of any class but except.
// Items past their deadline are skipped: Expire returns those.
func (q *Queue[T]) Pop(now time.Time, except settings.Class) (Entry[T], bool) {
	c := q.nextClass(now, except)
	if c == nil {
		var zero Entry[T]
		return zero, false
	}
	at, i := q.nextRow(c, now)
	q.clock = c.pass
	c.pass += 1 / c.weight
	c.turn = (at + 1) % len(c.flows)
	e := q.rows[i].Entry
	q.take(i)
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
		if _, i := q.nextRow(c, now); i != none {
			best = c
		}
	}
	return best
}

// nextRow returns the oldest item within its deadline of the flow whose turn
// it is, and that flow's place in the ring.
func (q *Queue[T]) nextRow(c *class, now time.Time) (at int, i int32) {
	for n := range c.flows {
		at := (c.turn + n) % len(c.flows)
		for i := c.flows[at].first; i != none; i = q.rows[i].next {
			if q.rows[i].Deadline.After(now) {
				return at, i
			}
		}
	}
	return 0, none
}

// dropFlow takes an empty flow out of its class's ring.
func (q *Queue[T]) dropFlow(f *flow) {
	c := f.class
	at := slices.Index(c.flows, f)
	c.flows = slices.Delete(c.flows, at, at+1)
	if c.turn > at {
		c.turn--
	}
	if c.turn >= len(c.flows) {
		c.turn = 0
	}
	delete(q.flows, flowID{f.caller, c.name})
}

// Remove takes an item out; it reports false where it had left already.
func (q *Queue[T]) Remove(t Ticket) bool {
	if int(t.row) >= len(q.rows) {
		return false
	}
	if r := &q.rows[t.row]; !r.used || r.generation != t.generation {
		return false
	}
	q.take(t.row)
	return true
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []T {
	return q.RemoveWhere(func(e Entry[T]) bool { return !e.Deadline.After(now) })
}

// RemoveWhere removes and returns the items for which drop holds.
func (q *Queue[T]) RemoveWhere(drop func(Entry[T]) bool) []T {
	if q.size == 0 {
		return nil
	}
	var out []T
	for i := range q.rows {
		if q.rows[i].used && drop(q.rows[i].Entry) {
			out = append(out, q.take(int32(i)))
		}
	}
	return out
}
