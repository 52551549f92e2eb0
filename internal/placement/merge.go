package placement

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/cell"
)

const (
	// keptSingleKeys is how many single keys of a cell are kept although they are cold,
	// as a key that was hot may become hot again.
	keptSingleKeys = maxSingleKeys / 2
	// maxMerges bounds the merges of one plan.
	maxMerges = 4
)

// merges returns the merges of cold single keys into their parent shards, the coldest
// first, to make room for the next hot keys. A key is cold if its load over the longest
// window is too small for a move. Each merge counts as a move, as the parent shard may
// have another owner.
func (p *Planner) merges(now time.Time, cfg Config, loads *Loads, b *balance) []cell.PlannedMove {
	if b.singleKeys <= keptSingleKeys {
		return nil
	}
	var cold []loadRow
	for _, r := range b.rows {
		r.load, _ = loads.shardLoad(now, windowCount-1, r.shard)
		if r.singleKey && !p.inCooldown(&r) && r.load < minGainShare*b.meanLoad {
			cold = append(cold, r)
		}
	}
	slices.SortFunc(cold, func(x, y loadRow) int {
		return cmp.Or(cmp.Compare(x.load, y.load), cmp.Compare(x.shard, y.shard))
	})
	out := make([]cell.PlannedMove, 0, maxMerges)
	for _, r := range cold[:min(len(cold), maxMerges, b.singleKeys-keptSingleKeys)] {
		if len(p.moveStarts) >= cfg.MovesPerMinute {
			break
		}
		p.moveStarts = append(p.moveStarts, now)
		p.movedShards[r.shard] = recentMove{at: now, to: r.owner}
		out = append(out, cell.PlannedMove{Shard: r.shard, Merge: true})
	}
	return out
}
