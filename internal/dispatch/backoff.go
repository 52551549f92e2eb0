package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// Backoffs holds the signals that this host received in responses of targets: a pause,
// or that the target is leaving. A signal applies to one incarnation of a target.
// It is not safe for concurrent use.
type Backoffs struct{ targets map[place.Target]*backoff }

// backoff is the state of one target.
type backoff struct {
	incarnation place.Incarnation
	// leaving is when the target first signaled that it is leaving; zero if it
	// has not.
	leaving time.Time
	// notifiedAt is when the home of its pool was last sent a Drain.
	notifiedAt time.Time
	// pauseUntil is the end of the pause that the target asked for.
	pauseUntil time.Time
}

// drainNoticeInterval is the time between two Drain messages for one target. They
// are repeated because a datagram may be lost and the pool's home may change.
const drainNoticeInterval = time.Second

// NewBackoffs returns an empty Backoffs.
func NewBackoffs() *Backoffs { return &Backoffs{targets: make(map[place.Target]*backoff)} }

// Record records the signal in a target's response. It reports whether the home of
// the target's pool should be sent a Drain now.
func (b *Backoffs) Record(now time.Time, name place.Target, inc place.Incarnation, s target.Signal) bool {
	if !s.Leaving && s.Pause <= 0 {
		return false
	}
	t := b.targets[name]
	if t == nil || t.incarnation != inc {
		t = &backoff{incarnation: inc}
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

// State returns when an incarnation of a target first signaled that it is leaving,
// zero if it has not, and how much longer it wants no requests.
func (b *Backoffs) State(now time.Time, name place.Target, inc place.Incarnation) (leaving time.Time, pause time.Duration) {
	t := b.targets[name]
	if t == nil || t.incarnation != inc {
		return time.Time{}, 0
	}
	return t.leaving, max(t.pauseUntil.Sub(now), 0)
}

// MaxExcluded bounds the excluded targets in an Acquire so that it fits a datagram.
// Targets beyond the bound are checked again when a slot is assigned.
const MaxExcluded = 8

// Excluded returns the targets among rows that should get no new request, at most
// MaxExcluded of them.
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
	return out[:min(len(out), MaxExcluded)]
}

// leavingRetention is how long the leaving signal of an unlisted target is kept: a
// store that was restored from an older snapshot lists the target again some
// seconds later.
const leavingRetention = 10 * time.Minute

// Prune removes targets that are no longer listed, once their pause is over and
// leavingRetention has passed since their leaving signal.
func (b *Backoffs) Prune(now time.Time, listed func(place.Target) bool) {
	for name, t := range b.targets {
		if !listed(name) && now.After(t.pauseUntil) && now.Sub(t.leaving) > leavingRetention {
			delete(b.targets, name)
		}
	}
}
