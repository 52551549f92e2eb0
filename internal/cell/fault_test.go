package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const faultInterval = 100 * time.Millisecond

// scheduleFaults injects faults of all kinds, at the rates of the options.
func (w *sim) scheduleFaults() {
	if w.noFaults {
		return
	}
	var next func()
	next = func() {
		if w.noFaults {
			return
		}
		w.injectFault()
		w.after(faultInterval, next)
	}
	w.after(time.Second, next)
}

func (w *sim) chance(p float64) bool { return w.rng.Float64() < p }

func (w *sim) injectFault() {
	w.tryEvict()
	if w.chance(0.02 * w.faultRate) {
		w.failHost()
	}
	if w.chance(0.02 * w.faultRate) {
		w.failTarget()
	}
	w.sampleServed()
	if w.chance(0.02 * w.faultRate) {
		w.partitionNetwork()
	}
	if w.chance(0.03 * w.linkRate) {
		w.isolateFromStore()
	}
	if w.chance(0.012 * w.storeRate) {
		w.storeUp = !w.storeUp
		w.tracef("store up %v", w.storeUp)
	}
	if w.chance(0.004 * w.storeRate) {
		w.storeSlow = !w.storeSlow
		w.tracef("store slow %v", w.storeSlow)
	}
	if w.chance(0.03) {
		w.planMove()
	}
	if w.chance(0.02) {
		w.transferShard()
	}
	if w.chance(0.01) {
		w.changeLists()
	}
	if w.chance(0.002 * w.faultRate) {
		w.declareLoss()
	}
	if w.chance(0.005) {
		w.changeDrains()
	}
	if w.chance(0.004 * w.faultRate) {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		w.handle(h, h.incarnation, StopRequested{})
	}
}

func (w *sim) randomDuration(choices ...int) time.Duration {
	return time.Duration(choices[w.rng.IntN(len(choices))])*100*time.Millisecond + time.Duration(w.rng.IntN(100))*time.Millisecond
}

func (w *sim) failHost() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if w.chance(0.5) {
		w.pauseHost(h, w.randomDuration(5, 15, 30, 60, 100))
		return
	}
	w.crashHost(h, w.randomDuration(0, 5, 20, 60, 100))
}

func (w *sim) pauseHost(h *simHost, d time.Duration) {
	w.tracef("%s pauses for %v", h.name, d)
	h.pausedUntil = max(h.pausedUntil, w.now+d)
	inc := h.incarnation
	w.after(h.pausedUntil-w.now, func() {
		if h.incarnation != inc || w.now < h.pausedUntil {
			return
		}
		queued := h.deferred
		h.deferred = nil
		if w.chance(0.5) {
			w.perform(h, h.cell.Tick(h.at(w.now)))
		}
		for i, do := range queued {
			if w.now < h.pausedUntil {
				h.deferred = append(h.deferred, queued[i:]...)
				return
			}
			do()
		}
	})
}

// declaredDown reports whether a node is kept down because it is, or was lately,
// declared lost.
func (w *sim) declaredDown(name string) bool { return w.now < w.downUntil[name] }

func (w *sim) crashHost(h *simHost, d time.Duration) {
	if w.declaredDown(h.name) {
		return
	}
	w.tracef("%s crashes for %v", h.name, d)
	h.incarnation++
	h.down = true
	inc := h.incarnation
	w.after(d, func() {
		if h.incarnation == inc {
			h.pausedUntil = 0
			w.startHost(h)
		}
	})
}

func (w *sim) failTarget() {
	t := w.targets[w.rng.IntN(len(w.targets))]
	if w.chance(0.5) {
		w.freezeTarget(t, w.randomDuration(5, 15, 30, 60, 100))
		return
	}
	w.crashTarget(t, w.randomDuration(0, 5, 20, 60, 100))
}

func (w *sim) freezeTarget(t *simTarget, d time.Duration) {
	w.tracef("%s freezes for %v", t.name, d)
	t.pausedUntil = max(t.pausedUntil, w.now+d)
	inc := t.incarnation
	w.after(t.pausedUntil-w.now, func() {
		if t.incarnation != inc || w.now < t.pausedUntil {
			return
		}
		queued := t.deferred
		t.deferred = nil
		for _, do := range queued {
			do()
		}
	})
}

func (w *sim) crashTarget(t *simTarget, d time.Duration) {
	if w.declaredDown(t.name) {
		return
	}
	w.tracef("%s crashes for %v", t.name, d)
	t.incarnation++
	t.down = true
	inc := t.incarnation
	w.after(d, func() {
		if t.incarnation == inc {
			t.pausedUntil = 0
			w.startTarget(t)
		}
	})
}

func (w *sim) nodeNames() []string {
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

// partitionNetwork splits the network in two, or cuts one link.
func (w *sim) partitionNetwork() {
	names := w.nodeNames()
	until := w.now + w.randomDuration(10, 30, 60, 120)
	if w.chance(0.5) {
		a, b := names[w.rng.IntN(len(names))], names[w.rng.IntN(len(names))]
		w.cutUntil[linkKey(a, b)] = until
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
				w.cutUntil[linkKey(a, b)] = until
			}
		}
	}
	w.tracef("network is partitioned into %v until %v", side, until)
}

