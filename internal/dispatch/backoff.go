package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// Backoffs are what targets have asked of this host in their answers: to send
// nothing for a while, or nothing new at all, as they leave. Another life of a
// target has asked nothing yet. It is not safe for concurrent use.
type Backoffs struct{ targets map[place.Target]*backoff }

type backoff struct {
	incarnation place.Incarnation
	// leaving is since when the target has said that it leaves; zero if it has not.
	leaving time.Time
	// notifiedAt is when the home of its pool was last told so.
	notifiedAt time.Time
	// pauseUntil is the end of the pause that it has asked for.
	pauseUntil time.Time
}

// drainNoticeInterval is the time between two words to a home that a target leaves: the first
// one may have been lost, or the home be another one now.
const drainNoticeInterval = time.Second

// NewBackoffs returns what no target has asked yet.
func NewBackoffs() *Backoffs { return &Backoffs{targets: make(map[place.Target]*backoff)} }

// Record takes the signal in an answer of a target, and reports whether the home of its
// pool should be told that it leaves.
func (b *Backoffs) Record(now time.Time, name place.Target, born place.Incarnation, s target.Signal) bool {
	if !s.Leaving && s.Pause <= 0 {
		return false
	}
	t := b.targets[name]
	if t == nil || t.incarnation != born {
		t = &backoff{incarnation: born}
		b.targets[name] = t
	}
	if until := now.Add(s.Pause); until.After(t.pauseUntil) {
		t.pauseUntil = until
	}
	if !s.Leaving || now.Sub(t.notifiedAt) < drainNoticeInterval {
		return false
	}
	if t.leaving.IsZero() {
		t.leaving = now
	}
	t.notifiedAt = now
	return true
}

// State returns since when a life of a target has said that it leaves, zero if it has
// not, and how much longer it wants no requests.
func (b *Backoffs) State(now time.Time, name place.Target, born place.Incarnation) (leaving time.Time, pause time.Duration) {
	t := b.targets[name]
	if t == nil || t.incarnation != born {
		return time.Time{}, 0
	}
	return t.leaving, max(t.pauseUntil.Sub(now), 0)
}

// maxExcluded bounds the list of targets that an ask excludes: it fits a datagram,
// and what is not in it is found out when the slot is given.
const maxExcluded = 8

// Excluded returns the targets among rows that no new request should go to.
func (b *Backoffs) Excluded(now time.Time, rows []place.TargetRow) []place.Target {
	if len(b.targets) == 0 {
		return nil
	}
	var out []place.Target
	for i := range rows {
		leaving, pause := b.State(now, rows[i].Target, rows[i].Incarnation)
		if !leaving.IsZero() || pause > 0 {
			out = append(out, rows[i].Target)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxExcluded)]
}

// leavingRetention is how long the word of a target that is not listed any more is kept: a
// store that comes back from an older copy lists it again some seconds later.
const leavingRetention = 10 * time.Minute

// Prune forgets the targets that are not listed any more, once their pause is over and
// they have left long ago.
func (b *Backoffs) Prune(now time.Time, listed func(place.Target) bool) {
	for name, t := range b.targets {
		if !listed(name) && now.After(t.pauseUntil) && now.Sub(t.leaving) > leavingRetention {
			delete(b.targets, name)
		}
	}
}
