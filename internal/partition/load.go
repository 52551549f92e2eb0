package partition

import (
	"math"
	"sort"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	// longDecay is the decay time of the long averages while the load does not change:
	// long enough that noise causes no moves.
	longDecay = 12 * time.Second
	// shortDecay is the decay time of the short averages, by which changes are
	// detected: keys become busy within seconds.
	shortDecay = 450 * time.Millisecond
	// baseWork is an amount of work, in concurrent requests, that is spread over the
	// whole key space in addition to the measured work, so that unused keys are
	// distributed evenly, too.
	baseWork = 0.5
)

// maxPeriods bounds the number of averaging periods. Once it is reached, all further
// restarts count from the start of the last period.
const maxPeriods = 32

// Meter measures the rate of requests for each point. It averages over a long time
// while the load is steady, and restarts the average of a range from recent counts when
// its rate changes a lot. It is made for loads in which single keys become hot within
// moments while thousands of others stay as they are.
type Meter struct {
	// long and short are exponentially decaying rates, in requests per second.
	long, short [key.Points]float32
	// period is the averaging period of each point's long average, as an index into
	// starts. Periods whose decay time has reached longDecay are merged into the first.
	period    [key.Points]uint8
	starts    []time.Time
	decayedAt time.Time
	// changedAt is when the load of any range last changed significantly.
	changedAt time.Time
}

// decayTime returns the decay time of a long average that was started at began: it
// grows with the age of the average, up to longDecay.
func decayTime(began, now time.Time) time.Duration {
	return min(shortDecay+max(now.Sub(began), 0), longDecay)
}

// Add counts requests for a point.
func (m *Meter) Add(now time.Time, p key.Point, requests int) {
	if p >= key.Points {
		return
	}
	m.start(now)
	m.long[p] += float32(float64(requests) / decayTime(m.starts[m.period[p]], now).Seconds())
	m.short[p] += float32(float64(requests) / shortDecay.Seconds())
}

func (m *Meter) start(now time.Time) {
	if len(m.starts) == 0 {
		m.starts, m.decayedAt = append(m.starts, now), now
	}
}

// Decay ages the counts up to now.
func (m *Meter) Decay(now time.Time) {
	m.start(now)
	age := now.Sub(m.decayedAt).Seconds()
	if age <= 0 {
		return
	}
	m.decayedAt = now
	var long [maxPeriods]float32
	for i, began := range m.starts {
		long[i] = float32(math.Exp(-age / decayTime(began, now).Seconds()))
	}
	short := float32(math.Exp(-age / shortDecay.Seconds()))
	for i := range m.long {
		m.long[i] *= long[m.period[i]]
		m.short[i] *= short
	}
	m.mergePeriods(now)
}

// mergePeriods merges the periods whose decay time has reached longDecay into the first
// one.
func (m *Meter) mergePeriods(now time.Time) {
	var to [maxPeriods]uint8
	kept := m.starts[:1]
	for i, began := range m.starts[1:] {
		if decayTime(began, now) == longDecay {
			continue // same decay time as the first period
		}
		to[i+1] = uint8(len(kept))
		kept = append(kept, began)
	}
	if len(kept) == len(m.starts) || decayTime(m.starts[0], now) < longDecay {
		return
	}
	for p, i := range m.period {
		m.period[p] = to[i]
	}
	m.starts = kept
}

// restart sets the long average of a range to the short one, in a new period.
func (m *Meter) restart(now time.Time, r key.Range) {
	last := len(m.starts) - 1
	if m.starts[last] != now && len(m.starts) < maxPeriods {
		m.starts = append(m.starts, now)
		last++
	}
	for p := r.First; p <= r.Last; p++ {
		m.long[p], m.period[p] = m.short[p], uint8(last)
	}
}

const (
	// changeDeviations is the number of standard deviations that counts as a change:
	// noise exceeds it in one of a million checks.
	changeDeviations = 5
	// suspectDeviations is the number of standard deviations from which the average of
	// a range is restarted if any range has changed within suspectWindow. A falling
	// rate shows later than a rising one.
	suspectDeviations = 3.5
	suspectWindow     = 6 * shortDecay
	// minCount is the count up to which a deviation is ignored: a range with fewer
	// requests matters little.
	minCount = 15
	// resetFactor is the factor between the recent total load and its long average
	// beyond which all averages are restarted.
	resetFactor = 2
)

// DetectChanges compares the recent count of each range with its long average. The
// averages of points that changed by more than noise are restarted; where all ranges
// changed by about the same factor, their averages are scaled. If the total changed by
// more than resetFactor, all averages are restarted. It reports whether the load has
// changed within suspectWindow.
func (m *Meter) DetectChanges(now time.Time, ranges []key.Range) bool {
	m.start(now)
	if now.Sub(m.starts[0]) < shortDecay {
		return false // all counts are recent
	}
	seen, expected := make([]float64, len(ranges)), make([]float64, len(ranges))
	var all, before float64
	for i, r := range ranges {
		seen[i], expected[i] = m.counts(r)
		all, before = all+seen[i], before+expected[i]
	}
	if deviates(all, before, changeDeviations) && max(all, before) > resetFactor*min(all, before) {
		m.starts = []time.Time{now}
		clear(m.period[:])
		m.long = m.short
		return true
	}
	scale, common := commonScale(seen, expected)
	if common {
		for p := range m.long {
			m.long[p] *= float32(scale)
		}
		m.changedAt = now
	} else {
		scale = 1
	}
	for i := range ranges {
		if deviates(seen[i], expected[i]*scale, changeDeviations) {
			m.changedAt = now
		}
	}
	if m.changedAt.IsZero() || now.Sub(m.changedAt) > suspectWindow {
		return false
	}
	for i, r := range ranges {
		if deviates(seen[i], expected[i]*scale, suspectDeviations) {
			m.restartChanged(now, r)
		}
	}
	return true
}

