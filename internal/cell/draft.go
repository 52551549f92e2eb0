package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// draft gathers the changes of one write.
type draft struct {
	doc     Doc
	changed bool
	counts  []int // rows per target
}

func (c *Cell) newDraft() *draft {
	d := &draft{doc: c.doc.clone()}
	d.count()
	return d
}

func (d *draft) count() {
	d.counts = make([]int, len(d.doc.Targets))
	for _, r := range d.doc.Rows {
		if r.Owner != NoTarget {
			d.counts[r.Owner]++
		}
	}
}

// reassign gives the row a new owner and epoch.
func (d *draft) reassign(c *Cell, i int, to TargetIndex, epoch grant.Epoch, e grant.Evidence) {
	r := &d.doc.Rows[i]
	d.doc.Moves = append(d.doc.Moves, Move{
		At: c.now, Shard: r.Shard, Epoch: epoch,
		From: d.name(r.Owner), To: d.name(to), Evidence: e,
	})
	if extra := len(d.doc.Moves) - maxMoves; extra > 0 {
		d.doc.Moves = slices.Delete(d.doc.Moves, 0, extra)
	}
	d.moveCount(r.Owner, to)
	r.Owner, r.Epoch = to, epoch
	if to != NoTarget {
		d.doc.Targets[to].Incarnation = c.targets[to].incarnation
	}
	d.changed = true
}

func (d *draft) moveCount(from, to TargetIndex) {
	if from != NoTarget {
		d.counts[from]--
	}
	if to != NoTarget {
		d.counts[to]++
	}
}

func (d *draft) name(i TargetIndex) place.Target {
	if i == NoTarget {
		return ""
	}
	return d.doc.Targets[i].Target
}

// pick returns the best target for a shard by rendezvous among those that
// may hold it, passing over those that already hold more than their part.
func (d *draft) pick(shard key.Shard, may func(TargetIndex) bool) TargetIndex {
	best, fallback := NoTarget, NoTarget
	var weight uint64
	limit := d.limit(may)
	for i := range d.doc.Targets {
		t := TargetIndex(i)
		if !may(t) {
			continue
		}
		if fallback == NoTarget || d.counts[t] < d.counts[fallback] {
			fallback = t
		}
		w := weighShard(shard, string(d.doc.Targets[i].Target))
		if d.counts[t] < limit && (best == NoTarget || w > weight) {
			best, weight = t, w
		}
	}
	if best == NoTarget {
		return fallback
	}
	return best
}

// limit bounds the rows of one target to its part and an eighth.
func (d *draft) limit(may func(TargetIndex) bool) int {
	n := 0
	for i := range d.doc.Targets {
		if may(TargetIndex(i)) {
			n++
		}
	}
	if n == 0 {
		return 0
	}
	part := len(d.doc.Rows)/n + 1
	return part + part/8
}

// standbyFor returns the second best target by rendezvous.
func (d *draft) standbyFor(shard key.Shard, owner TargetIndex, may func(TargetIndex) bool) TargetIndex {
	best := NoTarget
	var weight uint64
	for i := range d.doc.Targets {
		t := TargetIndex(i)
		if t == owner || !may(t) {
			continue
		}
		w := weighShard(shard, string(d.doc.Targets[i].Target))
		if best == NoTarget || w > weight {
			best, weight = t, w
		}
	}
	return best
}

// insert adds a row and keeps the order by shard.
func (d *draft) insert(r Row) {
	i, _ := slices.BinarySearchFunc(d.doc.Rows, r.Shard, func(have Row, s key.Shard) int {
		return int(have.Shard) - int(s)
	})
	d.doc.Rows = slices.Insert(d.doc.Rows, i, r)
	d.moveCount(NoTarget, r.Owner)
	d.changed = true
}

// addTarget puts a target into a free row of the table.
func (d *draft) addTarget(t TargetDoc) TargetIndex {
	d.changed = true
	i := slices.IndexFunc(d.doc.Targets, func(t TargetDoc) bool { return t.Target == "" })
	if i < 0 {
		d.doc.Targets = append(d.doc.Targets, t)
		d.counts = append(d.counts, 0)
		return TargetIndex(len(d.doc.Targets) - 1)
	}
	d.doc.Targets[i] = t
	return TargetIndex(i)
}
