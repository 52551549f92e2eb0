package platform

import (
	"context"
	"errors"
	"time"
)

// SessionID names a session of a SessionStore. The zero value names none.
type SessionID struct {
	Era    Era
	Number int64
}

// ErrSessionEnded is returned where a session has expired or was ended.
var ErrSessionEnded = errors.New("platform: session has ended")

// ErrTooOld is returned by Watch where the store no longer has all changes
// after the revision.
var ErrTooOld = errors.New("platform: history after the revision is gone, list again")

// Condition holds if the path has the revision (0: no value).
type Condition struct {
	Path     Path
	Revision Revision
}

// Put sets a value. A value with a session is removed when the session ends.
type Put struct {
	Path    Path
	Value   []byte
	Session SessionID
}

// Txn changes several values atomically if all its conditions hold.
type Txn struct {
	If     []Condition
	Put    []Put
	Remove []Path
}

// TxnConflictError is returned by Commit where a condition does not hold.
type TxnConflictError struct {
	// Current holds the existing values of the paths in the conditions.
	Current []Entry
}

// Error implements error.
func (e *TxnConflictError) Error() string {
	return "platform: a condition of the transaction does not hold"
}

// SessionStore is a store with sessions and transactions: values may belong to
// a session and are removed with it, and one transaction may change several
// values. Implementations are safe for concurrent use.
type SessionStore interface {
	// Get returns one value, or ErrNotFound.
	Get(ctx context.Context, path Path) (Entry, error)
	// List returns all values with the prefix and a revision from which a watch
	// misses no change.
	List(ctx context.Context, prefix Path) ([]Entry, Revision, error)
	// Watch waits up to wait until a value with the prefix changes after the
	// revision from; it returns the changes and the revision to continue from.
	// Errors: ErrTooOld, ErrUnavailable.
	Watch(ctx context.Context, prefix Path, from Revision, wait time.Duration) ([]Change, Revision, error)
	// Commit carries out a transaction. Errors: *TxnConflictError,
	// ErrSessionEnded, ErrRestored, ErrOutcomeUnknown, ErrUnavailable.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Open starts a session that expires ttl after this call, or the last
	// KeepAlive, arrived.
	Open(ctx context.Context, ttl time.Duration) (SessionID, error)
	// KeepAlive renews a session, or returns ErrSessionEnded.
	KeepAlive(ctx context.Context, id SessionID) error
	// End ends a session and removes its values.
	End(ctx context.Context, id SessionID) error
}

// The paths of values that others write into a SessionStore, in formats of
// their own.
const (
	// PathAll is the prefix of all paths.
	PathAll Path = ""
	// PathConfig is the configuration that operators have accepted.
	PathConfig Path = "config"
	// PathTargets is followed by the name of a target.
	PathTargets Path = "targets/"
	// PathEvacuations is followed by the name of a zone whose targets get no requests.
	PathEvacuations Path = "evacuations/"
)
