// Package partition plans which ranges of a key space move between targets, so that
// each has work in proportion to its capacity. It is made for loads in which a few
// adjacent keys have many times the work of one target, and in which these keys change
// within seconds: busy ranges are split and given to the least utilized targets, and
// merged again when they cool down.
package partition

import (
	"cmp"
	"math"
	"slices"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Target is a target that may own ranges.
type Target struct {
	Name place.Target
	// Capacity is the number of requests that the target can run at once, scaled by its
	// speed relative to the mean; see the function Capacity.
	Capacity float64
	// RelStdDev is the standard deviation of the measured capacity, relative to it.
	RelStdDev float64
	// MaxSpans, if it is not zero, replaces Config.MaxSpans.
	MaxSpans int
	// Closed targets own no ranges while there are others.
	Closed bool
}

// Span is a range and its owner.
type Span struct {
	Range key.Range
	// Owner is empty if the range has no owner.
	Owner place.Target
	// Fixed spans are already on the move and are not changed.
	Fixed bool
	// Recent spans came to their owner recently: they may be split, but do not move as
	// a whole.
	Recent bool
}

// Move gives a range to another target.
type Move struct {
	Range key.Range
	To    place.Target
}

// Config bounds a plan.
type Config struct {
	// MaxMoves bounds the moves of one plan, though spans without an owner always get
	// one.
	MaxMoves int
	// MaxSpans is the number of ranges that a target may own before its cool ones are
	// merged with their neighbours.
	MaxSpans int
	// MaxImbalance is how far the utilization of the busiest target may exceed the
	// mean, relative to it, without a move. MinGap is the least difference in
	// utilization between two targets that is worth a move. Utilization is work divided
	// by capacity.
	MaxImbalance float64
	MinGap       float64
	// UrgentUtilization is the utilization from which work is taken from a target. If
	// it is zero, all targets are rebalanced.
	UrgentUtilization float64
}

// Plan returns the moves that balance the utilization of the targets, the most urgent
// first. Spans without an owner, or with an owner that is not in targets, come before
// all others.
func Plan(cfg Config, targets []Target, spans []Span, load *Load) []Move {
	if open := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.Closed }); len(open) > 0 {
		targets = open
	}
	p := newPlanner(cfg, targets, spans, load)
	if len(p.targets) == 0 {
		return nil
	}
	p.assignUnowned()
	p.rebalance()
	p.mergeCool()
	return p.moves
}

// targetState is a target while a plan is made.
type targetState struct {
	Target

	work  float64
	spans int
	// variance is the variance of work.
	variance float64
	// immovable is true if no part of its work is worth moving.
	immovable bool
}

func (t *targetState) utilization() float64 { return t.work / t.Capacity }

type planner struct {
	cfg             Config
	load            *Load
	targets         []*targetState
	byName          map[place.Target]*targetState
	spans           []Span
	meanUtilization float64
	moves           []Move
}

func newPlanner(cfg Config, targets []Target, spans []Span, load *Load) *planner {
	p := &planner{cfg: cfg, load: load, byName: make(map[place.Target]*targetState), spans: slices.Clone(spans)}
	var capacity float64
	for _, t := range targets {
		if t.Capacity <= 0 {
			continue
		}
		state := &targetState{Target: t}
		p.targets = append(p.targets, state)
		p.byName[t.Name] = state
		capacity += t.Capacity
	}
	for _, s := range spans {
		if state := p.byName[s.Owner]; state != nil {
			state.work += load.Work(s.Range)
			state.variance += load.variance(s.Range)
			state.spans++
		}
	}
	if capacity > 0 {
		p.meanUtilization = load.cappedWork(capacity/float64(len(p.targets))) / capacity
	}
	return p
}

func (p *planner) atLimit() bool { return len(p.moves) >= p.cfg.MaxMoves }

// leastUtilized returns the target with the lowest utilization.
func (p *planner) leastUtilized() *targetState {
	return slices.MinFunc(p.targets, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.spans, b.spans), cmp.Compare(a.Name, b.Name))
	})
}

// mostUtilized returns the target with the highest utilization that is not immovable,
// or nil.
func (p *planner) mostUtilized() *targetState {
	var best *targetState
	for _, t := range p.targets {
		if !t.immovable && (best == nil || t.utilization() > best.utilization()) {
			best = t
		}
	}
	return best
}

// minRoomShare is the least part of a target's fair share that it is given of a span
// without an owner, even if it has its share already. Smaller pieces would fragment the
// key space for little gain.
const minRoomShare = 0.2

