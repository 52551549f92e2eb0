package placement

import (
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/table"
)

// initialWeight is the share of the usual load that a target takes at the start
// of its warm-up.
const initialWeight = 0.1

// Layout is which target has which shards, as the planner sees it.
type Layout struct {
	Targets []TargetRow
	Rows    []Row
}

// TargetRow is one target that may take shards.
type TargetRow struct {
	Target place.Target
	// Weight is the target's share of load against that of a warm one, above
	// 0; zero stands for a target that takes nothing new.
	Weight float64
}

// Row is one shard or solo key and the index of its owner in Layout.Targets.
type Row struct {
	Shard key.Shard
	Owner int
	// SingleKey tells that the row is a hot key of its own; Hash is that key.
	SingleKey bool
	Hash      key.Hash
}

// LayoutFromTable returns the layout of a cell's routing table at the time now.
// Targets that started less than warmUp ago take part of the usual load.
func LayoutFromTable(now time.Time, t *table.Table, warmUp time.Duration) Layout {
	var l Layout
	for _, target := range t.Targets {
		weight := WarmupWeight(now, target.WarmupStart, warmUp)
		if target.Leaving {
			weight = 0
		}
		l.Targets = append(l.Targets, TargetRow{Target: target.Name, Weight: weight})
	}
	solos := make(map[key.Shard]key.Hash, len(t.SingleKeys))
	for _, s := range t.SingleKeys {
		solos[s.Shard] = s.Hash
	}
	for _, r := range t.Rows {
		if int(r.Owner) >= len(l.Targets) {
			continue // nobody owns the shard now
		}
		hash, solo := solos[r.Shard]
		l.Rows = append(l.Rows, Row{Shard: r.Shard, Owner: int(r.Owner), SingleKey: solo, Hash: hash})
	}
	return l
}

// WarmupWeight returns the share of load of a target that started at since: it
// rises from a tenth to all of it over warmUp.
func WarmupWeight(now, since time.Time, warmUp time.Duration) float64 {
	age := now.Sub(since)
	if warmUp <= 0 || since.IsZero() || age >= warmUp {
		return 1
	}
	return initialWeight + (1-initialWeight)*float64(max(age, 0))/float64(warmUp)
}
