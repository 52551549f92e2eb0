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
	born place.Incarnation
	// leaving is since when the target has said that it leaves; zero if it has not.
	leaving time.Time
	// told is when the home of its pool was last told so.
	told time.Time
	// until is the end of the pause that it has asked for.
	until time.Time
}

// drainAgain is the time between two words to a home that a target leaves: the first
// one may have been lost, or the home be another one now.
const drainAgain = time.Second

// NewBackoffs returns what no target has asked yet.
func NewBackoffs() *Backoffs { return &Backoffs{targets: make(map[place.Target]*backoff)} }

// Note takes the signal in an answer of a target, and reports whether the home of its
// pool should be told that it leaves.
func (b *Backoffs) Note(now time.Time, name place.Target, born place.Incarnation, s target.Signal) bool {
	if !s.Leaving && s.Pause <= 0 {
		return false
	}
	t := b.targets[name]
	if t == nil || t.born != born {
		t = &backoff{born: born}
		b.targets[name] = t
	}
	if until := now.Add(s.Pause); until.After(t.until) {
		t.until = until
	}
	if !s.Leaving || now.Sub(t.told) < drainAgain {
		return false
	}
	if t.leaving.IsZero() {
		t.leaving = now
	}
	t.told = now
	return true
}

// Of returns since when a life of a target has said that it leaves, zero if it has
// not, and how much longer it wants no requests.
func (b *Backoffs) Of(now time.Time, name place.Target, born place.Incarnation) (leaving time.Time, pause time.Duration) {
	t := b.targets[name]
	if t == nil || t.born != born {
		return time.Time{}, 0
	}
	return t.leaving, max(t.until.Sub(now), 0)
}

// excludedMost bounds the list of targets that an ask excludes: it fits a datagram,
// and what is not in it is found out when the slot is given.
const excludedMost = 8

// Excluded returns the targets among rows that no new request should go to.
func (b *Backoffs) Excluded(now time.Time, rows []place.TargetRow) []place.Target {
	if len(b.targets) == 0 {
		return nil
	}
	var out []place.Target
	for i := range rows {
		leaving, pause := b.Of(now, rows[i].Target, rows[i].Incarnation)
		if !leaving.IsZero() || pause > 0 {
			out = append(out, rows[i].Target)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), excludedMost)]
}

// leavingKept is how long the word of a target that is not listed any more is kept: a
// store that comes back from an older copy lists it again some seconds later.
const leavingKept = 10 * time.Minute

// Keep forgets the targets that are not listed any more, once their pause is over and
// they have left long ago.
func (b *Backoffs) Keep(now time.Time, listed func(place.Target) bool) {
	for name, t := range b.targets {
		if !listed(name) && now.After(t.until) && now.Sub(t.leaving) > leavingKept {
			delete(b.targets, name)
		}
	}
}
