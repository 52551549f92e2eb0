package partition

import (
	"math"
	"sort"
	"time"

	"citrontray.example/citrontray/internal/key"
)

const (
	// longMemory is the time in which a count loses most of its weight while
	// the load stays as it is: long enough that chance moves nothing.
	longMemory = 12 * time.Second
	// shortMemory is the same for the rates by which a change is noticed:
	// busy keys change within seconds.
	shortMemory = 450 * time.Millisecond
	// evenWork is the work, in requests at once, that is spread over the whole
	// key space on top of what was seen, so that unused keys are dealt out
	// evenly too.
	evenWork = 0.5
)

// maxSpells bounds the times from which parts of the key space are averaged
// anew at once; beyond it all are from the last one.
const maxSpells = 32

// Meter follows the rate of requests for each point. It averages over a long
// time while the load is steady, and starts anew from what it saw last where a
// range gets far more or less than before. It answers single keys that become
// hot within a moment while thousands of others stay as they are.
type Meter struct {
	// long and short are decaying rates, in requests a second.
	long, short [key.Points]float32
	// spell tells from when each point's long average is, as an index into
	// begun; no more is known of what has lasted for the long memory.
	spell [key.Points]uint8
	begun []time.Time
	at    time.Time
	// alarmed is when the load last surely changed somewhere.
	alarmed time.Time
}

// memory returns the length of a long average that began at a time.
func memory(begun, now time.Time) time.Duration {
	return min(shortMemory+max(now.Sub(begun), 0), longMemory)
}

// Add counts requests for a point.
func (m *Meter) Add(now time.Time, p key.Point, requests int) {
	if p >= key.Points {
		return
	}
	m.begin(now)
	m.long[p] += float32(float64(requests) / memory(m.begun[m.spell[p]], now).Seconds())
	m.short[p] += float32(float64(requests) / shortMemory.Seconds())
}

func (m *Meter) begin(now time.Time) {
	if len(m.begun) == 0 {
		m.begun, m.at = append(m.begun, now), now
	}
}

// Fade lets the counts age up to now.
func (m *Meter) Fade(now time.Time) {
	m.begin(now)
	age := now.Sub(m.at).Seconds()
	if age <= 0 {
		return
	}
	m.at = now
	var long [maxSpells]float32
	for i, begun := range m.begun {
		long[i] = float32(math.Exp(-age / memory(begun, now).Seconds()))
	}
	short := float32(math.Exp(-age / shortMemory.Seconds()))
	for i := range m.long {
		m.long[i] *= long[m.spell[i]]
		m.short[i] *= short
	}
	m.merge(now)
}

// merge forgets spells that have lasted for the long memory.
func (m *Meter) merge(now time.Time) {
	var to [maxSpells]uint8
	kept := m.begun[:1]
	for i, begun := range m.begun[1:] {
		if memory(begun, now) == longMemory {
			continue // as good as the first one
		}
		to[i+1] = uint8(len(kept))
		kept = append(kept, begun)
	}
	if len(kept) == len(m.begun) || memory(m.begun[0], now) < longMemory {
		return
	}
	for p, i := range m.spell {
		m.spell[p] = to[i]
	}
	m.begun = kept
}

// renew starts the long average of a range anew from the short one.
func (m *Meter) renew(now time.Time, r key.Range) {
	last := len(m.begun) - 1
	if m.begun[last] != now && len(m.begun) < maxSpells {
		m.begun = append(m.begun, now)
		last++
	}
	for p := r.First; p <= r.Last; p++ {
		m.long[p], m.spell[p] = m.short[p], uint8(last)
	}
}

const (
	// surprise is the difference in standard deviations that counts as a
	// change: chance reaches it once in a million looks.
	surprise = 5
	// suspicion is that from which a range is averaged anew while others change
	// too, or have for alarm: what gets less shows later than what gets more.
	suspicion = 3.5
	alarm     = 6 * shortMemory
	// few is the count up to which nothing is concluded: a range with less
	// matters little.
	few = 15
	// upheaval is the factor between the whole load lately and its long average
	// from which nothing that was known is of use.
	upheaval = 2
)

