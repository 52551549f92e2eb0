package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const faultEvery = 100 * time.Millisecond

// scheduleFaults makes faults of all kinds, at the run's rate.
func (w *world) scheduleFaults() {
	if w.calm {
		return
	}
	var next func()
	next = func() {
		if w.calm {
			return
		}
		w.fault()
		w.after(faultEvery, next)
	}
	w.after(time.Second, next)
}

func (w *world) chance(p float64) bool { return w.r.Float64() < p }

func (w *world) fault() {
	w.evict()
	if w.chance(0.02 * w.faultRate) {
		w.loseHost()
	}
	if w.chance(0.02 * w.faultRate) {
		w.loseTarget()
	}
	w.sample()
	if w.chance(0.02 * w.faultRate) {
		w.cut()
	}
	if w.chance(0.03 * w.linkRate) {
		w.cutFromStore()
	}
	if w.chance(0.012 * w.storeRate) {
		w.up = !w.up
		w.tracef("store up %v", w.up)
	}
	if w.chance(0.004 * w.storeRate) {
		w.slow = !w.slow
		w.tracef("store slow %v", w.slow)
	}
	if w.chance(0.03) {
		w.plan()
	}
	if w.chance(0.02) {
		w.moveCustody()
	}
	if w.chance(0.01) {
		w.list()
	}
	if w.chance(0.002 * w.faultRate) {
		w.declare()
	}
	if w.chance(0.005) {
		w.drainOne()
	}
	if w.chance(0.004 * w.faultRate) {
		h := w.hosts[w.r.IntN(len(w.hosts))]
		w.handle(h, h.life, StopSeen{})
	}
}

func (w *world) span(choices ...int) time.Duration {
	return time.Duration(choices[w.r.IntN(len(choices))])*100*time.Millisecond + time.Duration(w.r.IntN(100))*time.Millisecond
}

func (w *world) loseHost() {
	h := w.hosts[w.r.IntN(len(w.hosts))]
	if w.chance(0.5) {
		w.pauseHost(h, w.span(5, 15, 30, 60, 100))
		return
	}
	w.crashHost(h, w.span(0, 5, 20, 60, 100))
}

func (w *world) pauseHost(h *hostNode, d time.Duration) {
	w.tracef("%s pauses for %v", h.name, d)
	h.paused = max(h.paused, w.now+d)
	life := h.life
	w.after(h.paused-w.now, func() {
		if h.life != life || w.now < h.paused {
			return
		}
		waiting := h.waiting
		h.waiting = nil
		if w.chance(0.5) {
			w.perform(h, h.cell.Tick(h.at(w.now)))
		}
		for i, do := range waiting {
			if w.now < h.paused {
				h.waiting = append(h.waiting, waiting[i:]...)
				return
			}
			do()
		}
	})
}

// declaredDown reports whether a node was declared lost or has not come back
// since: operators keep it down.
func (w *world) declaredDown(name string) bool { return w.now < w.down[name] }

func (w *world) crashHost(h *hostNode, d time.Duration) {
	if w.declaredDown(h.name) {
		return
	}
	w.tracef("%s crashes for %v", h.name, d)
	h.life++
	h.dead = true
	life := h.life
	w.after(d, func() {
		if h.life == life {
			h.paused = 0
			w.startHost(h)
		}
	})
}

func (w *world) loseTarget() {
	t := w.targets[w.r.IntN(len(w.targets))]
	if w.chance(0.5) {
		w.freeze(t, w.span(5, 15, 30, 60, 100))
		return
	}
	w.crashTarget(t, w.span(0, 5, 20, 60, 100))
}

func (w *world) freeze(t *targetNode, d time.Duration) {
	w.tracef("%s freezes for %v", t.name, d)
	t.paused = max(t.paused, w.now+d)
	life := t.life
	w.after(t.paused-w.now, func() {
		if t.life != life || w.now < t.paused {
			return
		}
		waiting := t.waiting
		t.waiting = nil
		for _, do := range waiting {
			do()
		}
	})
}

func (w *world) crashTarget(t *targetNode, d time.Duration) {
	if w.declaredDown(t.name) {
		return
	}
	w.tracef("%s crashes for %v", t.name, d)
	t.life++
	t.dead = true
	life := t.life
	w.after(d, func() {
		if t.life == life {
			t.paused = 0
			w.startTarget(t)
		}
	})
}

func (w *world) names() []string {
	names := make([]string, 0, 1+len(w.hosts)+len(w.targets))
	names = append(names, storeName)
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	for _, t := range w.targets {
		names = append(names, t.name)
	}
	return names
}

// cut splits the network in two, or cuts one link.
func (w *world) cut() {
	names := w.names()
	until := w.now + w.span(10, 30, 60, 120)
	if w.chance(0.5) {
		a, b := names[w.r.IntN(len(names))], names[w.r.IntN(len(names))]
		w.cuts[pair(a, b)] = until
		w.tracef("%s and %s are cut until %v", a, b, until)
		return
	}
	side := make(map[string]bool)
	for _, n := range names {
		side[n] = w.chance(0.5)
	}
	for i, a := range names {
		for _, b := range names[i+1:] {
			if side[a] != side[b] {
				w.cuts[pair(a, b)] = until
			}
		}
	}
	w.tracef("split %v until %v", side, until)
}

