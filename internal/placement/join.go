package placement

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/cell"
)

const (
	// keptSolos is how many solo keys of a cell stay cut out although they
	// have cooled: a key that was hot once may be so again.
	keptSolos = maxSolos / 2
	// maxJoins bounds the solo keys of one plan that go back.
	maxJoins = 4
)

// joins returns the cold solo keys that go back into their shards, the coldest
// first, so that the next hot set finds room. A key is cold where its load by
// the longest window would not be worth a move. Each counts as a move: its
// parent shard may have another owner.
func (p *Planner) joins(now time.Time, cfg Config, loads *Loads, b *balance) []cell.PlannedMove {
	if b.solos <= keptSolos {
		return nil
	}
	var cold []loadRow
	for _, r := range b.rows {
		r.load, _ = loads.shard(now, windows-1, r.shard)
		if r.solo && !p.cooling(&r) && r.load < leastGain*b.mean {
			cold = append(cold, r)
		}
	}
	slices.SortFunc(cold, func(x, y loadRow) int {
		return cmp.Or(cmp.Compare(x.load, y.load), cmp.Compare(x.shard, y.shard))
	})
	out := make([]cell.PlannedMove, 0, maxJoins)
	for _, r := range cold[:min(len(cold), maxJoins, b.solos-keptSolos)] {
		if len(p.starts) >= cfg.MovesPerMinute {
			break
		}
		p.starts = append(p.starts, now)
		p.moved[r.shard] = ask{at: now, to: r.owner}
		out = append(out, cell.PlannedMove{Shard: r.shard, Join: true})
	}
	return out
}
