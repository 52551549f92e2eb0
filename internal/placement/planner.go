package placement

import (
	"math"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
)

const (
	// cooldown is how long a shard stays where it was put.
	cooldown = 20 * time.Second
	// pendingTimeout is how long a move that was asked for counts as done although
	// the layout does not show it yet.
	pendingTimeout = 5 * time.Second
	// maxSingleKeys bounds the solo keys of one cell.
	maxSingleKeys = 256
	// maxPlanMoves bounds the moves of one plan.
	maxPlanMoves = 16
	// idleLoad is the mean load of a target, in slots, below which nothing
	// moves: an idle service has no imbalance that anybody feels.
	idleLoad = 0.02
	// minGainShare is the part of the mean load that a move has to shift.
	minGainShare = 0.01
	// splitShare is the part of the best move's load from which cutting one
	// key is preferred to moving a whole shard: one key is pulled again
	// instead of all of the shard's.
	splitShare = 0.8
	// underloadedShare is the part of the mean load below which a target gets more,
	// busyShare the part at which it has enough.
	underloadedShare = 0.5
	sufficientShare  = 0.75
	// noiseDeviations is how many standard deviations of the request count an
	// imbalance has to exceed: the busiest of many targets is off by two by
	// chance alone.
	noiseDeviations = 4
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
	moving      bool
	movedShards map[key.Shard]recentMove // by shard, within the cool-down
	splitKeys   map[key.Hash]recentMove  // by hot key, within the cool-down
	moveStarts  []time.Time              // of the moves of the last minute
}

// recentMove is one move that the planner asked for.
type recentMove struct {
	at time.Time
	to int
}

// NewPlanner returns a planner without a past.
func NewPlanner() *Planner {
	return &Planner{movedShards: make(map[key.Shard]recentMove), splitKeys: make(map[key.Hash]recentMove)}
}

// Plan returns the moves that pay now, the most useful first.
func (p *Planner) Plan(now time.Time, cfg Config, layout Layout, loads *Loads) []cell.PlannedMove {
	p.dropOld(now)
	b := p.selectBalance(now, cfg, layout, loads)
	var out []cell.PlannedMove
	for p.shouldMove(cfg, b) && len(out) < maxPlanMoves && len(p.moveStarts) < cfg.MovesPerMinute {
		m, ok := p.nextMove(b)
		if !ok {
			break
		}
		b.apply(m)
		p.recordMove(now, m)
		out = append(out, m.plannedMove(layout))
	}
	return append(out, p.merges(now, cfg, loads, b)...)
}

func (p *Planner) dropOld(now time.Time) {
	for shard, a := range p.movedShards {
		if now.Sub(a.at) >= cooldown {
			delete(p.movedShards, shard)
		}
	}
	for h, a := range p.splitKeys {
		if now.Sub(a.at) >= cooldown {
			delete(p.splitKeys, h)
		}
	}
	kept := p.moveStarts[:0]
	for _, at := range p.moveStarts {
		if now.Sub(at) < time.Minute {
			kept = append(kept, at)
		}
	}
	p.moveStarts = kept
}

// selectBalance returns the balance by the shortest window that tells an imbalance
// from chance, otherwise by the longest. Moves asked for lately count as done.
func (p *Planner) selectBalance(now time.Time, cfg Config, layout Layout, loads *Loads) *balance {
	var b *balance
	for w := range window(windowCount) {
		b = newBalance(now, cfg, layout, loads, w)
		b.applyPending(now, p)
		if b.noise() <= allowedImbalance(cfg) {
			break
		}
	}
	return b
}

// allowedImbalance returns the imbalance that the operator accepts: the busiest target's
// load over the mean, less one.
func allowedImbalance(cfg Config) float64 {
	const percent = 100
	return float64(cfg.ImbalancePercent) / percent
}

