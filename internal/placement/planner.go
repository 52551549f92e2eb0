package placement

import (
	"math"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
)

const (
	// coolDown is how long a shard stays where it was put.
	coolDown = 20 * time.Second
	// pending is how long a move that was asked for counts as done although
	// the layout does not show it yet.
	pending = 5 * time.Second
	// maxSolos bounds the solo keys of one cell.
	maxSolos = 256
	// maxBatch bounds the moves of one plan.
	maxBatch = 16
	// restLoad is the mean load of a target, in slots, below which nothing
	// moves: an idle service has no imbalance that anybody feels.
	restLoad = 0.02
	// leastGain is the part of the mean load that a move has to shift.
	leastGain = 0.01
	// soloShare is the part of the best move's load from which cutting one
	// key is preferred to moving a whole shard: one key is pulled again
	// instead of all of the shard's.
	soloShare = 0.8
	// idleShare is the part of the mean load below which a target gets more,
	// busyShare the part at which it has enough.
	idleShare = 0.5
	busyShare = 0.75
	// noiseFactor is how many standard deviations of the request count an
	// imbalance has to exceed: the busiest of many targets is off by two by
	// chance alone.
	noiseFactor = 4
)

// Config is how an operator weighs moves against imbalance.
type Config struct {
	// ImbalancePercent is the busiest target's load over the mean, in percent
	// above 100, from which shards move. Moving ends at half of it.
	ImbalancePercent int
	// MovesPerMinute bounds the moves.
	MovesPerMinute int
	// Shards is the number of hash-range shards of the service.
	Shards key.ShardCount
}

// Planner plans the moves of one cell. It remembers its own recent moves; all
// else comes in with each call. Not safe for concurrent use.
type Planner struct {
	moving bool
	moved  map[key.Shard]ask // by shard, within the cool-down
	cut    map[key.Hash]ask  // by hot key, within the cool-down
	starts []time.Time       // of the moves of the last minute
}

// ask is one move that the planner asked for.
type ask struct {
	at time.Time
	to int
}

// NewPlanner returns a planner without a past.
func NewPlanner() *Planner {
	return &Planner{moved: make(map[key.Shard]ask), cut: make(map[key.Hash]ask)}
}

// Plan returns the moves that pay now, the most useful first.
func (p *Planner) Plan(now time.Time, cfg Config, layout Layout, loads *Loads) []cell.PlannedMove {
	p.expire(now)
	b := p.weigh(now, cfg, layout, loads)
	var out []cell.PlannedMove
	for p.wants(cfg, b) && len(out) < maxBatch && len(p.starts) < cfg.MovesPerMinute {
		m, ok := p.next(b)
		if !ok {
			break
		}
		b.apply(m)
		p.remember(now, m)
		out = append(out, m.planned(layout))
	}
	return append(out, p.joins(now, cfg, loads, b)...)
}

func (p *Planner) expire(now time.Time) {
	for shard, a := range p.moved {
		if now.Sub(a.at) >= coolDown {
			delete(p.moved, shard)
		}
	}
	for h, a := range p.cut {
		if now.Sub(a.at) >= coolDown {
			delete(p.cut, h)
		}
	}
	kept := p.starts[:0]
	for _, at := range p.starts {
		if now.Sub(at) < time.Minute {
			kept = append(kept, at)
		}
	}
	p.starts = kept
}

// weigh returns the balance by the shortest window that tells an imbalance
// from chance, otherwise by the longest. Moves asked for lately count as done.
func (p *Planner) weigh(now time.Time, cfg Config, layout Layout, loads *Loads) *balance {
	var b *balance
	for w := range window(windows) {
		b = newBalance(now, cfg, layout, loads, w)
		b.assume(now, p)
		if b.noise() <= allowed(cfg) {
			break
		}
	}
	return b
}

// allowed returns the imbalance that the operator accepts: the busiest target's
// load over the mean, less one.
func allowed(cfg Config) float64 {
	const percent = 100
	return float64(cfg.ImbalancePercent) / percent
}

// limit returns the imbalance from which shards move.
func limit(cfg Config, b *balance) float64 {
	return 1 + max(allowed(cfg), b.noise())
}

// calm returns the imbalance at which moving ends.
func calm(cfg Config, b *balance) float64 {
	return 1 + max(allowed(cfg), b.noise())/2
}

// wants decides, with hysteresis, whether shards should move at all: where the
// busiest target has too much, or the least busy one too little. The latter
// gives a new target its part although the others could do without it.
func (p *Planner) wants(cfg Config, b *balance) bool {
	imbalance, idlest := b.imbalance(), b.idlest()
	switch {
	case b.mean < restLoad:
		p.moving = false
	case imbalance > limit(cfg, b), idlest < min(idleShare, 1-b.noise()):
		p.moving = true
	case imbalance <= calm(cfg, b) && idlest >= min(busyShare, 1-b.noise()):
		p.moving = false
	}
	return p.moving
}

func (p *Planner) remember(now time.Time, m move) {
	p.starts = append(p.starts, now)
	a := ask{at: now, to: m.to}
	if m.cut {
		p.cut[m.hash] = a
		return
	}
	p.moved[m.shard] = a
	if m.solo {
		p.cut[m.hash] = a
	}
}

// next returns the move off the busiest target that brings most.
func (p *Planner) next(b *balance) (move, bool) {
	from, to := b.busiest(), b.coldest()
	if from == to || from < 0 || to < 0 {
		return move{}, false
	}
	room := b.room(from, to)
	var whole, single move
	for i := range b.rows {
		r := &b.rows[i]
		if r.owner != from || r.load > room || p.cooling(r) {
			continue
		}
		if r.load > whole.load {
			whole = move{shard: r.shard, row: i, load: r.load, from: from, to: to, solo: r.solo, hash: r.hash}
		}
	}
	if b.solos < maxSolos {
		single = p.nextKey(b, from, to, room)
	}
	best := whole
	if single.load > 0 && (single.load > whole.load || !whole.solo && single.load >= soloShare*whole.load) {
		best = single
	}
	return best, best.load >= leastGain*b.mean
}

// cooling reports whether the row was moved, or cut out, a short while ago.
func (p *Planner) cooling(r *loadRow) bool {
	if _, ok := p.moved[r.shard]; ok {
		return true
	}
	_, ok := p.cut[r.hash]
	return r.solo && ok
}

// nextKey returns the hottest key of the busiest target that fits.
func (p *Planner) nextKey(b *balance, from, to int, room Load) move {
	var best move
	for _, k := range b.keys {
		if b.rows[k.row].owner != from || k.load > room || k.load <= best.load {
			continue
		}
		if _, cooling := p.cut[k.hash]; cooling {
			continue
		}
		best = move{shard: b.rows[k.row].shard, row: k.row, load: k.load, from: from, to: to, cut: true, hash: k.hash}
	}
	return best
}

// move is one step of a plan.
type move struct {
	shard    key.Shard
	row      int
	load     Load
	from, to int
	solo     bool // the row is a solo key
	cut      bool // hash becomes a solo key
	hash     key.Hash
}

func (m move) planned(layout Layout) cell.PlannedMove {
	out := cell.PlannedMove{Shard: m.shard, To: layout.Targets[m.to].Target, Cut: m.cut}
	if m.cut {
		out.Solo = m.hash
	}
	return out
}

// noise returns the relative imbalance that chance alone explains.
func (b *balance) noise() float64 {
	from := b.busiest()
	if from < 0 || b.requests[from] <= 0 {
		return math.Inf(1)
	}
	return noiseFactor / math.Sqrt(b.requests[from])
}
