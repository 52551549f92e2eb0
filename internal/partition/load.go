package partition

import (
	"math"
	"sort"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	// longDecay is the time in which a count loses most of its weight while
	// the load stays as it is: long enough that chance moves nothing.
	longDecay = 12 * time.Second
	// shortDecay is the same for the rates by which a change is noticed:
	// busy keys change within seconds.
	shortDecay = 450 * time.Millisecond
	// baseWork is the work, in requests at once, that is spread over the whole
	// key space on top of what was seen, so that unused keys are dealt out
	// evenly too.
	baseWork = 0.5
)

// maxPeriods bounds the times from which parts of the key space are averaged
// anew at once; beyond it all are from the last one.
const maxPeriods = 32

// Meter follows the rate of requests for each point. It averages over a long
// time while the load is steady, and starts anew from what it saw last where a
// range gets far more or less than before. It answers single keys that become
// hot within a moment while thousands of others stay as they are.
type Meter struct {
	// long and short are decaying rates, in requests a second.
	long, short [key.Points]float32
	// period tells from when each point's long average is, as an index into
	// begun; no more is known of what has lasted for the long memory.
	period    [key.Points]uint8
	starts    []time.Time
	decayedAt time.Time
	// changedAt is when the load last surely changed somewhere.
	changedAt time.Time
}

// decayTime returns the length of a long average that began at a time.
func decayTime(begun, now time.Time) time.Duration {
	return min(shortDecay+max(now.Sub(begun), 0), longDecay)
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

// Decay lets the counts age up to now.
func (m *Meter) Decay(now time.Time) {
	m.start(now)
	age := now.Sub(m.decayedAt).Seconds()
	if age <= 0 {
		return
	}
	m.decayedAt = now
	var long [maxPeriods]float32
	for i, begun := range m.starts {
		long[i] = float32(math.Exp(-age / decayTime(begun, now).Seconds()))
	}
	short := float32(math.Exp(-age / shortDecay.Seconds()))
	for i := range m.long {
		m.long[i] *= long[m.period[i]]
		m.short[i] *= short
	}
	m.mergePeriods(now)
}

// mergePeriods forgets spells that have lasted for the long memory.
func (m *Meter) mergePeriods(now time.Time) {
	var to [maxPeriods]uint8
	kept := m.starts[:1]
	for i, begun := range m.starts[1:] {
		if decayTime(begun, now) == longDecay {
			continue // as good as the first one
		}
		to[i+1] = uint8(len(kept))
		kept = append(kept, begun)
	}
	if len(kept) == len(m.starts) || decayTime(m.starts[0], now) < longDecay {
		return
	}
	for p, i := range m.period {
		m.period[p] = to[i]
	}
	m.starts = kept
}

// restart starts the long average of a range anew from the short one.
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
	// changeDeviations is the difference in standard deviations that counts as a
	// change: chance reaches it once in a million looks.
	changeDeviations = 5
	// suspectDeviations is that from which a range is averaged anew while others change
	// too, or have for alarm: what gets less shows later than what gets more.
	suspectDeviations = 3.5
	suspectWindow     = 6 * shortDecay
	// minCount is the count up to which nothing is concluded: a range with less
	// matters little.
	minCount = 15
	// resetFactor is the factor between the whole load lately and its long average
	// from which nothing that was known is of use.
	resetFactor = 2
)

// DetectChanges compares what each range got lately with the long average. Where chance
// can't explain the difference, the points that changed are averaged anew; where
// all got more or less alike, what is known of them keeps its proportions. It
// reports whether anything changed.
func (m *Meter) DetectChanges(now time.Time, ranges []key.Range) bool {
	m.start(now)
	if now.Sub(m.starts[0]) < shortDecay {
		return false // what the average has seen is all from lately
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

// commonScale returns the factor by which the ranges that did not change by
// themselves get more or less than expected, and whether it is no chance.
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

// counts returns the requests for a range that the short average stands for,
// and those that the long one lets expect in the same time.
func (m *Meter) counts(r key.Range) (seen, expected float64) {
	for p := r.First; p <= r.Last; p++ {
		seen += float64(m.short[p])
		expected += float64(m.long[p])
	}
	// A decayed rate varies as a count over twice its memory does.
	return 2 * seen * shortDecay.Seconds(), 2 * expected * shortDecay.Seconds()
}

// deviates reports whether a count is that many standard deviations from what
// was expected.
func deviates(seen, expected, deviations float64) bool {
	return max(seen, expected) > minCount && math.Abs(seen-expected) > deviations*math.Sqrt(expected+1)
}

// restartChanged renews those points of a range that changed by themselves, and all of it
// where they don't explain its change.
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

// Load is the work of each point at one moment, in requests at once.
type Load struct {
	// workSums[i] is the work of all points below i, doubts[i] its variance.
	workSums, varianceSums [key.Points + 1]float64
}

// Load sets l to the work that follows from the rates, where one request takes
// the mean time.
func (m *Meter) Load(now time.Time, l *Load, mean time.Duration) {
	const even = baseWork / key.Points
	seconds := mean.Seconds()
	// A decayed count of n stands for a rate with the variance of n/2 requests.
	var grains [maxPeriods]float64
	for i, begun := range m.starts {
		grains[i] = seconds / decayTime(begun, now).Seconds() / 2
	}
	for i, rate := range m.long {
		work := float64(rate) * seconds
		l.workSums[i+1] = l.workSums[i] + work + even
		l.varianceSums[i+1] = l.varianceSums[i] + work*grains[m.period[i]]
	}
}

// UniformLoad returns the work of a key space of which nothing has been seen.
func UniformLoad() *Load {
	l := &Load{}
	(&Meter{}).Load(time.Time{}, l, 0)
	return l
}

// Work returns the work of a range.
func (l *Load) Work(r key.Range) float64 { return l.workSums[r.Last+1] - l.workSums[r.First] }

// cappedWork returns the work of all points, of each at most what one target can
// do: no other target can help with the rest.
func (l *Load) cappedWork(most float64) float64 {
	var sum float64
	for i := range key.Points {
		sum += min(l.workSums[i+1]-l.workSums[i], most)
	}
	return sum
}

// busiestPoint returns the point of a range with the most work, and that work. It
// halves the range, so it finds a point only if that dominates its half.
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

// prefix returns the part of a range from its start whose work is closest to
// want: at least one point, and not all of it.
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

// suffix is prefix from the end of the range.
func (l *Load) suffix(r key.Range, want float64) key.Range {
	rest := l.prefix(r, l.Work(r)-want)
	return key.Range{First: rest.Last + 1, Last: r.Last}
}
