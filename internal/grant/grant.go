// Package grant holds the vocabulary of ownership: epochs, terms, grants
// anchored on a target's own clock, and the evidence that a grant has ended.
package grant

import (
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Epoch rises at each change of owner of one shard.
type Epoch uint64

// Term is the number of a cell's lead; it rises at each change of lead.
type Term uint64

// Stamp is a reading of a target's monotonic clock, in nanoseconds since the
// start of that incarnation of the target.
type Stamp int64

// Add returns the reading d later.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// Kind tells whether an order may create ownership or only lengthen it.
type Kind uint8

// Extend lengthens what the target holds at that very epoch and is ignored
// otherwise. Grant gives the target a shard that it may not hold yet.
const (
	Extend Kind = iota
	Grant
)

// ShardEpoch is one shard that a target holds.
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

// Order is a renewal sent by a lead to one target for one service.
//
// The end of every grant that it makes or lengthens is Anchor + Duration by
// the target's clock, however late the order is read.
type Order struct {
	Service key.Service
	Zone    place.Zone
	Term    Term
	// Incarnation and Anchor come from the target's latest answer. An order
	// without them (Incarnation 0) only asks for an answer.
	Incarnation place.Incarnation
	Anchor      Stamp
	Duration    time.Duration
	// ExtendAll lengthens all that the target holds, if its holdings have
	// the digest Digest; otherwise it is ignored and the answer carries the
	// whole inventory.
	ExtendAll bool
	Digest    uint64
	// Inventory asks for the whole list of holdings and floors.
	Inventory bool
	Items     []Item
	// Release lists shards to give up at that epoch; in-flight work ends
	// before the answer reports them as not held.
	Release []ShardEpoch
}

// Response is a target's reply to an Order.
type Response struct {
	Target      place.Target
	Incarnation place.Incarnation
	// Clock is the target's clock when it wrote the answer.
	Clock Stamp
	// Term is the highest term that the target has accepted.
	Term Term
	// Accepted is false where the order's term is below Term.
	Accepted bool
	Digest   uint64
	// Full tells that Held and Floors are the whole inventory.
	Full   bool
	Held   []ShardEpoch
	Floors []ShardEpoch
	// Draining tells that the target itself asks to leave.
	Draining bool
}

// Digest returns an order-independent digest of holdings.
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

// Evidence is proof that a grant has ended. A refused connection, a failed
// health check and the platform's list are hints and never evidence.
type Evidence interface{ evidence() }

// Released says that the old owner confirmed the release of that epoch.
type Released struct{ Epoch Epoch }

// Expired says that nobody who may renew is left and the duration plus the clock-rate
// margin has passed since the last anchor.
type Expired struct{ Since time.Time }

// Restarted says that a new incarnation answers at the old owner's address.
type Restarted struct{ Old, New place.Incarnation }

// Declared says that an operator wrote that the host or zone is lost.
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