// cutFromStore cuts one host from the store, or ends all such cuts.
func (w *world) cutFromStore() {
	if w.chance(0.3) {
		for _, h := range w.hosts {
			delete(w.cuts, pair(h.name, storeName))
		}
		return
	}
	h := w.hosts[w.r.IntN(len(w.hosts))]
	w.cuts[pair(h.name, storeName)] = w.now + w.span(20, 60, 150)
	w.tracef("%s is cut from the store", h.name)
}

// list changes what the platform's list says, which need not be true.
func (w *world) list() {
	names := w.names()[1:]
	name := names[w.r.IntN(len(names))]
	w.unlisted[name] = !w.unlisted[name]
	w.leaving = nil
	if w.chance(0.3) {
		w.leaving = []place.Target{place.Target(w.targets[w.r.IntN(len(w.targets))].name)}
	}
	w.tracef("unlisted %v, leaving %v", w.unlisted, w.leaving)
	w.tellAll()
}

// declare declares a host or target lost while it is down. It comes back some
// time after the declaration was undone, as the operators' page asks for.
func (w *world) declare() {
	const undo, back = 8 * time.Second, 14 * time.Second
	w.stats.declared++
	l := Lost{By: "operator", Reason: "fire"}
	if w.chance(0.5) {
		h := w.hosts[w.r.IntN(len(w.hosts))]
		if w.declaredDown(h.name) {
			return
		}
		w.crashHost(h, back)
		w.down[h.name] = w.now + back
		l.Host = place.Host(h.name)
	} else {
		t := w.targets[w.r.IntN(len(w.targets))]
		if w.declaredDown(t.name) {
			return
		}
		w.crashTarget(t, back)
		w.down[t.name] = w.now + back
		l.Target = place.Target(t.name)
	}
	w.tracef("declared lost: %+v", l)
	w.lost = append(w.lost, l)
	w.tellAll()
	w.after(undo, func() {
		w.lost = slices.DeleteFunc(w.lost, func(o Lost) bool { return o == l })
		w.tellAll()
	})
}

// healTime is the quiet time at the end of a run.
const healTime = 30 * time.Second

// heal ends all faults. Pauses and crashes that have begun run out.
func (w *world) heal() {
	w.tracef("all faults end")
	w.calm, w.up, w.slow = true, true, false
	clear(w.cuts)
	clear(w.unlisted)
	w.drains, w.leaving, w.lost = nil, nil, nil
	w.tellAll()
}

// checkHealed reports shards in custody that the quiet time did not bring back.
func (w *world) checkHealed() {
	if w.failure != "" || w.unhealed {
		return
	}
	held := w.served()
	for _, r := range w.custody.Shards {
		if !held[r.Shard] {
			w.fail("shard %d is not served after %v without faults: %v", r.Shard, healTime, w.doc.Rows)
		}
	}
	if len(w.doc.Removed) > 0 {
		w.fail("removed hosts are not forgotten: %v", w.doc.Removed)
	}
}

// sample counts which shards in custody are held by a target that runs.
func (w *world) sample() {
	held := w.served()
	for _, r := range w.custody.Shards {
		w.stats.samples++
		if held[r.Shard] {
			w.stats.served++
		}
	}
}

// served returns the shards that are held by a target that runs.
func (w *world) served() map[key.Shard]bool {
	held := make(map[key.Shard]bool)
	for _, t := range w.targets {
		if t.dead || w.now < t.paused {
			continue
		}
		for _, h := range t.holds.List(t.reading(w.now)) {
			held[h.Shard] = true
		}
	}
	return held
}

// plan asks every host for a move or a cut, as placement would.
func (w *world) plan() {
	move := PlannedMove{
		Shard: key.Shard(w.r.IntN(int(worldShards))),
		To:    place.Target(w.targets[w.r.IntN(len(w.targets))].name),
	}
	if w.chance(0.2) {
		move.Cut = true
		move.Solo = key.Hash(uint64(move.Shard)<<62 | uint64(w.r.IntN(2)))
	} else if len(w.doc.Solos) > 0 && w.chance(0.4) {
		move.Shard = w.doc.Solos[w.r.IntN(len(w.doc.Solos))].Shard
		move.Join = w.chance(0.3)
	}
	for _, h := range w.hosts {
		w.handle(h, h.life, PlanSeen{Moves: []PlannedMove{move}})
	}
}

// moveCustody takes a shard away, or brings back one that was given up.
func (w *world) moveCustody() {
	shard := key.Shard(w.r.IntN(int(worldShards)))
	if floor, away := w.outside[shard]; away {
		if w.chance(0.8) {
			w.tracef("shard %d comes back", shard)
			delete(w.outside, shard)
			w.changeCustody(shard, floor+1, true)
		}
		return
	}
	for _, r := range w.custody.Shards {
		if r.Shard == shard && w.doc.rowOf(shard) >= 0 {
			w.tracef("shard %d is to go", shard)
			w.changeCustody(shard, 0, false)
			return
		}
	}
}

func (w *world) drainOne() {
	w.drains = nil
	if w.chance(0.5) {
		w.drains = []place.Target{place.Target(w.targets[w.r.IntN(len(w.targets))].name)}
	}
	w.tracef("drains %v", w.drains)
	w.tellAll()
}
