package placement

import (
	"time"

	"citrontray.example/citrontray/internal/key"
)

// balance is the load of a layout's targets, as moves are tried on it.
type balance struct {
	rows           []loadRow
	hotKeys        []hotKeyRow
	singleKeys     int
	weights        []float64
	targetLoads    []Load
	targetRequests []float64
	meanLoad       Load // of a target with weight 1
}

// loadRow is one shard or solo key.
type loadRow struct {
	shard     key.Shard
	owner     int
	load      Load
	singleKey bool
	hash      key.Hash
}

// hotKeyRow is one hot key that still is part of its shard.
type hotKeyRow struct {
	hash key.Hash
	row  int
	load Load
}

func newBalance(now time.Time, cfg Config, layout Layout, loads *Loads, w window) *balance {
	b := &balance{
		rows:           make([]loadRow, len(layout.Rows)),
		weights:        make([]float64, len(layout.Targets)),
		targetLoads:    make([]Load, len(layout.Targets)),
		targetRequests: make([]float64, len(layout.Targets)),
	}
	var weights float64
	for i, t := range layout.Targets {
		b.weights[i] = t.Weight
		weights += t.Weight
	}
	var total Load
	byShard := make(map[key.Shard]int, len(layout.Rows))
	alone := make(map[key.Hash]bool)
	for i, r := range layout.Rows {
		load, requests := loads.shardLoad(now, w, r.Shard)
		b.rows[i] = loadRow{shard: r.Shard, owner: r.Owner, load: load, singleKey: r.SingleKey, hash: r.Hash}
		b.targetLoads[r.Owner] += load
		b.targetRequests[r.Owner] += requests
		total += load
		if r.SingleKey {
			b.singleKeys++
			alone[r.Hash] = true
			continue
		}
		byShard[r.Shard] = i
	}
	if weights > 0 {
		b.meanLoad = total / Load(weights)
	}
	for _, h := range loads.hotKeys() {
		if i, ok := byShard[h.Shard(cfg.Shards)]; ok && !alone[h] {
			b.hotKeys = append(b.hotKeys, hotKeyRow{hash: h, row: i, load: min(loads.keyLoad(now, w, h), b.rows[i].load)})
		}
	}
	return b
}

// applyPending counts moves that were asked for lately as done.
func (b *balance) applyPending(now time.Time, p *Planner) {
	for i := range b.rows {
		r := &b.rows[i]
		if a, ok := p.movedShards[r.shard]; ok && now.Sub(a.at) < pendingTimeout {
			b.moveRow(r, a.to)
		}
		if a, ok := p.splitKeys[r.hash]; ok && r.singleKey && now.Sub(a.at) < pendingTimeout {
			b.moveRow(r, a.to)
		}
	}
	kept := b.hotKeys[:0]
	for _, k := range b.hotKeys {
		a, ok := p.splitKeys[k.hash]
		if !ok || now.Sub(a.at) >= pendingTimeout {
			kept = append(kept, k)
			continue
		}
		b.splitKey(k, a.to)
	}
	b.hotKeys = kept
}

func (b *balance) moveRow(r *loadRow, to int) {
	if to >= len(b.targetLoads) || r.owner == to {
		return
	}
	b.targetLoads[r.owner] -= r.load
	b.targetLoads[to] += r.load
	r.owner = to
}

// splitKey takes a key's load out of its shard.
func (b *balance) splitKey(k hotKeyRow, to int) {
	if to >= len(b.targetLoads) {
		return
	}
	r := &b.rows[k.row]
	r.load -= k.load
	b.targetLoads[r.owner] -= k.load
	b.targetLoads[to] += k.load
	b.singleKeys++
}

// apply carries out one move.
func (b *balance) apply(m move) {
	if !m.split {
		b.moveRow(&b.rows[m.row], m.to)
		return
	}
	for i, k := range b.hotKeys {
		if k.hash == m.hash {
			b.splitKey(k, m.to)
			b.hotKeys = append(b.hotKeys[:i], b.hotKeys[i+1:]...)
			return
		}
	}
}

// relativeLoad returns a target's load over its weight. A target that takes
// nothing new counts as fully loaded where it has any load.
func (b *balance) relativeLoad(i int) Load {
	if b.weights[i] <= 0 {
		return b.targetLoads[i]
	}
	return b.targetLoads[i] / Load(b.weights[i])
}

// busiest returns the index of the busiest target, -1 for none.
func (b *balance) busiest() int {
	best := -1
	for i := range b.targetLoads {
		if best < 0 || b.relativeLoad(i) > b.relativeLoad(best) {
			best = i
		}
	}
	return best
}

// leastLoaded returns the index of the least busy target that takes shards.
func (b *balance) leastLoaded() int {
	best := -1
	for i := range b.targetLoads {
		if b.weights[i] > 0 && (best < 0 || b.relativeLoad(i) < b.relativeLoad(best)) {
			best = i
		}
	}
	return best
}

// imbalance returns the busiest target's load over the mean.
func (b *balance) imbalance() float64 {
	i := b.busiest()
	if i < 0 || b.meanLoad <= 0 {
		return 1
	}
	return float64(b.relativeLoad(i) / b.meanLoad)
}

// leastLoadRatio returns the least busy target's load over the mean.
func (b *balance) leastLoadRatio() float64 {
	i := b.leastLoaded()
	if i < 0 || b.meanLoad <= 0 {
		return 1
	}
	return float64(b.relativeLoad(i) / b.meanLoad)
}

// maxTransfer returns the largest load that may go from one target to another: after
// the move the receiver must not be as busy as the giver was, and it should
// not end above the mean by more than the giver is left with.
func (b *balance) maxTransfer(from, to int) Load {
	if b.weights[from] <= 0 {
		return b.targetLoads[from]
	}
	wf, wt := Load(b.weights[from]), Load(b.weights[to])
	// Equal relative loads after the move, half as much again at most.
	equal := (b.targetLoads[from]*wt - b.targetLoads[to]*wf) / (wf + wt)
	const stretch = 1.5
	return equal * stretch
}
