// Package target defines the protocol with the targets: ownership orders and the
// headers of forwarded requests. Orders to targets that own ranges are encoded by the
// implementations of OrderDialer.
package target

import (
	"context"
	"net/netip"

	"citrontray.example/citrontray/internal/grant"
)

// Headers of a forwarded request and of its response.
const (
	// HeaderService, HeaderShard and HeaderEpoch identify the grant that the request
	// needs.
	HeaderService = "Citrontray-Service"
	HeaderShard   = "Citrontray-Shard"
	HeaderEpoch   = "Citrontray-Epoch"
	// HeaderRequest carries the request's id, also in the response.
	HeaderRequest = "Citrontray-Request"
	// HeaderDeadline carries the time to the deadline, in milliseconds.
	HeaderDeadline = "Citrontray-Deadline"
	// HeaderIdempotency carries the caller's idempotency key.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderNotRun is set by a target in a response that refuses the request and
	// guarantees that it did not run. Its value is a Refusal.
	HeaderNotRun = "Citrontray-Not-Run"
)

// Refusal is the value of HeaderNotRun.
type Refusal string

// The reasons for which a target refuses a request without running it.
const (
	RefusalOwner    Refusal = "owner"    // the target does not hold the shard at that epoch
	RefusalBusy     Refusal = "busy"     // no free slot
	RefusalDeadline Refusal = "deadline" // the deadline had passed on arrival
	RefusalDraining Refusal = "draining"
)

// HeaderNames holds the header names of a protocol without shards, in which requests
// name a key or nothing. Targets and their clients use the same names. An empty name
// stands for a header that the protocol does not have.
type HeaderNames struct {
	// Request carries the request's id, also in the response.
	Request string
	// Deadline carries the time to the deadline, in milliseconds.
	Deadline string
	// Key carries the number of the key in a ranged key space.
	Key string
	// Expect names the only target that may run the request.
	Expect string
	// Target names the target that responds.
	Target string
	// NotRun marks a response that guarantees that the request did not run.
	NotRun string
	// Stamp is set by the target in every successful response.
	Stamp string
	// Handover carries a Handover.
	Handover string
	// Leaving is "1" in every response of a target that is leaving.
	Leaving string
	// Limit carries the target's rate limit, in requests per second.
	Limit string
	// Load carries the target's load; see ParseLoad.
	Load string
	// Warmup carries how much longer the target is cold, in milliseconds.
	Warmup string
}

// DefaultHeaderNames returns the names of Citrontray's own protocol.
func DefaultHeaderNames() *HeaderNames {
	return &HeaderNames{
		Request:  HeaderRequest,
		Deadline: HeaderDeadline,
		Key:      "Citrontray-Key",
		Expect:   "Citrontray-Expect",
		Target:   "Citrontray-Target",
		NotRun:   HeaderNotRun,
		Handover: "Citrontray-Handover",
		Leaving:  "Citrontray-Leaving",
		Limit:    "Citrontray-Limit",
		Load:     "Citrontray-Load",
		Warmup:   "Citrontray-Warmup",
	}
}

// Control sends ownership orders to targets.
type Control interface {
	// Order sends an order and waits for the response.
	Order(ctx context.Context, addr netip.AddrPort, order grant.Order) (grant.Response, error)
}
