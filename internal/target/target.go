// Package target is the one place that meets the targets: orders of ownership
// and the headers of forwarded requests. Changing the targets' protocol
// touches this package alone.
package target

import (
	"context"
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/grant"
)

// Headers of a forwarded request and of its answer.
const (
	// HeaderService, HeaderShard and HeaderEpoch name what the request needs.
	HeaderService = "Citrontray-Service"
	HeaderShard   = "Citrontray-Shard"
	HeaderEpoch   = "Citrontray-Epoch"
	// HeaderRequest is the request's id; the answer carries it back.
	HeaderRequest = "Citrontray-Request"
	// HeaderDeadline is the time left, in milliseconds.
	HeaderDeadline = "Citrontray-Deadline"
	// HeaderIdempotency carries the caller's idempotency key.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderNotRun is set by a target on an answer that refuses the request
	// and guarantees that nothing ran. Its value is a Refusal.
	HeaderNotRun = "Citrontray-Not-Run"
)

// Refusal is the reason in HeaderNotRun.
type Refusal string

// The reasons for which a target refuses a request without running it.
const (
	RefusalOwner    Refusal = "owner"    // does not hold the shard at that epoch
	RefusalBusy     Refusal = "busy"     // no free slot
	RefusalDeadline Refusal = "deadline" // deadline passed on arrival
	RefusalDraining Refusal = "draining"
)

// HeaderNames are the header names that are spoken with targets whose requests name
// a key or nothing in place of a shard, and with their clients. An empty name
// stands for a header that the protocol does not have.
type HeaderNames struct {
	// Request is the id of a request; the answer carries it back.
	Request string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// Key is the number of the key in a ranged key space.
	Key string
	// Expect names the only target that may take the request.
	Expect string
	// Target names the target that answers.
	Target string
	// NotRun marks an answer that guarantees that nothing ran.
	NotRun string
	// Stamp is the target's own mark on what it answered.
	Stamp string
	// Handover carries what a target hands on with released keys.
	Handover string
	// Leaving is "1" in all answers of a target that stops soon.
	Leaving string
}

// Signal is what a target asks of the host that it answers, beside the answer.
type Signal struct {
	// Leaving: it stops soon and wants no new work.
	Leaving bool
	// Pause is how long it wants no request from this host, after it has turned one
	// away; zero for none.
	Pause time.Duration
}

// DefaultHeaderNames are the names of the product's own protocol.
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
	}
}

// Control carries orders of ownership to targets.
type Control interface {
	// Order sends one order and waits for the answer.
	Order(ctx context.Context, addr netip.AddrPort, order grant.Order) (grant.Response, error)
}
