// Package target is the one place that meets the targets: orders of ownership
// and the headers of forwarded requests. Changing the targets' protocol
// touches this package alone.
package target

import (
	"context"
	"net/netip"

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

// Control carries orders of ownership to targets.
type Control interface {
	// Order sends one order and waits for the answer.
	Order(ctx context.Context, addr netip.AddrPort, order grant.Order) (grant.Answer, error)
}
