package placement

import (
	"math"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
)

const (
	// cooldown is how long a shard is not moved again after a move.
	cooldown = 20 * time.Second
	// pendingTimeout is how long a requested move counts as done although the layout
	// does not show it yet.
	pendingTimeout = 5 * time.Second
	// maxSingleKeys bounds the single keys that the planner splits off in a cell.
	maxSingleKeys = 256
	// maxPlanMoves bounds the moves of one plan, without the merges.
	maxPlanMoves = 16
	// idleLoad is the mean load of a target, in slots, below which nothing moves, as
	// an imbalance of an idle service has no effect.
	idleLoad = 0.02
	// minGainShare is the share of the mean load that a move has to transfer.
	minGainShare = 0.01
	// splitShare is the share of the best shard's load from which splitting off one key
	// is preferred to moving the shard, as then the new owner has to load the data of
	// only that key.
	splitShare = 0.8
	// underloadedShare is the share of the mean load below which moves to a target
	// start, sufficientShare the share at which they end.
	underloadedShare = 0.5
	sufficientShare  = 0.75
	// noiseDeviations is how many standard deviations of the request count an imbalance
	// has to exceed. The busiest of many targets deviates by two by chance alone.
	noiseDeviations = 4
)

// Config holds the settings of a service that apply to placement.
type Config struct {
	// ImbalancePercent is by how much the load of the busiest target has to exceed
	// the mean, in percent of the mean, for moves to start. They end at half of it.
	ImbalancePercent int
	// MovesPerMinute limits moves and merges.
	MovesPerMinute int
	// Shards is the number of hash-range shards of the service.
	Shards key.ShardCount
}

// Planner plans the moves of one cell. Its only state is its own recent moves and the
// hysteresis. It is not safe for concurrent use.
type Planner struct {
	moving      bool                     // by the last decision of shouldMove
	movedShards map[key.Shard]recentMove // within the cooldown
	splitKeys   map[key.Hash]recentMove  // within the cooldown
	moveStarts  []time.Time              // of the moves of the last minute
}

// recentMove is a move that the planner has requested. to is the index of the target.
type recentMove struct {
	at time.Time
	to int
}

// NewPlanner returns a planner without recent moves.
func NewPlanner() *Planner {
	return &Planner{movedShards: make(map[key.Shard]recentMove), splitKeys: make(map[key.Hash]recentMove)}
}

// Plan returns the moves to start now, those with the greatest gain first, and then the
// merges.
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
	for shard, m := range p.movedShards {
		if now.Sub(m.at) >= cooldown {
			delete(p.movedShards, shard)
		}
	}
	for h, m := range p.splitKeys {
		if now.Sub(m.at) >= cooldown {
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

// selectBalance returns the balance over the shortest window whose noise is within the
// allowed imbalance, or over the longest one. Pending moves count as done.
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

// allowedImbalance returns by how much the load of the busiest target may exceed the
// mean, relative to the mean.
func allowedImbalance(cfg Config) float64 {
	const percent = 100
	return float64(cfg.ImbalancePercent) / percent
}

// startThreshold returns the imbalance above which moves start.
func startThreshold(cfg Config, b *balance) float64 {
	return 1 + max(allowedImbalance(cfg), b.noise())
}

// stopThreshold returns the imbalance at which moves end.
func stopThreshold(cfg Config, b *balance) float64 {
	return 1 + max(allowedImbalance(cfg), b.noise())/2
}

// shouldMove decides, with hysteresis, whether to move shards: if the busiest target has
// too much load, or the least loaded one too little. The latter gives a new target its
// share even if the others are not overloaded.
func (p *Planner) shouldMove(cfg Config, b *balance) bool {
	imbalance, leastRatio := b.imbalance(), b.leastLoadRatio()
	switch {
	case b.meanLoad < idleLoad:
		p.moving = false
	case imbalance > startThreshold(cfg, b), leastRatio < min(underloadedShare, 1-b.noise()):
		p.moving = true
	case imbalance <= stopThreshold(cfg, b) && leastRatio >= min(sufficientShare, 1-b.noise()):
		p.moving = false
	}
	return p.moving
}

func (p *Planner) recordMove(now time.Time, m move) {
	p.moveStarts = append(p.moveStarts, now)
	recent := recentMove{at: now, to: m.to}
	if m.split {
		p.splitKeys[m.hash] = recent
		return
	}
	p.movedShards[m.shard] = recent
	if m.singleKey {
		p.splitKeys[m.hash] = recent
	}
}

// nextMove returns the move with the greatest gain from the busiest target to the least
// loaded one, and whether its gain is large enough.
func (p *Planner) nextMove(b *balance) (move, bool) {
	from, to := b.busiest(), b.leastLoaded()
	if from == to || from < 0 || to < 0 {
		return move{}, false
	}
	room := b.maxTransfer(from, to)
	var rowMove, splitMove move
	for i := range b.rows {
		r := &b.rows[i]
		if r.owner != from || r.load > room || p.inCooldown(r) {
			continue
		}
		if r.load > rowMove.load {
			rowMove = move{shard: r.shard, row: i, load: r.load, from: from, to: to, singleKey: r.singleKey, hash: r.hash}
		}
	}
	if b.singleKeys < maxSingleKeys {
		splitMove = p.nextSplit(b, from, to, room)
	}
	best := rowMove
	if splitMove.load > 0 && (splitMove.load > rowMove.load || !rowMove.singleKey && splitMove.load >= splitShare*rowMove.load) {
		best = splitMove
	}
	return best, best.load >= minGainShare*b.meanLoad
}

// inCooldown reports whether the row was moved or split off within the cooldown.
func (p *Planner) inCooldown(r *loadRow) bool {
	if _, ok := p.movedShards[r.shard]; ok {
		return true
	}
	_, ok := p.splitKeys[r.hash]
	return r.singleKey && ok
}

// nextSplit returns the split of the hottest key of from whose load is at most room.
func (p *Planner) nextSplit(b *balance, from, to int, room Load) move {
	var best move
	for _, k := range b.hotKeys {
		if b.rows[k.row].owner != from || k.load > room || k.load <= best.load {
			continue
		}
		if _, recent := p.splitKeys[k.hash]; recent {
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
	singleKey bool // the row is a single-key shard
	split     bool // the key hash is split off
	hash      key.Hash
}

func (m move) plannedMove(layout Layout) cell.PlannedMove {
	out := cell.PlannedMove{Shard: m.shard, To: layout.Targets[m.to].Target, Split: m.split}
	if m.split {
		out.HotKey = m.hash
	}
	return out
}

// noise returns the imbalance that may be due to chance, relative to the mean.
func (b *balance) noise() float64 {
	from := b.busiest()
	if from < 0 || b.targetRequests[from] <= 0 {
		return math.Inf(1)
	}
	return noiseDeviations / math.Sqrt(b.targetRequests[from])
}