// Watch compares what each range got lately with the long average. Where chance
// can't explain the difference, the points that changed are averaged anew; where
// all got more or less alike, what is known of them keeps its proportions. It
// reports whether anything changed.
func (m *Meter) Watch(now time.Time, ranges []key.Range) bool {
	m.begin(now)
	if now.Sub(m.begun[0]) < shortMemory {
		return false // what the average has seen is all from lately
	}
	seen, expected := make([]float64, len(ranges)), make([]float64, len(ranges))
	var all, before float64
	for i, r := range ranges {
		seen[i], expected[i] = m.counts(r)
		all, before = all+seen[i], before+expected[i]
	}
	if surprising(all, before, surprise) && max(all, before) > upheaval*min(all, before) {
		m.begun = []time.Time{now}
		clear(m.spell[:])
		m.long = m.short
		return true
	}
	scale, common := commonScale(seen, expected)
	if common {
		for p := range m.long {
			m.long[p] *= float32(scale)
		}
		m.alarmed = now
	} else {
		scale = 1
	}
	for i := range ranges {
		if surprising(seen[i], expected[i]*scale, surprise) {
			m.alarmed = now
		}
	}
	if m.alarmed.IsZero() || now.Sub(m.alarmed) > alarm {
		return false
	}
	for i, r := range ranges {
		if surprising(seen[i], expected[i]*scale, suspicion) {
			m.look(now, r)
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
			if !surprising(seen[i], expected[i]*scale, surprise) {
				all, before = all+seen[i], before+expected[i]
			}
		}
		if all == 0 || before == 0 {
			return 1, false
		}
		scale, common = all/before, surprising(all, before, surprise)
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
	return 2 * seen * shortMemory.Seconds(), 2 * expected * shortMemory.Seconds()
}

// surprising reports whether a count is that many standard deviations from what
// was expected.
func surprising(seen, expected, deviations float64) bool {
	return max(seen, expected) > few && math.Abs(seen-expected) > deviations*math.Sqrt(expected+1)
}

// look renews those points of a range that changed by themselves, and all of it
// where they don't explain its change.
func (m *Meter) look(now time.Time, r key.Range) {
	for p := r.First; p <= r.Last; p++ {
		one := key.Range{First: p, Last: p}
		if seen, expected := m.counts(one); surprising(seen, expected, surprise) {
			m.renew(now, one)
		}
	}
	if seen, expected := m.counts(r); surprising(seen, expected, suspicion) {
		m.renew(now, r)
	}
}

// Load is the work of each point at one moment, in requests at once.
type Load struct {
	// sums[i] is the work of all points below i, doubts[i] its variance.
	sums, doubts [key.Points + 1]float64
}

// Load sets l to the work that follows from the rates, where one request takes
// the mean time.
func (m *Meter) Load(now time.Time, l *Load, mean time.Duration) {
	const even = evenWork / key.Points
	seconds := mean.Seconds()
	// A decayed count of n stands for a rate with the variance of n/2 requests.
	var grains [maxSpells]float64
	for i, begun := range m.begun {
		grains[i] = seconds / memory(begun, now).Seconds() / 2
	}
	for i, rate := range m.long {
		work := float64(rate) * seconds
		l.sums[i+1] = l.sums[i] + work + even
		l.doubts[i+1] = l.doubts[i] + work*grains[m.spell[i]]
	}
}

// Even returns the work of a key space of which nothing has been seen.
func Even() *Load {
	l := &Load{}
	(&Meter{}).Load(time.Time{}, l, 0)
	return l
}

// Of returns the work of a range.
func (l *Load) Of(r key.Range) float64 { return l.sums[r.Last+1] - l.sums[r.First] }

// within returns the work of all points, of each at most what one target can
// do: no other target can help with the rest.
func (l *Load) within(most float64) float64 {
	var sum float64
	for i := range key.Points {
		sum += min(l.sums[i+1]-l.sums[i], most)
	}
	return sum
}

// busiest returns the point of a range with the most work, and that work. It
// halves the range, so it finds a point only if that dominates its half.
func (l *Load) busiest(r key.Range) (key.Point, float64) {
	for r.Len() > 1 {
		middle := r.First + key.Point(r.Len()/2)
		left, right := key.Range{First: r.First, Last: middle - 1}, key.Range{First: middle, Last: r.Last}
		if l.Of(left) > l.Of(right) {
			r = left
		} else {
			r = right
		}
	}
	return r.First, l.Of(r)
}

// variance returns the variance of a range's work.
func (l *Load) variance(r key.Range) float64 { return l.doubts[r.Last+1] - l.doubts[r.First] }

// prefix returns the part of a range from its start whose work is closest to
// want: at least one point, and not all of it.
func (l *Load) prefix(r key.Range, want float64) key.Range {
	goal := l.sums[r.First] + want
	n := r.Len() - 1
	i := sort.Search(n, func(i int) bool { return l.sums[int(r.First)+i+1] >= goal })
	i = min(i, n-1)
	if i > 0 && goal-l.sums[int(r.First)+i] < l.sums[int(r.First)+i+1]-goal {
		i--
	}
	return key.Range{First: r.First, Last: r.First + key.Point(i)}
}

// Parts cuts a range into up to n parts of about the same work.
func (l *Load) Parts(r key.Range, n int) []key.Range {
	var out []key.Range
	for ; n > 1 && r.Len() > 1; n-- {
		part := l.prefix(r, l.Of(r)/float64(n))
		out = append(out, part)
		r.First = part.Last + 1
	}
	return append(out, r)
}

// suffix is prefix from the end of the range.
func (l *Load) suffix(r key.Range, want float64) key.Range {
	rest := l.prefix(r, l.Of(r)-want)
	return key.Range{First: rest.Last + 1, Last: r.Last}
}
