// Package platform defines the access to the customer's platform: stores with
// compare-and-swap, leases, sessions and watches, and a list of hosts and
// targets, which lags behind. Client and NewHandler are the two sides of an
// HTTP protocol for a Store; a change of that protocol touches this package
// alone.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Path names one value; its parts are separated by slashes.
type Path string

// Revision is the store's global revision at which a value was written, with
// the store's era in the highest bits. Zero is the revision of a value that
// does not exist.
type Revision uint64

// Entry is one value of the store.
type Entry struct {
	Path     Path
	Value    []byte
	Revision Revision
}

// Change is one change that a watch reports. A deleted entry has no value.
type Change struct {
	Entry
	Deleted bool
}

// Lease is the state of a named lease after a call.
type Lease struct {
	Holder string
	// Held reports whether the caller holds the lease now, for TTL counted from
	// before the call was sent.
	Held bool
	TTL  time.Duration
}

// Fleet is the platform's list of hosts and targets, which lags behind.
type Fleet struct {
	Hosts   []place.HostRow
	Targets []place.TargetRow
}

// ErrNotFound is returned by Get for a path without a value.
var ErrNotFound = errors.New("platform: no value at this path")

// ErrOutcomeUnknown is returned where a write may or may not have taken effect,
// as its response was lost. The caller reads the value back and compares.
var ErrOutcomeUnknown = errors.New("platform: response lost, the write may have taken effect")

// ErrUnavailable is returned where the call certainly had no effect.
var ErrUnavailable = errors.New("platform: store is unavailable")

// ConflictError is returned by Write and Delete where the expected revision
// doesn't match.
type ConflictError struct {
	Path    Path
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: %s is at revision %d", e.Path, e.Current)
}

// Store is the platform's store and fleet list. Implementations are safe for
// concurrent use.
type Store interface {
	// Get returns one value, or ErrNotFound.
	Get(ctx context.Context, path Path) (Entry, error)
	// List returns all values with the prefix and the store's revision.
	List(ctx context.Context, prefix Path) ([]Entry, Revision, error)
	// Write sets path to value if it still has the revision expect (0: no
	// value). Errors: *ConflictError, ErrOutcomeUnknown, ErrUnavailable.
	Write(ctx context.Context, path Path, value []byte, expect Revision) (Revision, error)
	// Delete removes the value if it still has the revision expect.
	Delete(ctx context.Context, path Path, expect Revision) error
	// Watch waits until a value with the prefix changes after the revision
	// from, and returns the changes and the revision to continue from; after
	// WatchTimeout it returns none. A waiting watch counts as one call.
	Watch(ctx context.Context, prefix Path, from Revision) ([]Change, Revision, error)
	// Acquire takes or renews a named lease for holder.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Release releases a lease that holder holds.
	Release(ctx context.Context, name, holder string) error
	// Fleet returns the list of live and leaving hosts and targets, which lags
	// behind.
	Fleet(ctx context.Context) (Fleet, error)
}
