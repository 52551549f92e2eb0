// Package grant has the types of shard ownership: epochs, terms, grants anchored on a
// target's own clock, and evidence that a grant has ended.
package grant

import (
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Epoch numbers the successive owners of a shard; it rises with each change of owner.
type Epoch uint64

// Term numbers the successive leaders of a cell; it rises with each change of leader.
type Term uint64

// Stamp is a reading of a target's monotonic clock, in nanoseconds since the start of
// that incarnation of the target.
type Stamp int64

// Add returns the reading that is d later.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// Kind selects whether an item of an order may create ownership or only extend it.
type Kind uint8

// Extend extends the grant of a shard that the target holds with the same epoch, and is
// ignored otherwise. Grant gives the target a shard that it may not hold yet.
const (
	Extend Kind = iota
	Grant
)

// ShardEpoch is a shard with an epoch, such as one that a target holds.
type ShardEpoch struct {
	Shard key.Shard
	Epoch Epoch
}

// Item is one shard of an order.
type Item struct {
	Shard key.Shard
	Epoch Epoch
	Kind  Kind
}

// Order is sent by a leader to a target and renews its grants for one service.
//
// Every grant that it makes or extends ends at Anchor + Duration by the target's clock,
// however late the order arrives.
type Order struct {
	Service key.Service
	Zone    place.Zone
	Term    Term
	// Incarnation and Anchor come from the target's latest response. An order without
	// them (Incarnation 0) only asks for a response.
	Incarnation place.Incarnation
	Anchor      Stamp
	Duration    time.Duration
	// ExtendAll extends all grants of the target if Digest is the digest of its
	// holdings. Otherwise it is ignored and the response has the full inventory.
	ExtendAll bool
	Digest    uint64
	// Inventory asks for the full list of holdings and floors.
	Inventory bool
	Items     []Item
	// Release lists shards to give up if held with that epoch. The response reports
	// them as not held once the work in flight has ended.
	Release []ShardEpoch
}

// Response is a target's response to an Order.
type Response struct {
	Target      place.Target
	Incarnation place.Incarnation
	// Clock is the target's clock when it wrote the response.
	Clock Stamp
	// Term is the highest term that the target has accepted.
	Term Term
	// Accepted is false if the order's term is below Term.
	Accepted bool
	Digest   uint64
	// Full is true if Held and Floors are the full inventory. The floor of a shard is
	// the lowest epoch that the target still accepts for it.
	Full   bool
	Held   []ShardEpoch
	Floors []ShardEpoch
	// Leaving is true if the target has announced that it is leaving.
	Leaving bool
}

// Digest returns a digest of holdings that does not depend on their order.
func Digest(held []ShardEpoch) uint64 {
	var sum uint64
	for _, h := range held {
		sum ^= splitMix64(uint64(h.Shard)<<40 ^ uint64(h.Epoch))
	}
	return sum
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable
// Pseudorandom Number Generators, OOPSLA 2014).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Evidence is proof that a grant has ended. A refused connection, a failed health check
// and the platform's list are only hints.
type Evidence interface{ evidence() }

// Released is evidence that the old owner has confirmed the release of the epoch.
type Released struct{ Epoch Epoch }

// Expired is evidence by time: no host that could renew the grant is left, and the
// grant's duration plus the margin for clock drift has passed since the last anchor.
type Expired struct{ Since time.Time }

// Restarted is evidence that a new incarnation runs at the old owner's address.
type Restarted struct{ Old, New place.Incarnation }

// Declared is evidence by an operator, who declared the host or zone lost.
type Declared struct{ By, Reason string }

func (Released) evidence()  {}
func (Expired) evidence()   {}
func (Restarted) evidence() {}
func (Declared) evidence()  {}

// EvidenceName returns the short name of the evidence in logs and output.
func EvidenceName(e Evidence) string {
	switch e.(type) {
	case Released:
		return "released"
	case Expired:
		return "lapsed"
	case Restarted:
		return "restarted"
	case Declared:
		return "declared"
	}
	return "none"
}