// assignUnowned finds owners for the spans that have none. A span with more work than
// the least utilized target should take is split.
func (p *planner) assignUnowned() {
	for i := 0; i < len(p.spans); i++ {
		s := p.spans[i]
		if s.Fixed || p.byName[s.Owner] != nil {
			continue
		}
		to := p.leastUtilized()
		fair := p.meanUtilization * to.Capacity
		room := max(fair-to.work, minRoomShare*fair)
		part := s.Range
		if s.Range.Len() > 1 && p.load.Work(s.Range) > room*(1+minRoomShare) {
			part = p.load.prefix(s.Range, room)
		}
		p.assign(i, part, to)
	}
}

// overloadDeviations is the number of standard deviations by which a target's work must
// exceed its fair share before work is taken from it. Among hundreds of targets many
// exceed it by chance, but moving work from a few of them costs less than leaving an
// overloaded one alone.
const overloadDeviations = 1.6

// rebalance moves work from the most to the least utilized targets.
func (p *planner) rebalance() {
	for !p.atLimit() {
		hot, cool := p.mostUtilized(), p.leastUtilized()
		if hot == nil || hot == cool || hot.utilization() < p.cfg.UrgentUtilization || hot.utilization()-cool.utilization() < p.cfg.MinGap || !p.overloaded(hot.utilization()) {
			return
		}
		fair := p.meanUtilization * hot.Capacity
		if chance := math.Hypot(math.Sqrt(hot.variance), fair*hot.RelStdDev); hot.work-fair < overloadDeviations*chance {
			hot.immovable = true // within noise
			continue
		}
		want := min(hot.work-p.meanUtilization*hot.Capacity, p.meanUtilization*cool.Capacity-cool.work)
		at, part := p.bestPiece(hot, cool, want)
		if at < 0 {
			at, part, cool = p.heavySpan(hot)
		}
		if at < 0 {
			hot.immovable = true
			continue
		}
		hot.work -= p.load.Work(part)
		hot.variance -= min(p.load.variance(part), hot.variance)
		p.assign(at, part, cool)
	}
}

// lowUtilization is the utilization below which a target nearly always has a free slot,
// so that work need not be even; lowMaxImbalance is the imbalance allowed there.
const (
	lowUtilization  = 0.45
	lowMaxImbalance = 0.5
)

// overloaded reports whether a utilization is too far above the mean.
func (p *planner) overloaded(utilization float64) bool {
	if utilization < lowUtilization {
		return utilization > p.meanUtilization*(1+max(p.cfg.MaxImbalance, lowMaxImbalance))
	}
	return utilization > p.meanUtilization*(1+p.cfg.MaxImbalance)
}

// heavySpan finds a span of a hot target that no other target has room for, such as a
// very hot key, and the target that would be least utilized with it. That target gives
// away its other work in turn. A move interrupts the requests of the span, so it must
// lower the utilization a lot. The index is -1 if there is no such span.
func (p *planner) heavySpan(hot *targetState) (int, key.Range, *targetState) {
	best, to := -1, (*targetState)(nil)
	lowest := hot.utilization() * maxHeavyRatio
	for i, s := range p.spans {
		work := p.load.Work(s.Range)
		if s.Owner != hot.Name || s.Fixed || s.Recent || work < minHeavyShare*hot.Capacity {
			continue
		}
		for _, t := range p.targets {
			if utilizationWith := (t.work + work) / t.Capacity; t != hot && utilizationWith < lowest {
				best, to, lowest = i, t, utilizationWith
			}
		}
	}
	if best < 0 {
		return -1, key.Range{}, nil
	}
	return best, p.spans[best].Range, to
}

const (
	// minHeavyShare is the least work of a span, as a share of its target's capacity,
	// for which it is moved although no target has room for it.
	minHeavyShare = 0.3
	// maxHeavyRatio is the highest ratio of the new owner's utilization to the old
	// owner's for which such a move pays off.
	maxHeavyRatio = 0.75
)

// aroundBusiest returns the parts of a span on both sides of its busiest point, if that
// point alone has at least the work of limit, a target's fair share.
func (p *planner) aroundBusiest(r key.Range, limit float64) []key.Range {
	at, work := p.load.busiestPoint(r)
	if work < limit || r.Len() == 1 {
		return nil
	}
	var out []key.Range
	if at > r.First {
		out = append(out, key.Range{First: r.First, Last: at - 1})
	}
	if at < r.Last {
		out = append(out, key.Range{First: at + 1, Last: r.Last})
	}
	return out
}

// Scores of a piece in addition to how well its work fits: a whole span adds no span,
// and a neighbour of a span of the new owner can be merged with it.
const (
	wholeBonus     = 0.1
	neighbourBonus = 0.15
	// keyCost is the cost of moving all keys: the cost of a move depends on its keys,
	// its gain on its work.
	keyCost = 1.5
	// minFit is the fit, and the score, below which a piece is too small or too large to
	// be worth a move.
	minFit = 0.25
)

