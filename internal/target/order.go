package target

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// FencingToken orders the owners of a point. A target rejects an order for points for
// which it has seen a higher token.
type FencingToken uint64

// Handover is opaque state that a target returns for points that it released. The next
// owner starts warm if it gets it.
type Handover string

// Grant lets a target own a range for Duration, which the target counts from the
// arrival of the order. Sending the same order again renews it.
type Grant struct {
	Range        key.Range
	FencingToken FencingToken
	Duration     time.Duration
	Handover     Handover
}

// Release revokes the ownership of a range, or of a part of one, at once. The response
// comes after the work in flight there has ended.
type Release struct {
	Range        key.Range
	FencingToken FencingToken
}

var (
	// ErrFenced is returned if the target has seen a higher fencing token.
	ErrFenced = errors.New("target: fenced by a higher fencing token")
	// ErrMisdirected is returned if another target has the address now.
	ErrMisdirected = errors.New("target: address belongs to another target")
	// ErrRejected is returned if the process at the address does not accept such
	// orders.
	ErrRejected = errors.New("target: order not supported at this address")
	// ErrNotSent is returned if the order certainly reached no process.
	ErrNotSent = errors.New("target: order not sent")
	// ErrUnanswered is returned if the order may have taken effect, or may still take
	// effect.
	ErrUnanswered = errors.New("target: no response to order")
	// ErrDuplicateResponse is returned if a response came more than once. Responses
	// don't identify their order, so all orders on the connection count as unanswered.
	ErrDuplicateResponse = fmt.Errorf("%w: duplicate response", ErrUnanswered)
)

// OrderDialer opens connections for orders to targets that own ranges.
type OrderDialer interface {
	Dial(ctx context.Context, addr netip.AddrPort, to place.Target) (OrderConn, error)
}

// OrderConn is a connection to one incarnation of a target: a response on it proves
// that the incarnation has not ended since the connection was opened. It carries one
// order at a time. After an error other than ErrFenced, ErrMisdirected and ErrRejected
// it must be closed, which also discards what has not arrived yet.
type OrderConn interface {
	Grant(ctx context.Context, g Grant) error
	Release(ctx context.Context, r Release) (Handover, error)
	// Signal returns the signal in the last response, empty if there was none yet.
	Signal() Signal
	Close() error
}
