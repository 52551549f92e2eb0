package placement

import (
	"time"

	"citrontray.example/citrontray/internal/key"
)

// balance is the load of the targets of a layout, updated by the planned moves.
type balance struct {
	rows           []loadRow
	hotKeys        []hotKeyRow
	singleKeys     int
	weights        []float64
	targetLoads    []Load
	targetRequests []float64
	meanLoad       Load // of a target with weight 1
}

// loadRow is the load of a hash-range shard or single-key shard.
type loadRow struct {
	shard     key.Shard
	owner     int
	load      Load
	singleKey bool
	hash      key.Hash
}

// hotKeyRow is the load of a hot key that is still part of its shard.
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
	splitOff := make(map[key.Hash]bool)
	for i, r := range layout.Rows {
		load, requests := loads.shardLoad(now, w, r.Shard)
		b.rows[i] = loadRow{shard: r.Shard, owner: r.Owner, load: load, singleKey: r.SingleKey, hash: r.Hash}
		b.targetLoads[r.Owner] += load
		b.targetRequests[r.Owner] += requests
		total += load
		if r.SingleKey {
			b.singleKeys++
			splitOff[r.Hash] = true
			continue
		}
		byShard[r.Shard] = i
	}
	if weights > 0 {
		b.meanLoad = total / Load(weights)
	}
	for _, h := range loads.hotKeys() {
		if i, ok := byShard[h.Shard(cfg.Shards)]; ok && !splitOff[h] {
			b.hotKeys = append(b.hotKeys, hotKeyRow{hash: h, row: i, load: min(loads.keyLoad(now, w, h), b.rows[i].load)})
		}
	}
	return b
}

// applyPending applies the pending moves, which the layout does not show yet.
func (b *balance) applyPending(now time.Time, p *Planner) {
	for i := range b.rows {
		r := &b.rows[i]
		if m, ok := p.movedShards[r.shard]; ok && now.Sub(m.at) < pendingTimeout {
			b.moveRow(r, m.to)
		}
		if m, ok := p.splitKeys[r.hash]; ok && r.singleKey && now.Sub(m.at) < pendingTimeout {
			b.moveRow(r, m.to)
		}
	}
	kept := b.hotKeys[:0]
	for _, k := range b.hotKeys {
		m, ok := p.splitKeys[k.hash]
		if !ok || now.Sub(m.at) >= pendingTimeout {
			kept = append(kept, k)
			continue
		}
		b.splitKey(k, m.to)
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

// splitKey moves the load of a key from its shard's owner to another target.
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

// apply applies a planned move.
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

// relativeLoad returns a target's load divided by its weight. The load of a target that
// takes no new shards is taken as it is.
func (b *balance) relativeLoad(i int) Load {
	if b.weights[i] <= 0 {
		return b.targetLoads[i]
	}
	return b.targetLoads[i] / Load(b.weights[i])
}

// busiest returns the index of the target with the highest relative load, or -1.
func (b *balance) busiest() int {
	best := -1
	for i := range b.targetLoads {
		if best < 0 || b.relativeLoad(i) > b.relativeLoad(best) {
			best = i
		}
	}
	return best
}

// leastLoaded returns the index of the target with the lowest relative load among those
// that take new shards, or -1.
func (b *balance) leastLoaded() int {
	best := -1
	for i := range b.targetLoads {
		if b.weights[i] > 0 && (best < 0 || b.relativeLoad(i) < b.relativeLoad(best)) {
			best = i
		}
	}
	return best
}

// imbalance returns the relative load of the busiest target divided by the mean.
func (b *balance) imbalance() float64 {
	i := b.busiest()
	if i < 0 || b.meanLoad <= 0 {
		return 1
	}
	return float64(b.relativeLoad(i) / b.meanLoad)
}

// leastLoadRatio returns the relative load of the least loaded target divided by the
// mean.
func (b *balance) leastLoadRatio() float64 {
	i := b.leastLoaded()
	if i < 0 || b.meanLoad <= 0 {
		return 1
	}
	return float64(b.relativeLoad(i) / b.meanLoad)
}

// maxTransfer returns the largest load that one move may transfer from one target to
// another. It is above the load that would make them equal, so that also shards with
// much load can move, but at equal weights the receiving target ends up less loaded
// than the sending one was.
func (b *balance) maxTransfer(from, to int) Load {
	if b.weights[from] <= 0 {
		return b.targetLoads[from]
	}
	wf, wt := Load(b.weights[from]), Load(b.weights[to])
	// A transfer of this load would make the relative loads equal.
	equal := (b.targetLoads[from]*wt - b.targetLoads[to]*wf) / (wf + wt)
	const stretch = 1.5
	return equal * stretch
}
