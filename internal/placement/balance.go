package placement

import (
	"time"

	"citrontray.example/citrontray/internal/key"
)

// balance is the load of a layout's targets, as moves are tried on it.
type balance struct {
	rows     []loadRow
	keys     []keyRow
	solos    int
	weights  []float64
	load     []Load
	requests []float64
	mean     Load // of a target with weight 1
}

// loadRow is one shard or solo key.
type loadRow struct {
	shard key.Shard
	owner int
	load  Load
	solo  bool
	hash  key.Hash
}

// keyRow is one hot key that still is part of its shard.
type keyRow struct {
	hash key.Hash
	row  int
	load Load
}

func newBalance(now time.Time, cfg Config, layout Layout, loads *Loads, w window) *balance {
	b := &balance{
		rows:     make([]loadRow, len(layout.Rows)),
		weights:  make([]float64, len(layout.Targets)),
		load:     make([]Load, len(layout.Targets)),
		requests: make([]float64, len(layout.Targets)),
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
		load, requests := loads.shard(now, w, r.Shard)
		b.rows[i] = loadRow{shard: r.Shard, owner: r.Owner, load: load, solo: r.Solo, hash: r.Hash}
		b.load[r.Owner] += load
		b.requests[r.Owner] += requests
		total += load
		if r.Solo {
			b.solos++
			alone[r.Hash] = true
			continue
		}
		byShard[r.Shard] = i
	}
	if weights > 0 {
		b.mean = total / Load(weights)
	}
	for _, h := range loads.hotKeys() {
		if i, ok := byShard[h.Shard(cfg.Shards)]; ok && !alone[h] {
			b.keys = append(b.keys, keyRow{hash: h, row: i, load: min(loads.key(now, w, h), b.rows[i].load)})
		}
	}
	return b
}

// assume counts moves that were asked for lately as done.
func (b *balance) assume(now time.Time, p *Planner) {
	for i := range b.rows {
		r := &b.rows[i]
		if a, ok := p.moved[r.shard]; ok && now.Sub(a.at) < pending {
			b.shift(r, a.to)
		}
		if a, ok := p.cut[r.hash]; ok && r.solo && now.Sub(a.at) < pending {
			b.shift(r, a.to)
		}
	}
	kept := b.keys[:0]
	for _, k := range b.keys {
		a, ok := p.cut[k.hash]
		if !ok || now.Sub(a.at) >= pending {
			kept = append(kept, k)
			continue
		}
		b.split(k, a.to)
	}
	b.keys = kept
}

func (b *balance) shift(r *loadRow, to int) {
	if to >= len(b.load) || r.owner == to {
		return
	}
	b.load[r.owner] -= r.load
	b.load[to] += r.load
	r.owner = to
}

// split takes a key's load out of its shard.
func (b *balance) split(k keyRow, to int) {
	if to >= len(b.load) {
		return
	}
	r := &b.rows[k.row]
	r.load -= k.load
	b.load[r.owner] -= k.load
	b.load[to] += k.load
	b.solos++
}

// apply carries out one move.
func (b *balance) apply(m move) {
	if !m.cut {
		b.shift(&b.rows[m.row], m.to)
		return
	}
	for i, k := range b.keys {
		if k.hash == m.hash {
			b.split(k, m.to)
			b.keys = append(b.keys[:i], b.keys[i+1:]...)
			return
		}
	}
}

// relative returns a target's load over its weight. A target that takes
// nothing new counts as fully loaded where it has any load.
func (b *balance) relative(i int) Load {
	if b.weights[i] <= 0 {
		return b.load[i]
	}
	return b.load[i] / Load(b.weights[i])
}

// busiest returns the index of the busiest target, -1 for none.
func (b *balance) busiest() int {
	best := -1
	for i := range b.load {
		if best < 0 || b.relative(i) > b.relative(best) {
			best = i
		}
	}
	return best
}

// coldest returns the index of the least busy target that takes shards.
func (b *balance) coldest() int {
	best := -1
	for i := range b.load {
		if b.weights[i] > 0 && (best < 0 || b.relative(i) < b.relative(best)) {
			best = i
		}
	}
	return best
}

// imbalance returns the busiest target's load over the mean.
func (b *balance) imbalance() float64 {
	i := b.busiest()
	if i < 0 || b.mean <= 0 {
		return 1
	}
	return float64(b.relative(i) / b.mean)
}

// idlest returns the least busy target's load over the mean.
func (b *balance) idlest() float64 {
	i := b.coldest()
	if i < 0 || b.mean <= 0 {
		return 1
	}
	return float64(b.relative(i) / b.mean)
}

// room returns the largest load that may go from one target to another: after
// the move the receiver must not be as busy as the giver was, and it should
// not end above the mean by more than the giver is left with.
func (b *balance) room(from, to int) Load {
	if b.weights[from] <= 0 {
		return b.load[from]
	}
	wf, wt := Load(b.weights[from]), Load(b.weights[to])
	// Equal relative loads after the move, half as much again at most.
	equal := (b.load[from]*wt - b.load[to]*wf) / (wf + wt)
	const stretch = 1.5
	return equal * stretch
}
