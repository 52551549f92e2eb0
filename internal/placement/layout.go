package placement

import (
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/table"
)

// initialWeight is the weight of a target at the start of its warm-up.
const initialWeight = 0.1

// Layout is the assignment of shards to targets.
type Layout struct {
	Targets []TargetRow
	Rows    []Row
}

// TargetRow is a target and its weight.
type TargetRow struct {
	Target place.Target
	// Weight is the load that the target should get relative to a warm one. Zero means
	// that it takes no new shards.
	Weight float64
}

// Row is a shard and the index of its owner in Layout.Targets.
type Row struct {
	Shard key.Shard
	Owner int
	// SingleKey is true for a single-key shard, whose key is Hash.
	SingleKey bool
	Hash      key.Hash
}

// LayoutFromTable returns the layout of a cell by its routing table. Targets whose
// warm-up started less than warmUp ago have a reduced weight.
func LayoutFromTable(now time.Time, t *table.Table, warmUp time.Duration) Layout {
	var l Layout
	for _, target := range t.Targets {
		weight := WarmupWeight(now, target.WarmupStart, warmUp)
		if target.Leaving {
			weight = 0
		}
		l.Targets = append(l.Targets, TargetRow{Target: target.Name, Weight: weight})
	}
	hashes := make(map[key.Shard]key.Hash, len(t.SingleKeys))
	for _, s := range t.SingleKeys {
		hashes[s.Shard] = s.Hash
	}
	for _, r := range t.Rows {
		if int(r.Owner) >= len(l.Targets) {
			continue // the shard has no owner now
		}
		hash, isSingle := hashes[r.Shard]
		l.Rows = append(l.Rows, Row{Shard: r.Shard, Owner: int(r.Owner), SingleKey: isSingle, Hash: hash})
	}
	return l
}

// WarmupWeight returns the weight of a target whose warm-up started at since. It rises
// linearly from initialWeight to 1 over warmUp.
func WarmupWeight(now, since time.Time, warmUp time.Duration) float64 {
	age := now.Sub(since)
	if warmUp <= 0 || since.IsZero() || age >= warmUp {
		return 1
	}
	return initialWeight + (1-initialWeight)*float64(max(age, 0))/float64(warmUp)
}
