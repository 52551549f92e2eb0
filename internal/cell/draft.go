package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// draft collects the changes of the document for one write.
type draft struct {
	doc       Doc
	changed   bool
	rowCounts []int // rows per target
}

func (c *Cell) newDraft() *draft {
	d := &draft{doc: c.doc.clone()}
	d.countRows()
	return d
}

func (d *draft) countRows() {
	d.rowCounts = make([]int, len(d.doc.Targets))
	for _, r := range d.doc.Rows {
		if r.Owner != NoTarget {
			d.rowCounts[r.Owner]++
		}
	}
}

// reassign gives a row a new owner and epoch, and records the move.
func (d *draft) reassign(c *Cell, i int, to TargetIndex, epoch grant.Epoch, e grant.Evidence) {
	r := &d.doc.Rows[i]
	d.doc.Moves = append(d.doc.Moves, Move{
		At: c.now, Shard: r.Shard, Epoch: epoch,
		From: d.targetName(r.Owner), To: d.targetName(to), Evidence: e,
	})
	if extra := len(d.doc.Moves) - maxMoveHistory; extra > 0 {
		d.doc.Moves = slices.Delete(d.doc.Moves, 0, extra)
	}
	d.adjustCounts(r.Owner, to)
	r.Owner, r.Epoch = to, epoch
	if to != NoTarget {
		d.doc.Targets[to].Incarnation = c.targets[to].incarnation
	}
	d.changed = true
}

func (d *draft) adjustCounts(from, to TargetIndex) {
	if from != NoTarget {
		d.rowCounts[from]--
	}
	if to != NoTarget {
		d.rowCounts[to]++
	}
}

func (d *draft) targetName(i TargetIndex) place.Target {
	if i == NoTarget {
		return ""
	}
	return d.doc.Targets[i].Target
}

// pickOwner returns the target with the highest rendezvous weight for a shard among
// those for which may is true and that own fewer than maxRows shards. If there is none,
// it returns the one of them that owns the fewest.
func (d *draft) pickOwner(shard key.Shard, may func(TargetIndex) bool) TargetIndex {
	best, fallback := NoTarget, NoTarget
	var weight uint64
	limit := d.maxRows(may)
	for i := range d.doc.Targets {
		t := TargetIndex(i)
		if !may(t) {
			continue
		}
		if fallback == NoTarget || d.rowCounts[t] < d.rowCounts[fallback] {
			fallback = t
		}
		w := shardWeight(shard, string(d.doc.Targets[i].Target))
		if d.rowCounts[t] < limit && (best == NoTarget || w > weight) {
			best, weight = t, w
		}
	}
	if best == NoTarget {
		return fallback
	}
	return best
}

// maxRows returns the largest number of rows that a target should own: an even share
// plus an eighth of it.
func (d *draft) maxRows(may func(TargetIndex) bool) int {
	n := 0
	for i := range d.doc.Targets {
		if may(TargetIndex(i)) {
			n++
		}
	}
	if n == 0 {
		return 0
	}
	share := len(d.doc.Rows)/n + 1
	return share + share/8
}

// pickStandby returns the target with the highest rendezvous weight among those for
// which may is true, other than the owner.
func (d *draft) pickStandby(shard key.Shard, owner TargetIndex, may func(TargetIndex) bool) TargetIndex {
	best := NoTarget
	var weight uint64
	for i := range d.doc.Targets {
		t := TargetIndex(i)
		if t == owner || !may(t) {
			continue
		}
		w := shardWeight(shard, string(d.doc.Targets[i].Target))
		if best == NoTarget || w > weight {
			best, weight = t, w
		}
	}
	return best
}

// insertRow inserts a row in the order of shards.
func (d *draft) insertRow(r Row) {
	i, _ := slices.BinarySearchFunc(d.doc.Rows, r.Shard, func(row Row, s key.Shard) int {
		return int(row.Shard) - int(s)
	})
	d.doc.Rows = slices.Insert(d.doc.Rows, i, r)
	d.adjustCounts(NoTarget, r.Owner)
	d.changed = true
}

// addTarget adds a target, at the index of a removed one if there is one.
func (d *draft) addTarget(t TargetDoc) TargetIndex {
	d.changed = true
	i := slices.IndexFunc(d.doc.Targets, func(t TargetDoc) bool { return t.Target == "" })
	if i < 0 {
		d.doc.Targets = append(d.doc.Targets, t)
		d.rowCounts = append(d.rowCounts, 0)
		return TargetIndex(len(d.doc.Targets) - 1)
	}
	d.doc.Targets[i] = t
	return TargetIndex(i)
}