// isolateFromStore cuts the link of one host to the store, or restores all of them.
func (w *sim) isolateFromStore() {
	if w.chance(0.3) {
		for _, h := range w.hosts {
			delete(w.cutUntil, linkKey(h.name, storeName))
		}
		return
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	w.cutUntil[linkKey(h.name, storeName)] = w.now + w.randomDuration(20, 60, 150)
	w.tracef("%s is isolated from the store", h.name)
}

// changeLists changes the platform's lists at random, regardless of the actual state.
func (w *sim) changeLists() {
	names := w.nodeNames()[1:]
	name := names[w.rng.IntN(len(names))]
	w.unlisted[name] = !w.unlisted[name]
	w.leaving = nil
	if w.chance(0.3) {
		w.leaving = []place.Target{place.Target(w.targets[w.rng.IntN(len(w.targets))].name)}
	}
	w.tracef("unlisted %v, leaving %v", w.unlisted, w.leaving)
	w.sendListsToAll()
}

// declareLoss takes a host or target down and declares it lost. It starts again only
// some time after the declaration was removed, as operators have to make sure.
func (w *sim) declareLoss() {
	const declaredFor, downFor = 8 * time.Second, 14 * time.Second
	w.stats.declared++
	l := LossDeclaration{By: "operator", Reason: "fire"}
	if w.chance(0.5) {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		if w.declaredDown(h.name) {
			return
		}
		w.crashHost(h, downFor)
		w.downUntil[h.name] = w.now + downFor
		l.Host = place.Host(h.name)
	} else {
		t := w.targets[w.rng.IntN(len(w.targets))]
		if w.declaredDown(t.name) {
			return
		}
		w.crashTarget(t, downFor)
		w.downUntil[t.name] = w.now + downFor
		l.Target = place.Target(t.name)
	}
	w.tracef("loss declared: %+v", l)
	w.losses = append(w.losses, l)
	w.sendListsToAll()
	w.after(declaredFor, func() {
		w.losses = slices.DeleteFunc(w.losses, func(o LossDeclaration) bool { return o == l })
		w.sendListsToAll()
	})
}

// calmPhase is the duration of the phase without faults at the end of a run.
const calmPhase = 30 * time.Second

// endFaults starts the calm phase. Pauses and crashes that have begun still run to
// their end.
func (w *sim) endFaults() {
	w.tracef("all faults end")
	w.noFaults, w.storeUp, w.storeSlow = true, true, false
	clear(w.cutUntil)
	clear(w.unlisted)
	w.drains, w.leaving, w.losses = nil, nil, nil
	w.sendListsToAll()
}

// checkRecovered fails the run if a shard in custody has no owner after the calm
// phase, or a removed host is not forgotten.
func (w *sim) checkRecovered() {
	if w.failure != "" || w.skipRecoveryCheck {
		return
	}
	held := w.servedShards()
	for _, r := range w.custody.Shards {
		if !held[r.Shard] {
			w.failf("shard %d is not served after %v without faults: %v", r.Shard, calmPhase, w.doc.Rows)
		}
	}
	if len(w.doc.Removed) > 0 {
		w.failf("removed hosts are not forgotten: %v", w.doc.Removed)
	}
}

// sampleServed counts the shards in custody, and those of them that are held by a
// running target.
func (w *sim) sampleServed() {
	held := w.servedShards()
	for _, r := range w.custody.Shards {
		w.stats.samples++
		if held[r.Shard] {
			w.stats.served++
		}
	}
}

// servedShards returns the shards that are held by a running target.
func (w *sim) servedShards() map[key.Shard]bool {
	held := make(map[key.Shard]bool)
	for _, t := range w.targets {
		if t.down || w.now < t.pausedUntil {
			continue
		}
		for _, h := range t.holdings.List(t.clockStamp(w.now)) {
			held[h.Shard] = true
		}
	}
	return held
}

// planMove sends every host a random move, split or merge, as placement would.
func (w *sim) planMove() {
	move := PlannedMove{
		Shard: key.Shard(w.rng.IntN(int(simShards))),
		To:    place.Target(w.targets[w.rng.IntN(len(w.targets))].name),
	}
	if w.chance(0.2) {
		move.Split = true
		move.HotKey = key.Hash(uint64(move.Shard)<<62 | uint64(w.rng.IntN(2)))
	} else if len(w.doc.SingleKeys) > 0 && w.chance(0.4) {
		move.Shard = w.doc.SingleKeys[w.rng.IntN(len(w.doc.SingleKeys))].Shard
		move.Merge = w.chance(0.3)
	}
	for _, h := range w.hosts {
		w.handle(h, h.incarnation, PlanReceived{Moves: []PlannedMove{move}})
	}
}

// transferShard takes a shard out of the cell's custody, or returns a ceded one.
func (w *sim) transferShard() {
	shard := key.Shard(w.rng.IntN(int(simShards)))
	if floor, isCeded := w.ceded[shard]; isCeded {
		if w.chance(0.8) {
			w.tracef("shard %d returns to custody", shard)
			delete(w.ceded, shard)
			w.changeCustody(shard, floor+1, true)
		}
		return
	}
	for _, r := range w.custody.Shards {
		if r.Shard == shard && w.doc.rowIndex(shard) >= 0 {
			w.tracef("shard %d is taken out of custody", shard)
			w.changeCustody(shard, 0, false)
			return
		}
	}
}

func (w *sim) changeDrains() {
	w.drains = nil
	if w.chance(0.5) {
		w.drains = []place.Target{place.Target(w.targets[w.rng.IntN(len(w.targets))].name)}
	}
	w.tracef("drains %v", w.drains)
	w.sendListsToAll()
}
