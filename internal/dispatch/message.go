// Package dispatch schedules the requests of all hosts onto the slots of targets.
// Each target belongs to one pool, and each pool has a home: the one host that
// tracks which slots are in use, keeps the queue, and decides which request runs
// next, on which target, and which is refused. Other hosts acquire tickets from it;
// a ticket is the permission to use one slot. A home's state is rebuilt from the
// hosts' reports within about a second, so that any host can take over. Two homes of
// one pool at the same time only overload its targets for a while.
//
// Homes and clients do no I/O and read no clock: messages and the current time go
// in, messages come out.
package dispatch

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

// TicketID numbers the tickets of one incarnation of a host.
type TicketID uint64

// PoolID names a pool: all targets of a service, those in one zone, or a single
// target.
type PoolID struct {
	Service key.Service
	Zone    place.Zone
	Target  place.Target
}

// Acquire asks for a ticket for one request.
type Acquire struct {
	ID   TicketID
	Pool PoolID
	// Class is the request's route. Requests of one route take about the same time.
	Class    traffic.RouteName
	Priority traffic.Priority
	// Timeout is the time until the deadline. SoftTimeout is the time until the soft
	// deadline, after which the response loses utility; it may be negative.
	Timeout     time.Duration
	SoftTimeout time.Duration
	// Excluded are targets that failed this request before, or that are paused or
	// leaving.
	Excluded []place.Target
	// Cold is set if requests for the key are still slow, since its owner took it over
	// recently without a handover.
	Cold bool
	// Isolated is set if the requesting host is its own home only because it reaches
	// no other host that may be the home.
	Isolated bool
	// Fingerprint identifies the request, whatever its ID; zero if it is not known. Watch
	// is what the requesting host knows against it.
	Fingerprint quarantine.Fingerprint
	Watch       Watch
}

// Watch is how a request may run under which targets have ended.
type Watch uint8

// The values of Watch, each stricter than the one before.
const (
	// WatchNone: like any other.
	WatchNone Watch = iota
	// WatchSingle: one request with the fingerprint at a time.
	WatchSingle
	// WatchAlone: also not beside another one that runs alone at the same target.
	WatchAlone
	// WatchRefused: not at all.
	WatchRefused
)

// WatchOf returns the Watch that a verdict stands for.
func WatchOf(v quarantine.Verdict) Watch {
	switch v := v.(type) {
	case quarantine.Free:
		return WatchNone
	case quarantine.Watched:
		if v.Alone {
			return WatchAlone
		}
		return WatchSingle
	case quarantine.Refused:
		return WatchRefused
	}
	return WatchNone
}

// Assigned is the reply to an Acquire that issues the ticket for a slot of a target.
type Assigned struct {
	ID     TicketID
	Target place.Target
	Addr   netip.AddrPort
}

// Queued confirms that the home has queued an Acquire.
type Queued struct{ ID TicketID }

// Refused is the reply to an Acquire that gets no slot. A retry makes sense after
// RetryAfter.
type Refused struct {
	ID         TicketID
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a home refused a request.
type Reason uint8

// The reasons for Refused.
const (
	// ReasonFull: the request is not expected to be served in time.
	ReasonFull Reason = iota + 1
	// ReasonLate: the deadline passed in the queue. No home sends it at present: such a
	// request is refused with one of the other reasons.
	ReasonLate
	// ReasonNoTarget: no target of the pool is available.
	ReasonNoTarget
	// ReasonLimit: the rate limit of the target leaves no room in time.
	ReasonLimit
	// ReasonQuarantined: targets have ended under requests with the fingerprint.
	ReasonQuarantined
	// ReasonWatched: another request with the fingerprint is being watched.
	ReasonWatched
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	switch r {
	case ReasonFull:
		return "full"
	case ReasonLate:
		return "late"
	case ReasonNoTarget:
		return "none"
	case ReasonLimit:
		return "limit"
	case ReasonQuarantined:
		return "quarantined"
	case ReasonWatched:
		return "watched"
	}
	return "unknown"
}

// Result is the result of an attempt at a target.
type Result uint8

// The results of an attempt.
const (
	// ResultServed: a complete response that is no failure of the target.
	ResultServed Result = iota + 1
	// ResultFailed: a complete response that reports a failure of the target.
	ResultFailed
	// ResultBusy: the target refused the request for lack of a slot; it did not run.
	ResultBusy
	// ResultMisdirected: the target does not own the key, or another target has the
	// address.
	ResultMisdirected
	// ResultUnreachable: no connection could be made; nothing was sent.
	ResultUnreachable
	// ResultCut: the connection broke, or the response was unusable.
	ResultCut
	// ResultTimeout: no response before the deadline.
	ResultTimeout
	// ResultUnused: no attempt was made.
	ResultUnused
)

// String returns the result's name in logs and metrics.
func (r Result) String() string {
	names := [...]string{"", "served", "failed", "busy", "foreign", "unreachable", "cut", "timeout", "unused"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Done releases a ticket.
type Done struct {
	ID     TicketID
	Pool   PoolID
	Target place.Target
	Class  traffic.RouteName
	Result Result
	Took   time.Duration
	// Limit is what the response states about the target's rate limit, nil if
	// nothing.
	Limit target.Limit
	// Warmup is how much longer the target is cold by the response; zero if it does not
	// state it.
	Warmup time.Duration
	// Load is the target's load by the response, nil if it is not stated.
	Load *target.Load
}

// Drain reports that a target of the pool has signaled that it is leaving.
type Drain struct {
	Pool   PoolID
	Target place.Target
	// Incarnation is that of the target, zero from hosts that do not state it.
	Incarnation place.Incarnation
}

// Limited states the rate limit of one incarnation of a target, or that it has ended.
// Hosts send it to a home that may not know the limit, homes to the hosts that may
// follow them and to the leader of the service.
type Limited struct {
	Pool        PoolID
	Target      place.Target
	Incarnation place.Incarnation
	// Limit is a RateLimit or NoLimit.
	Limit target.Limit
	// Age is the time since a response last stated it.
	Age time.Duration
}

// Cancel withdraws an Acquire that is queued.
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
	// Since is how long the ticket has been in use.
	Since time.Duration
}

// Report lists the tickets of a host at the home that it is sent to: all those with an
// id from First to Last that have been in use for minReportAge. A long list is sent as
// several reports.
type Report struct {
	First, Last TicketID
	Held        []Held
}

// Ping asks a host that did not reply for a Pong.
type Ping struct{}

// Pong is the reply to a Ping.
type Pong struct{}

// Leave announces to clients that the sending host is stopping and is no home any more.
type Leave struct{}

// Message is a message between the clients and the homes of pools.
type Message interface{ message() }

func (Acquire) message()  {}
func (Assigned) message() {}
func (Queued) message()   {}
func (Refused) message()  {}
func (Done) message()     {}
func (Drain) message()    {}
func (Limited) message()  {}
func (Cancel) message()   {}
func (Report) message()   {}
func (Ping) message()     {}
func (Pong) message()     {}
func (Leave) message()    {}
