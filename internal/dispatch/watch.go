package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/quarantine"
)

const (
	// watchPause is how long after a watched request was cut no other one with its
	// fingerprint runs: by then all hosts know whether a target has ended under it.
	watchPause = 300 * time.Millisecond
	// maxWatchWait is how long a request waits for another one with its fingerprint, as a
	// share of the time to its deadline.
	maxWatchWait = 0.4
	// watchedRetryAfter is the retry delay of one that waited in vain.
	watchedRetryAfter = 300 * time.Millisecond
)

// watches are the ends of the pauses of a pool, by fingerprint.
type watches map[quarantine.Fingerprint]time.Time

// released records that a ticket ends.
func (w *watches) released(now time.Time, t *ticket, result Result) {
	if t.fingerprint == 0 || result != ResultCut {
		return
	}
	if *w == nil {
		*w = make(watches)
	}
	for f, end := range *w {
		if !now.Before(end) {
			delete(*w, f)
		}
	}
	(*w)[t.fingerprint] = now.Add(watchPause)
}

// paused reports whether requests with a fingerprint are paused.
func (w watches) paused(now time.Time, f quarantine.Fingerprint) bool { return now.Before(w[f]) }

// admission is whether a waiter may get a slot as far as its fingerprint is concerned.
type admission uint8

const (
	admitNow admission = iota
	admitLater
	admitRefused
)

// admit applies what this home and the requesting host know against a request.
func (r *round) admit(w *waiter) admission {
	if w.Fingerprint == 0 {
		return admitNow
	}
	w.Watch = max(w.Watch, r.catalog.Watch(r.now, w.Fingerprint))
	switch w.Watch {
	case WatchNone:
		return admitNow
	case WatchRefused:
		return admitRefused
	case WatchSingle, WatchAlone:
	}
	waits := r.watches.paused(r.now, w.Fingerprint) || slices.Contains(r.watched, w.Fingerprint) || r.runs(w.Fingerprint)
	r.markWatched()
	switch {
	case !waits && (len(r.candidates) == 0 || slices.ContainsFunc(r.candidates, func(c candidate) bool { return r.usable(w, &c) })):
		return admitNow
	case r.now.Sub(w.arrivedAt) > time.Duration(maxWatchWait*float64(w.deadline.Sub(w.arrivedAt))):
		return admitRefused
	}
	return admitLater
}

// runs reports whether a request with the fingerprint runs in the pool.
func (r *round) runs(f quarantine.Fingerprint) bool {
	for _, s := range r.targets {
		for _, t := range s.running {
			if t.fingerprint == f {
				return true
			}
		}
	}
	return false
}

// markWatched finds out, once in a round, which targets run watched requests.
func (r *round) markWatched() {
	if r.marked {
		return
	}
	r.marked = true
	for i := range r.candidates {
		c := &r.candidates[i]
		for _, t := range c.running {
			if t.fingerprint == 0 {
				continue
			}
			watch := max(t.watch, r.catalog.Watch(r.now, t.fingerprint)) // a target may have ended since it got its slot
			c.runsWatched = c.runsWatched || watch != WatchNone
			c.runsAlone = c.runsAlone || t.watch == WatchAlone
		}
	}
}

// usable reports whether a request may run at a candidate beside what runs there: of two
// requests of which one has to run alone, only one may be watched.
func (r *round) usable(w *waiter, c *candidate) bool {
	switch w.Watch {
	case WatchAlone:
		return !c.runsWatched
	case WatchSingle:
		return !c.runsAlone
	case WatchNone, WatchRefused:
	}
	return true
}

// watch records that a request gets a slot of a target in this round.
func (r *round) watch(w *waiter, c *candidate) {
	if w.Watch != WatchNone {
		r.watched = append(r.watched, w.Fingerprint)
		c.runsWatched = true
		c.runsAlone = c.runsAlone || w.Watch == WatchAlone
	}
}

// refuseWatched returns the refusal of a request because of its fingerprint.
func (r *round) refuseWatched(w *waiter) refusedWaiter {
	if w.Watch == WatchRefused {
		return refusedWaiter{waiter: w, reason: ReasonQuarantined, available: len(r.candidates)}
	}
	return refusedWaiter{waiter: w, reason: ReasonWatched, retryAfter: watchedRetryAfter, available: len(r.candidates)}
}
