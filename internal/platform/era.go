package platform

import (
	"errors"
	"fmt"
)

// Era counts how often a SessionStore has come back from an older copy of itself.
// What it acknowledged after that copy was taken is gone then, sessions included, and
// it gives the same revisions and session numbers out again. A store that never does
// that stays in era 0.
type Era uint64

const (
	// eraBits are the highest bits of a revision. The store's own counter has the
	// others: at a million changes a second it would last for nine years.
	eraBits      = 16
	revisionBits = 64 - eraBits
)

// EraCount is how many there are before they begin anew.
const EraCount = 1 << eraBits

// Revision returns the revision of that number in the era. Those of a later era are
// higher than all of an earlier one.
func (e Era) Revision(number uint64) Revision {
	return Revision(uint64(e)<<revisionBits | number&(1<<revisionBits-1))
}

// Era returns the era of a revision.
func (r Revision) Era() Era { return Era(r >> revisionBits) }

// Number returns the store's own number of a revision, which may stand for another
// change in another era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<revisionBits - 1) }

// ErrRestored is returned by Commit where the store has come back from an older copy
// since the revisions in its conditions were given out. Whether the transaction has
// been carried out is not known.
var ErrRestored = errors.New("platform: store has come back from an older copy")

// ErrSessionLost is ErrSessionEnded where that is why.
var ErrSessionLost = fmt.Errorf("%w: %w", ErrSessionEnded, ErrRestored)
