package platform

import (
	"errors"
	"fmt"
)

// Era counts how often a SessionStore was restored from an older snapshot of
// itself. A restore loses all that was acknowledged after the snapshot,
// sessions included, and the store then assigns the same revisions and session
// numbers again. A store that is never restored stays in era 0.
type Era uint64

const (
	// eraBits are the highest bits of a revision. The store's own counter has
	// the others: at a million changes a second it overflows after nine years.
	eraBits      = 16
	revisionBits = 64 - eraBits
)

// EraCount is the number of eras before they wrap around.
const EraCount = 1 << eraBits

// Revision returns the revision with the store's own number in the era. All
// revisions of a later era are higher than those of an earlier one.
func (e Era) Revision(number uint64) Revision {
	return Revision(uint64(e)<<revisionBits | number&(1<<revisionBits-1))
}

// Era returns the era of a revision.
func (r Revision) Era() Era { return Era(r >> revisionBits) }

// Number returns the store's own number of a revision. The same number may
// denote another change in another era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionBits - 1) }

// ErrRestored is returned by Commit where the store was restored from an older
// snapshot since it assigned the revisions in the conditions. Whether the
// transaction took effect is not known.
var ErrRestored = errors.New("platform: store was restored from an older snapshot")

// ErrSessionLost wraps ErrSessionEnded; it is returned where a restore of the
// store lost the session.
var ErrSessionLost = fmt.Errorf("%w: %w", ErrSessionEnded, ErrRestored)