// startThreshold returns the imbalance from which shards move.
func startThreshold(cfg Config, b *balance) float64 {
	return 1 + max(allowedImbalance(cfg), b.noise())
}

// stopThreshold returns the imbalance at which moving ends.
func stopThreshold(cfg Config, b *balance) float64 {
	return 1 + max(allowedImbalance(cfg), b.noise())/2
}

// shouldMove decides, with hysteresis, whether shards should move at all: where the
// busiest target has too much, or the least busy one too little. The latter
// gives a new target its part although the others could do without it.
func (p *Planner) shouldMove(cfg Config, b *balance) bool {
	imbalance, idlest := b.imbalance(), b.leastLoadRatio()
	switch {
	case b.meanLoad < idleLoad:
		p.moving = false
	case imbalance > startThreshold(cfg, b), idlest < min(underloadedShare, 1-b.noise()):
		p.moving = true
	case imbalance <= stopThreshold(cfg, b) && idlest >= min(sufficientShare, 1-b.noise()):
		p.moving = false
	}
	return p.moving
}

func (p *Planner) recordMove(now time.Time, m move) {
	p.moveStarts = append(p.moveStarts, now)
	a := recentMove{at: now, to: m.to}
	if m.split {
		p.splitKeys[m.hash] = a
		return
	}
	p.movedShards[m.shard] = a
	if m.singleKey {
		p.splitKeys[m.hash] = a
	}
}

// nextMove returns the move off the busiest target that brings most.
func (p *Planner) nextMove(b *balance) (move, bool) {
	from, to := b.busiest(), b.leastLoaded()
	if from == to || from < 0 || to < 0 {
		return move{}, false
	}
	room := b.maxTransfer(from, to)
	var whole, single move
	for i := range b.rows {
		r := &b.rows[i]
		if r.owner != from || r.load > room || p.inCooldown(r) {
			continue
		}
		if r.load > whole.load {
			whole = move{shard: r.shard, row: i, load: r.load, from: from, to: to, singleKey: r.singleKey, hash: r.hash}
		}
	}
	if b.singleKeys < maxSingleKeys {
		single = p.nextSplit(b, from, to, room)
	}
	best := whole
	if single.load > 0 && (single.load > whole.load || !whole.singleKey && single.load >= splitShare*whole.load) {
		best = single
	}
	return best, best.load >= minGainShare*b.meanLoad
}

// inCooldown reports whether the row was moved, or cut out, a short while ago.
func (p *Planner) inCooldown(r *loadRow) bool {
	if _, ok := p.movedShards[r.shard]; ok {
		return true
	}
	_, ok := p.splitKeys[r.hash]
	return r.singleKey && ok
}

// nextSplit returns the hottest key of the busiest target that fits.
func (p *Planner) nextSplit(b *balance, from, to int, room Load) move {
	var best move
	for _, k := range b.hotKeys {
		if b.rows[k.row].owner != from || k.load > room || k.load <= best.load {
			continue
		}
		if _, cooling := p.splitKeys[k.hash]; cooling {
			continue
		}
		best = move{shard: b.rows[k.row].shard, row: k.row, load: k.load, from: from, to: to, split: true, hash: k.hash}
	}
	return best
}

// move is one step of a plan.
type move struct {
	shard     key.Shard
	row       int
	load      Load
	from, to  int
	singleKey bool // the row is a solo key
	split     bool // hash becomes a solo key
	hash      key.Hash
}

func (m move) plannedMove(layout Layout) cell.PlannedMove {
	out := cell.PlannedMove{Shard: m.shard, To: layout.Targets[m.to].Target, Split: m.split}
	if m.split {
		out.HotKey = m.hash
	}
	return out
}

// noise returns the relative imbalance that chance alone explains.
func (b *balance) noise() float64 {
	from := b.busiest()
	if from < 0 || b.targetRequests[from] <= 0 {
		return math.Inf(1)
	}
	return noiseDeviations / math.Sqrt(b.targetRequests[from])
}