// commonScale returns the factor by which the ranges that did not change individually
// differ from the expected counts, and whether it is significant.
func commonScale(seen, expected []float64) (float64, bool) {
	const rounds = 3
	scale, common := 1.0, false
	for range rounds {
		var all, before float64
		for i := range seen {
			if !deviates(seen[i], expected[i]*scale, changeDeviations) {
				all, before = all+seen[i], before+expected[i]
			}
		}
		if all == 0 || before == 0 {
			return 1, false
		}
		scale, common = all/before, deviates(all, before, changeDeviations)
	}
	return scale, common
}

// counts returns the number of requests for a range that the short average represents,
// and the number expected in the same time from the long average.
func (m *Meter) counts(r key.Range) (seen, expected float64) {
	for p := r.First; p <= r.Last; p++ {
		seen += float64(m.short[p])
		expected += float64(m.long[p])
	}
	// A decaying rate has the variance of a count over twice its decay time.
	return 2 * seen * shortDecay.Seconds(), 2 * expected * shortDecay.Seconds()
}

// deviates reports whether a count is more than the given number of standard deviations
// from the expected one. Counts up to minCount never deviate.
func deviates(seen, expected, deviations float64) bool {
	return max(seen, expected) > minCount && math.Abs(seen-expected) > deviations*math.Sqrt(expected+1)
}

// restartChanged restarts the averages of the points of a range that changed
// individually, and of the whole range if these do not explain its change.
func (m *Meter) restartChanged(now time.Time, r key.Range) {
	for p := r.First; p <= r.Last; p++ {
		one := key.Range{First: p, Last: p}
		if seen, expected := m.counts(one); deviates(seen, expected, changeDeviations) {
			m.restart(now, one)
		}
	}
	if seen, expected := m.counts(r); deviates(seen, expected, suspectDeviations) {
		m.restart(now, r)
	}
}

// Load is the work of each point at one moment, in concurrent requests.
type Load struct {
	// workSums[i] is the work of all points below i, varianceSums[i] the variance of
	// that work.
	workSums, varianceSums [key.Points + 1]float64
}

// Load sets l to the work that follows from the long averages, if a request takes the
// mean time.
func (m *Meter) Load(now time.Time, l *Load, mean time.Duration) {
	const base = baseWork / key.Points
	seconds := mean.Seconds()
	// A decaying count n has the variance of a count of n/2 requests.
	var variancePerWork [maxPeriods]float64
	for i, began := range m.starts {
		variancePerWork[i] = seconds / decayTime(began, now).Seconds() / 2
	}
	for i, rate := range m.long {
		work := float64(rate) * seconds
		l.workSums[i+1] = l.workSums[i] + work + base
		l.varianceSums[i+1] = l.varianceSums[i] + work*variancePerWork[m.period[i]]
	}
}

// UniformLoad returns the work of a key space without measured requests.
func UniformLoad() *Load {
	l := &Load{}
	(&Meter{}).Load(time.Time{}, l, 0)
	return l
}

// Work returns the work of a range.
func (l *Load) Work(r key.Range) float64 { return l.workSums[r.Last+1] - l.workSums[r.First] }

// cappedWork returns the work of all points, with that of each point capped at what one
// target can do: no other target can share the rest.
func (l *Load) cappedWork(limit float64) float64 {
	var sum float64
	for i := range key.Points {
		sum += min(l.workSums[i+1]-l.workSums[i], limit)
	}
	return sum
}

// busiestPoint returns the point of a range with the most work, and that work. It
// bisects the range, so it finds only a point that dominates its half.
func (l *Load) busiestPoint(r key.Range) (key.Point, float64) {
	for r.Len() > 1 {
		middle := r.First + key.Point(r.Len()/2)
		left, right := key.Range{First: r.First, Last: middle - 1}, key.Range{First: middle, Last: r.Last}
		if l.Work(left) > l.Work(right) {
			r = left
		} else {
			r = right
		}
	}
	return r.First, l.Work(r)
}

// variance returns the variance of a range's work.
func (l *Load) variance(r key.Range) float64 {
	return l.varianceSums[r.Last+1] - l.varianceSums[r.First]
}

// prefix returns the part from the start of a range whose work is closest to want. It
// has at least one point, and does not have all of them.
func (l *Load) prefix(r key.Range, want float64) key.Range {
	goal := l.workSums[r.First] + want
	n := r.Len() - 1
	i := sort.Search(n, func(i int) bool { return l.workSums[int(r.First)+i+1] >= goal })
	i = min(i, n-1)
	if i > 0 && goal-l.workSums[int(r.First)+i] < l.workSums[int(r.First)+i+1]-goal {
		i--
	}
	return key.Range{First: r.First, Last: r.First + key.Point(i)}
}

// Split cuts a range into up to n parts of about the same work.
func (l *Load) Split(r key.Range, n int) []key.Range {
	var out []key.Range
	for ; n > 1 && r.Len() > 1; n-- {
		part := l.prefix(r, l.Work(r)/float64(n))
		out = append(out, part)
		r.First = part.Last + 1
	}
	return append(out, r)
}

// suffix is like prefix, for the part up to the end of the range.
func (l *Load) suffix(r key.Range, want float64) key.Range {
	rest := l.prefix(r, l.Work(r)-want)
	return key.Range{First: rest.Last + 1, Last: r.Last}
}
