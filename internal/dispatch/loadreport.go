package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/target"
)

const (
	// loadPeriod is how long a reported load stays true: targets are slow for about
	// that long at a time.
	loadPeriod = 400 * time.Millisecond
	// reportReach is how far from its time a report is taken for true when a sample is
	// corrected. With half a loadPeriod the measured times of equal targets varied as much as
	// without reports, with this they vary by 3 % less.
	reportReach = loadPeriod / 4
	// loadTransit bounds the time for which the counts of the home and of the target
	// differ, as requests and releases are in transit.
	loadTransit = 20 * time.Millisecond
	// maxLoadReports bounds the reports kept for a target. A request of twice the usual
	// time at a target with two slots sees about as many.
	maxLoadReports = 8
	// progressWeight is the weight of a request's time in the mean progress.
	progressWeight = 0.02
	// reportingWindow is how long after its last report a target counts as one that
	// reports its load.
	reportingWindow = 10 * time.Second
	// lastingHalfTime and lastingWeight replace statsHalfTime and slowdownWeight at targets
	// that report slow periods: what is left of the slowdown is lasting, so that it need not
	// be forgotten within seconds, and a longer average has less noise.
	lastingHalfTime = 10 * time.Second
	lastingWeight   = 0.08
)

// speedReport is a slowdown that a target has stated.
type speedReport struct {
	at       time.Time
	slowdown float64
}

// reportedLoad is what the responses of one incarnation of a target state about its load.
type reportedLoad struct {
	// at is when the newest report was true, zero without any.
	at time.Time
	// foreign is the number of requests in that report that the home did not count.
	foreign int
	// speeds are the newest reports with a slowdown, in order of time.
	speeds []speedReport
	// releases are when the last tickets were released, at most loadPeriod ago.
	releases []time.Time
}

// observe records the load in the response to a ticket that is being released. Reports that
// are older than the newest one change nothing.
func (r *reportedLoad) observe(now time.Time, t *ticket, l *target.Load) {
	if l == nil || t.incarnation != t.target.Incarnation {
		return
	}
	at := now.Add(-max(l.Age, 0))
	if now.Sub(at) > loadPeriod || !at.After(r.at) {
		return
	}
	r.at = at
	// The report may count the request that it responds to.
	own := 1
	for _, other := range t.target.running {
		if other != t && other.assignedAt.Before(at) {
			own++
		}
	}
	for _, released := range r.releases {
		if released.After(at.Add(-loadTransit)) {
			own++
		}
	}
	r.foreign = max(l.Running+l.Waiting-own, 0)
	if l.Slowdown <= 0 {
		return
	}
	if len(r.speeds) == maxLoadReports {
		r.speeds = append(r.speeds[:0], r.speeds[1:]...)
	}
	r.speeds = append(r.speeds, speedReport{at, l.Slowdown})
}

// released records the release of a ticket.
func (r *reportedLoad) released(now time.Time) {
	if r.at.IsZero() {
		return // the target reports nothing
	}
	kept := r.releases[:0]
	for _, at := range r.releases {
		if now.Sub(at) <= loadPeriod {
			kept = append(kept, at)
		}
	}
	r.releases = append(kept, now)
}

// foreignRequests returns how many requests run or wait at the target that the home does
// not count: those of other callers, and those whose ticket ended before they did.
func (r *reportedLoad) foreignRequests(now time.Time) int {
	if now.Sub(r.at) > loadPeriod {
		return 0
	}
	return r.foreign
}

// reports reports whether the target states its load.
func (r *reportedLoad) reports(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < reportingWindow
}

// slowdownHalfTime returns the half time of the target's slowdown while it is unused.
func (r *reportedLoad) slowdownHalfTime() time.Duration {
	if len(r.speeds) > 0 {
		return lastingHalfTime
	}
	return statsHalfTime
}

// slowdownWeight returns the weight of the newest sample in the target's slowdown.
func (r *reportedLoad) slowdownWeight() float64 {
	if len(r.speeds) > 0 {
		return lastingWeight
	}
	return slowdownWeight
}

// usualTime returns how long the work that was done from one time to another takes without
// slow periods. Each report holds for reportReach before and after it, at most up to the middle
// between two reports; for the rest, progress is assumed.
func (r *reportedLoad) usualTime(from, to time.Time, progress float64) time.Duration {
	sum := progress * float64(to.Sub(from))
	for i, s := range r.speeds {
		before, after := reportReach, reportReach
		if i > 0 {
			before = min(before, s.at.Sub(r.speeds[i-1].at)/2)
		}
		if i+1 < len(r.speeds) {
			after = min(after, r.speeds[i+1].at.Sub(s.at)/2)
		}
		first, last := later(from, s.at.Add(-before)), earlier(to, s.at.Add(after))
		if covered := last.Sub(first); covered > 0 {
			sum += (1/s.slowdown - progress) * float64(covered)
		}
	}
	return time.Duration(sum)
}

// expected returns the expected time of work that takes usual on average, slow periods
// included, if it starts now: the newest report holds for the rest of its loadPeriod.
func (r *reportedLoad) expected(now time.Time, usual time.Duration, progress float64) time.Duration {
	if len(r.speeds) == 0 {
		return usual
	}
	newest := r.speeds[len(r.speeds)-1]
	left := loadPeriod - now.Sub(newest.at)
	if left <= 0 {
		return usual
	}
	rate := 1 / (newest.slowdown * progress)
	if done := time.Duration(rate * float64(left)); done < usual {
		return left + usual - done
	}
	return time.Duration(float64(usual) / rate)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// progress is the moving average of the work done per time at the targets of a pool,
// relative to the work done outside of slow periods: below 1 if targets report slow periods.
type progress struct{ usual, took float64 }

func (p *progress) mean() float64 {
	if p.took == 0 {
		return 1
	}
	return p.usual / p.took
}

// steadyTime returns the time that a request would have taken with the mean share of slow
// periods, so that a sample taken in a slow period is no evidence that its target is
// permanently slow.
func (p *pool) steadyTime(now time.Time, s *targetState, took time.Duration) time.Duration {
	if took <= 0 || len(s.reported.speeds) == 0 {
		return took
	}
	usual := s.reported.usualTime(now.Add(-took), now, p.progress.mean())
	p.progress.usual += progressWeight * (float64(usual) - p.progress.usual)
	p.progress.took += progressWeight * (float64(took) - p.progress.took)
	return time.Duration(float64(usual) / p.progress.mean())
}
