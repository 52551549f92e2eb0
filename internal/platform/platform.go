// Package platform is the one place that meets the platform: its key-value
// service (compare-and-swap, leases, watches) and its lagging list of hosts.
// Changing the platform's protocol touches this package alone.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Path names one value, in slash-separated parts.
type Path string

// Revision is the store's global revision at which a value was written, with the
// store's era in its highest bits. Zero stands for a value that does not exist.
type Revision uint64

// Entry is one value of the store.
type Entry struct {
	Path     Path
	Value    []byte
	Revision Revision
}

// Change is one step of a watch. Deleted entries have no value.
type Change struct {
	Entry
	Deleted bool
}

// Lease is the state of a named lease after a call.
type Lease struct {
	Holder string
	// Held tells whether the caller holds it now, for TTL counted from
	// before the call was sent.
	Held bool
	TTL  time.Duration
}

// Fleet is the platform's lagging list of hosts and targets.
type Fleet struct {
	Hosts   []place.HostRow
	Targets []place.TargetRow
}

// ErrNotFound is returned by Get for a path without a value.
var ErrNotFound = errors.New("platform: no value at this path")

// ErrOutcomeUnknown is returned where a write may or may not have taken effect: the
// answer was lost. The caller reads back and compares.
var ErrOutcomeUnknown = errors.New("platform: answer lost, the write may have taken effect")

// ErrUnavailable is returned where the store did certainly not take the call.
var ErrUnavailable = errors.New("platform: store unavailable")

// ConflictError is returned by Write where the expected revision does not match.
type ConflictError struct {
	Path    Path
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s is at revision %d", e.Path, e.Current)
}

// Store is the platform's service. Implementations are safe for concurrent use.
type Store interface {
	// Get returns one value, or ErrNotFound.
	Get(ctx context.Context, path Path) (Entry, error)
	// List returns all values below the prefix and the store's revision.
	List(ctx context.Context, prefix Path) ([]Entry, Revision, error)
	// Write sets path to value if it still has the revision expect (0: absent).
	// Errors: *ConflictError, ErrUnknown, ErrUnavailable.
	Write(ctx context.Context, path Path, value []byte, expect Revision) (Revision, error)
	// Delete removes the value if it still has the revision expect.
	Delete(ctx context.Context, path Path, expect Revision) error
	// Watch waits until something below prefix changes after the revision
	// from, and returns the changes and the revision to go on from; on the
	// service's own timeout it returns none. One waiting call counts as one.
	Watch(ctx context.Context, prefix Path, from Revision) ([]Change, Revision, error)
	// Acquire takes or renews a named lease for holder.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Release gives up a lease that holder holds.
	Release(ctx context.Context, name, holder string) error
	// Fleet returns the lagging list of live and leaving hosts and targets.
	Fleet(ctx context.Context) (Fleet, error)
}
