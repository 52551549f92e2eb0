package platform

import (
	"context"
	"errors"
	"time"
)

// SessionID names a session of a SessionStore. The zero value stands for none.
type SessionID struct {
	Era    Era
	Number int64
}

// ErrSessionEnded is returned where a session has lapsed or was ended.
var ErrSessionEnded = errors.New("platform: session has ended")

// ErrTooOld is returned by Watch for a revision whose history is gone.
var ErrTooOld = errors.New("platform: history is gone, list again")

// Condition holds if the path has the revision (0: there is no value).
type Condition struct {
	Path     Path
	Revision Revision
}

// Put sets a value. With a session, the value goes when that ends.
type Put struct {
	Path    Path
	Value   []byte
	Session SessionID
}

// Txn changes several values, all or none, if all conditions hold.
type Txn struct {
	If     []Condition
	Put    []Put
	Remove []Path
}

// TxnConflictError is returned by Commit where a condition does not hold.
type TxnConflictError struct {
	// Current holds the values of the paths in the conditions that exist.
	Current []Entry
}

// Error implements error.
func (e *TxnConflictError) Error() string { return "platform: a condition does not hold" }

// SessionStore is a platform's service with sessions and transactions: values
// may belong to a session and go with it, and one write may change several.
// Implementations are safe for concurrent use.
type SessionStore interface {
	// Get returns one value, or ErrNotFound.
	Get(ctx context.Context, path Path) (Entry, error)
	// List returns all values below the prefix and a revision from which a
	// watch misses nothing.
	List(ctx context.Context, prefix Path) ([]Entry, Revision, error)
	// Watch waits up to wait until something below prefix changes after the
	// revision from; it returns the changes and the revision to go on from.
	// Errors: ErrTooOld, ErrUnavailable.
	Watch(ctx context.Context, prefix Path, from Revision, wait time.Duration) ([]Change, Revision, error)
	// Commit carries out a transaction. Errors: *TxnConflictError,
	// ErrSessionEnded, ErrRestored, ErrUnknown, ErrUnavailable.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Open starts a session that lapses ttl after the arrival of this call
	// or of the last Keep.
	Open(ctx context.Context, ttl time.Duration) (SessionID, error)
	// KeepAlive renews a session, or returns ErrSessionEnded.
	KeepAlive(ctx context.Context, id SessionID) error
	// End ends a session and removes its values.
	End(ctx context.Context, id SessionID) error
}

// The paths of what others write into a SessionStore. Their values have the
// writer's own format.
const (
	// PathAll is the prefix of all paths.
	PathAll Path = ""
	// PathConfig is the configuration that operators have accepted.
	PathConfig Path = "config"
	// PathTargets is followed by the name of a target.
	PathTargets Path = "targets/"
)
