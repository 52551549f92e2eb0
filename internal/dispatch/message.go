// Package dispatch shares the slots of targets among all hosts. Each target
// belongs to one pool, and each pool has a home: the one host that knows who
// uses which slot, holds the queue, and decides which request goes where next
// and which is refused. Other hosts ask it for tickets. What a home knows is
// rebuilt from the hosts' reports within moments, so any host can become one,
// and two homes of one pool do no more harm than a fuller target.
//
// Homes and clients are pure: messages and the present time go in, messages
// come out.
package dispatch

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

// TicketID numbers the tickets of one life of a host.
type TicketID uint64

// PoolID names a pool: all targets of a service, those of one zone, or one
// target alone.
type PoolID struct {
	Service key.Service
	Zone    place.Zone
	Target  place.Target
}

// Acquire wants a slot for one request.
type Acquire struct {
	ID   TicketID
	Pool PoolID
	// Class is the route, whose requests take about the same time.
	Class    traffic.RouteName
	Priority traffic.Priority
	// Timeout is the time until the request must be answered, Aim the time until
	// its answer loses worth; Aim may be negative.
	Timeout     time.Duration
	SoftTimeout time.Duration
	// Excluded are targets that failed this request already.
	Excluded []place.Target
	// Cold tells that the request's key is slow, as its owner took it without a
	// handover a moment ago.
	Cold bool
	// Isolated tells that the asking host is its own home because it reaches no
	// other that could be.
	Isolated bool
}

// Assigned gives a slot of a target.
type Assigned struct {
	ID     TicketID
	Target place.Target
	Addr   netip.AddrPort
}

// Queued tells that the home knows the ask and that it waits.
type Queued struct{ ID TicketID }

// Refused tells that the request will not be served in time, and when there
// will be room.
type Refused struct {
	ID         TicketID
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a home refuses.
type Reason uint8

// The reasons of a home.
const (
	// ReasonFull: those ahead in the queue take all the time that is left.
	ReasonFull Reason = iota + 1
	// ReasonLate: the time ran out while waiting.
	ReasonLate
	// ReasonNoTarget: the pool has no target that could take the request.
	ReasonNoTarget
)

// String returns the reason's word in logs.
func (r Reason) String() string {
	switch r {
	case ReasonFull:
		return "full"
	case ReasonLate:
		return "late"
	case ReasonNoTarget:
		return "none"
	}
	return "unknown"
}

// Result is how a try at a target ended.
type Result uint8

// The ends of a try.
const (
	// ResultServed: a whole answer that is no failure of the target.
	ResultServed Result = iota + 1
	// ResultFailed: a whole answer with a failure of the target's own.
	ResultFailed
	// ResultBusy: the target had no room; nothing ran.
	ResultBusy
	// ResultMisdirected: the target does not own the key, or is another one.
	ResultMisdirected
	// ResultUnreachable: no connection; nothing was sent.
	ResultUnreachable
	// ResultCut: the connection broke, or the answer was unusable.
	ResultCut
	// ResultTimeout: no answer in the time given.
	ResultTimeout
	// ResultUnused: the slot was not used.
	ResultUnused
)

// String returns the end's word in logs and metrics.
func (e Result) String() string {
	names := [...]string{"", "served", "failed", "busy", "foreign", "unreachable", "cut", "timeout", "unused"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}

// Done gives a slot back.
type Done struct {
	ID     TicketID
	Pool   PoolID
	Target place.Target
	Class  traffic.RouteName
	Result Result
	Took   time.Duration
}

// Drain tells that a target of the pool has said that it leaves.
type Drain struct {
	Pool   PoolID
	Target place.Target
}

// Cancel takes a waiting ask back.
type Cancel struct {
	ID   TicketID
	Pool PoolID
}

// Held is one ticket in use.
type Held struct {
	ID     TicketID
	Pool   PoolID
	Target place.Target
	Class  traffic.RouteName
	// Since is how long it has been in use.
	Since time.Duration
}

// Report lists all tickets of a host, with ids from First to Last, in use at
// the home it is sent to. A long list goes out as several reports.
type Report struct {
	First, Last TicketID
	Held        []Held
}

// Ping asks a home that did not answer for a sign of life.
type Ping struct{}

// Pong is the answer to a Ping.
type Pong struct{}

// Leave tells clients that the sending host stops and will be no home any more.
type Leave struct{}

// Message is what hosts and homes send each other.
type Message interface{ message() }

func (Acquire) message()  {}
func (Assigned) message() {}
func (Queued) message()   {}
func (Refused) message()  {}
func (Done) message()     {}
func (Drain) message()    {}
func (Cancel) message()   {}
func (Report) message()   {}
func (Ping) message()     {}
func (Pong) message()     {}
func (Leave) message()    {}