// bestPiece returns the part of a hot target's spans whose move best carries the wanted
// work, as an index into spans and a range. The index is -1 if there is none.
func (p *planner) bestPiece(hot, cool *targetState, want float64) (int, key.Range) {
	best, at := minFit, -1
	var part key.Range
	consider := func(i int, r key.Range, bonus float64) {
		work := p.load.Work(r)
		if work <= 0 || want <= 0 {
			return
		}
		fit := min(work, want) / max(work, want)
		if fit < minFit {
			return
		}
		if p.adjoins(i, r, cool.Name) {
			bonus += neighbourBonus
		}
		score := fit + bonus - keyCost*float64(r.Len())/key.Points
		if score > best {
			best, at, part = score, i, r
		}
	}
	for i, s := range p.spans {
		if s.Owner != hot.Name || s.Fixed {
			continue
		}
		consider(i, s.Range, wholeBonus)
		if s.Range.Len() > 1 {
			consider(i, p.load.prefix(s.Range, want), 0)
			consider(i, p.load.suffix(s.Range, want), 0)
		}
	}
	if at < 0 {
		return p.besideHotKey(hot, want)
	}
	return at, part
}

// besideHotKey returns the largest part that lies beside a very hot key of a hot
// target. It is moved even if it is small, as the hot key itself stays.
func (p *planner) besideHotKey(hot *targetState, want float64) (int, key.Range) {
	at, most := -1, 0.0
	var part key.Range
	for i, s := range p.spans {
		if s.Owner != hot.Name || s.Fixed {
			continue
		}
		for _, r := range p.aroundBusiest(s.Range, p.meanUtilization*hot.Capacity) {
			if work := p.load.Work(r); work > most && work > minRestShare*hot.Capacity && work <= want*maxRestExcess {
				most, at, part = work, i, r
			}
		}
	}
	return at, part
}

const (
	// minRestShare is the least work beside a very hot key that is worth a move, as a
	// share of its target's capacity.
	minRestShare = 0.02
	// maxRestExcess bounds the ratio of such work to the wanted work, as it is moved as
	// a whole.
	maxRestExcess = 1.5
)

// adjoins reports whether a part of span i borders on a span of the target.
func (p *planner) adjoins(i int, r key.Range, name place.Target) bool {
	s := p.spans[i].Range
	before := i > 0 && r.First == s.First && p.spans[i-1].Owner == name
	after := i+1 < len(p.spans) && r.Last == s.Last && p.spans[i+1].Owner == name
	return before || after
}

// assign moves a part of span i, which is a prefix, a suffix or all of it, to a target.
func (p *planner) assign(i int, part key.Range, to *targetState) {
	s := p.spans[i]
	p.moves = append(p.moves, Move{Range: part, To: to.Name})
	to.work += p.load.Work(part)
	to.spans++
	moved := Span{Range: part, Owner: to.Name, Fixed: true}
	switch {
	case part == s.Range:
		if from := p.byName[s.Owner]; from != nil {
			from.spans--
		}
		p.spans[i] = moved
	case part.First == s.Range.First:
		p.spans[i].Range.First = part.Last + 1
		p.spans = slices.Insert(p.spans, i, moved)
	default:
		p.spans[i].Range.Last = part.First - 1
		p.spans = slices.Insert(p.spans, i+1, moved)
	}
}

// coolShare is the work up to which a span is cool, as a share of the capacity of its
// target or of the next one. A cool span may move to the owner of an adjacent span whatever their
// utilization.
const coolShare = 0.05

// mergeCool moves cool spans of targets with too many spans to the owner of an adjacent
// span.
func (p *planner) mergeCool() {
	for i := 0; i < len(p.spans) && !p.atLimit(); i++ {
		s := p.spans[i]
		from := p.byName[s.Owner]
		if s.Fixed || s.Recent || from == nil || from.spans <= cmp.Or(from.MaxSpans, p.cfg.MaxSpans) {
			continue
		}
		to := p.neighbourOwner(i, from)
		if to == nil || p.load.Work(s.Range) > coolShare*max(from.Capacity, to.Capacity) {
			continue
		}
		from.work -= p.load.Work(s.Range)
		p.assign(i, s.Range, to)
	}
}

// neighbourOwner returns the less utilized owner of the two spans next to span i, other
// than from, or nil.
func (p *planner) neighbourOwner(i int, from *targetState) *targetState {
	var best *targetState
	lowest := math.Inf(1)
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.spans) {
			continue
		}
		owner := p.byName[p.spans[j].Owner]
		if owner != nil && owner != from && owner.utilization() < lowest {
			best, lowest = owner, owner.utilization()
		}
	}
	return best
}
