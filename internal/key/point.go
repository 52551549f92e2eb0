package key

import "fmt"

// Point is a key of a ranged key space: the keys of such a service are numbers, and its
// targets own ranges of them.
type Point uint32

// Points is the number of points of a ranged key space, numbered 0 to Points-1.
const Points = 1 << 16

// Range is the points from First to Last, both included.
type Range struct{ First, Last Point }

// FullRange returns the range of all points.
func FullRange() Range { return Range{0, Points - 1} }

// Valid reports whether the range lies within the key space.
func (r Range) Valid() bool { return r.First <= r.Last && r.Last < Points }

// Len returns the number of points.
func (r Range) Len() int { return int(r.Last-r.First) + 1 }

// Contains reports whether the range includes a point.
func (r Range) Contains(p Point) bool { return r.First <= p && p <= r.Last }

// Covers reports whether the range includes all points of o.
func (r Range) Covers(o Range) bool { return r.First <= o.First && o.Last <= r.Last }

// Overlaps reports whether the ranges have a point in common.
func (r Range) Overlaps(o Range) bool { return r.First <= o.Last && o.First <= r.Last }

// String returns the range as first-last.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.First, r.Last) }
