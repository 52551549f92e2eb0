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

// FencingToken orders the owners of a point: a target refuses an order on points for
// which it has seen a higher one.
type FencingToken uint64

// Handover is what a target hands on with the points that it released; the
// next owner that gets it starts warm.
type Handover string

// Grant lets a target own a range for Hold, counted by the target from the
// arrival of the order. The same order again renews it.
type Grant struct {
	Range        key.Range
	FencingToken FencingToken
	Duration     time.Duration
	Handover     Handover
}

// Release takes a range, or a part of one, back at once. It is answered when
// the work that was running there has ended.
type Release struct {
	Range        key.Range
	FencingToken FencingToken
}

var (
	// ErrFenced is returned where the target has seen a higher fence.
	ErrFenced = errors.New("target: has seen a higher fence")
	// ErrMisdirected is returned where another target has the address now.
	ErrMisdirected = errors.New("target: another target has the address")
	// ErrRejected is returned where whoever has the address takes no such
	// order.
	ErrRejected = errors.New("target: takes no such order")
	// ErrNotSent is returned where the order certainly did not reach anyone.
	ErrNotSent = errors.New("target: order not sent")
	// ErrUnanswered is returned where the order may have taken effect, or may
	// take effect later.
	ErrUnanswered = errors.New("target: order not answered")
	// ErrDuplicateResponse tells that an answer came more than once. Answers do not say which order they
	// are to, so all orders on the connection count as unanswered.
	ErrDuplicateResponse = fmt.Errorf("%w: answers came twice", ErrUnanswered)
)

// OrderDialer opens connections for orders to targets that own ranges.
type OrderDialer interface {
	Dial(ctx context.Context, addr netip.AddrPort, to place.Target) (OrderConn, error)
}

// OrderConn is one connection to one life of a target: an answer on it proves
// that this life has not ended since it was opened. One order at a time. After
// an error other than ErrFenced, ErrMisdirected and ErrRejected it must be closed, which
// also destroys what has not arrived yet.
type OrderConn interface {
	Grant(ctx context.Context, g Grant) error
	Release(ctx context.Context, r Release) (Handover, error)
	// Leaving reports whether the target has said in an answer that it stops soon.
	Leaving() bool
	Close() error
}
