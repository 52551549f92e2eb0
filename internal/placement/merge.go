package placement

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/cell"
)

const (
	// keptSingleKeys is how many solo keys of a cell stay cut out although they
	// have cooled: a key that was hot once may be so again.
	keptSingleKeys = maxSingleKeys / 2
	// maxMerges bounds the solo keys of one plan that go back.
	maxMerges = 4
)

// merges returns the cold solo keys that go back into their shards, the coldest
// first, so that the next hot set finds room. A key is cold where its load by
// the longest window would not be worth a move. Each counts as a move: its
// parent shard may have another owner.
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
