package owner

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

type simHost struct {
	sim              *sim
	name             place.Host
	incarnation      place.Incarnation
	core             *Core
	down             bool
	frozen           time.Time // until then
	storeUnreachable bool
	isolated         bool // from the store, targets and hosts
	leaseEnd         time.Time
	campaignAt       time.Time
	campaigning      bool
	// stopping is true during a planned stop, resigning while the host resigns as
	// leader.
	stopping, resigning bool
	// priorMayRenew is true if leaders before the predecessor may still send orders.
	priorMayRenew bool
	// priorInTransit is true if orders of such leaders may be in transit.
	priorInTransit bool
	// cutOff is true while this host can't reach any target. yielding is true while it hands
	// over because of that.
	cutOff, yielding bool
	// unreachableTarget is a target that this host can't reach.
	unreachableTarget *simTarget
	leaderRev         platform.Revision
	// era is the latest that this host knows, leaderEra that of its leader entry,
	// firstEra that in which its incarnation began.
	era, leaderEra, firstEra platform.Era
	inFlight                 int
	predecessor              place.Host
	predecessorIncarnation   place.Incarnation
	predecessorSettled       bool
	// conns holds the connections for grants, each to one incarnation of a target.
	conns map[place.Target]simConn
	// tickedAt is when the last tick was, usableTargets the targets that could be given
	// ranges then.
	tickedAt      time.Time
	usableTargets map[place.Target]bool
}

type simConn struct {
	number      uint64
	incarnation place.Incarnation
	// used is true once an order on it had a response.
	used bool
}

// boot starts an incarnation of a host.
func (h *simHost) boot() {
	h.core = New(simConfig(h))
	h.inFlight, h.campaigning, h.leaseEnd, h.campaignAt = 0, false, time.Time{}, time.Time{}
	h.stopping, h.resigning, h.yielding = false, false, false
	h.era, h.firstEra = h.sim.store.era, h.sim.store.era
	h.conns = make(map[place.Target]simConn)
	h.sim.store.incarnations[h.name] = h.incarnation
}

func (h *simHost) alive(inc place.Incarnation) bool {
	return !h.down && h.incarnation == inc
}

// run calls f once the host is not frozen, unless its incarnation has ended by then.
func (h *simHost) run(inc place.Incarnation, f func()) {
	if !h.alive(inc) {
		return
	}
	if wait := h.frozen.Sub(h.sim.now); wait > 0 {
		h.sim.after(wait, func() { h.run(inc, f) })
		return
	}
	f()
}

func (h *simHost) tick() {
	inc := h.incarnation
	h.run(inc, func() {
		h.step()
		h.apply(h.core.Tick(h.sim.now))
		h.checkStranded()
		h.tickedAt = h.sim.now
		h.usableTargets = make(map[place.Target]bool)
		for name := range h.core.targetRows {
			h.usableTargets[name] = h.core.usable(h.sim.now, name)
		}
	})
	h.sim.after(h.sim.randomDuration(15*time.Millisecond, 25*time.Millisecond), h.tick)
}

// checkStranded looks for released ranges without an owner at the end of the lease:
// they would have none until the store outage ends.
func (h *simHost) checkStranded() {
	const steady = 50 * time.Millisecond // longest time between two ticks of a host that is not frozen
	c, now := h.core, h.sim.now
	ends := c.Leading() && h.tickedAt.Before(c.leaseEnd) && !now.Before(c.leaseEnd)
	if now.Sub(c.writeRefusedAt) <= steady {
		return // a write was in flight until now: seeds 2001522, 2081334
	}
	if !ends || now.Sub(h.tickedAt) > steady || c.stopping || c.pending != nil || h.sim.violation != "" {
		return
	}
	for _, r := range c.rows {
		// A target that responds again only after the last tick can't get its ranges
		// back: seed 4026914.
		if r.state == free && r.released && c.usable(now, r.Target) && h.usableTargets[r.Target] && now.Sub(r.since) > reclaimMargin {
			h.sim.violation = fmt.Sprintf("%s has released %v and can't record a new owner at %.3f s", h.name, r.Range, now.Sub(h.sim.start).Seconds())
		}
	}
}

func (h *simHost) reachesStore() bool { return !h.storeUnreachable && !h.isolated && !h.sim.store.down }

// step does one round of a host's work: it follows the store, and passes a leading core
// its lease, targets and load.
func (h *simHost) step() {
	w := h.sim
	if h.reachesStore() {
		h.followStore()
	}
	if !h.core.Leading() {
		h.yielding = false
		return
	}
	h.core.ExtendLease(h.leaseEnd)
	h.core.SetTargets(w.now, w.store.listed) // a stale list will do
	if w.chance(0.02) {
		load := w.randomLoad()
		h.core.SetLoad(load, nil, nil)
	}
	if w.hasLimits() {
		h.core.SetLimited(w.limitedTargets())
	}
	h.askPredecessor()
	h.resign()
}

// resign ends leadership in a planned stop, or while the targets are out of reach, as soon as
// the store accepts it.
func (h *simHost) resign() {
	w, inc, leaderRev := h.sim, h.incarnation, h.leaderRev
	h.yielding = h.yielding || h.core.Unreached() && h.core.LeaseFresh(w.now) && w.othersReach(h)
	if !h.stopping && !h.yielding || h.resigning {
		return
	}
	if !h.core.LeaseFresh(w.now) {
		h.core.Resume()
		return
	}
	h.core.Stop()
	if !h.core.Idle() {
		return
	}
	h.resigning = true
	doc, expect := h.core.FinalDoc(w.now), h.core.Revision()
	w.after(w.randomDuration(2*time.Millisecond, 20*time.Millisecond)+w.store.slow, func() {
		s := &w.store
		unreachable := !h.reachesStore()
		if !unreachable && s.revision == expect && s.leaderRev == leaderRev && w.now.Before(s.leaderSessionEnd) {
			w.tracef("%s resigns from term %d", h.name, doc.Term)
			w.takeSnapshot()
			s.doc, s.revision, s.leader, s.leaderSessionEnd = doc, s.revision+1, "", w.now
		}
		w.after(w.randomDuration(2*time.Millisecond, 20*time.Millisecond), func() {
			h.run(inc, func() {
				if unreachable { // certainly not carried out
					h.resigning = false
					h.core.Resume()
					return
				}
				h.resigning, h.campaignAt = false, w.now.Add(1500*time.Millisecond)
				h.core.StepDown()
			})
		})
	})
}

// othersReach reports whether a host that can't reach the targets finds another one that can.
func (w *sim) othersReach(h *simHost) bool {
	return h.cutOff && !h.isolated && slices.ContainsFunc(w.hosts, func(o *simHost) bool {
		return !o.cutOff && !o.isolated && !o.down && !o.stopping && !w.now.Before(o.frozen)
	})
}

func (w *sim) randomLoad() *partition.Load {
	m := &partition.Meter{}
	m.Decay(w.now)
	for range 6 {
		m.Add(w.now, key.Point(w.rng.IntN(key.Points)), 40)
	}
	l := &partition.Load{}
	m.Load(w.now, l, 100*time.Millisecond)
	return l
}

// followStore reads the store: the leader entry, this host's session, whether to
// campaign.
func (h *simHost) followStore() {
	w, s := h.sim, &h.sim.store
	h.era = s.era
	if s.era > h.core.Term().Era() {
		h.core.StoreRestored(w.now, h.core.Term())
	}
	held := s.leader != "" && w.now.Before(s.leaderSessionEnd) && s.leaderEra == s.era
	mine := held && s.leader == h.name && s.leaderIncarnation == h.incarnation
	if mine {
		sent := w.now
		if w.chance(0.3) {
			s.leaderSessionEnd = w.now.Add(simConfig(h).LeaseTTL)
			h.leaseEnd = sent.Add(simConfig(h).LeaseTTL)
		}
		if !h.core.Leading() && !h.campaigning && !h.stopping {
			h.campaign()
		}
		return
	}
	later := s.leaderEra > h.leaderEra || s.leaderEra == h.leaderEra && s.leaderRev > h.leaderRev
	if held && h.core.Leading() && later {
		h.core.StepDown()
	}
	if held {
		h.campaignAt = time.Time{}
		return
	}
	if h.resigning {
		return // it leads until it knows the outcome
	}
	if h.core.TermLost() && !h.campaigning && !h.stopping {
		h.campaign() // other hosts wait before they campaign
		return
	}
	if h.campaignAt.IsZero() {
		h.campaignAt = w.now.Add(w.randomDuration(0, 400*time.Millisecond))
		if h.cutOff {
			h.campaignAt = h.campaignAt.Add(1500 * time.Millisecond)
		}
	}
	if w.now.After(h.campaignAt) && !h.campaigning && !h.stopping {
		h.campaign()
	}
}

func (h *simHost) campaign() {
	w, inc := h.sim, h.incarnation
	h.campaigning = true
	base, era := w.store.revision, w.store.era
	doc := w.store.doc
	sent := w.now
	stopped := doc.Leader == "" || doc.Leader == h.name && doc.LeaderIncarnation == h.incarnation
	crashed := !stopped && w.store.incarnations[doc.Leader] != doc.LeaderIncarnation
	h.predecessor, h.predecessorIncarnation, h.predecessorSettled = doc.Leader, doc.LeaderIncarnation, stopped || crashed
	h.priorMayRenew, h.priorInTransit = doc.PriorMayRenew, doc.PriorInTransit || crashed
	prior := PriorUnknown
	switch {
	case h.priorInTransit && !w.guardDisabled(breakInTransit):
		prior = PriorInTransit
	case h.predecessorSettled && !doc.PriorMayRenew:
		prior = PriorEnded
	}
	next := doc
	if doc.HistoryLost(era, h.incarnation == 1 && h.firstEra == era) && !w.guardDisabled(breakHistoryLost) {
		prior = PriorLost
		next.AfterRestore = true
		if h.core.Leading() {
			next.Rows = h.core.Doc(w.now).Rows
			next.Term = max(next.Term, h.core.Term())
		}
	}
	next.PriorMayRenew = !h.predecessorSettled || h.priorMayRenew || prior == PriorLost
	next.PriorInTransit = prior == PriorInTransit
	next.Term = next.Term.Next(era)
	if w.guardDisabled(breakEraTerms) {
		next.Term = doc.Term + 1
	}
	next.Leader, next.LeaderIncarnation, next.WriteID = h.name, h.incarnation, w.rng.Uint64()
	w.after(w.randomDuration(2*time.Millisecond, 60*time.Millisecond)+w.store.slow, func() {
		s := &w.store
		held := s.leader != "" && w.now.Before(s.leaderSessionEnd) && s.leaderEra == s.era
		mine := s.leader == h.name && s.leaderIncarnation == h.incarnation
		ok := h.reachesStore() && s.revision == base && (!held || mine)
		if ok {
			w.takeSnapshot()
			s.doc, s.revision = next, s.revision+1
			s.leader, s.leaderIncarnation, s.leaderRev, s.leaderEra = h.name, h.incarnation, s.revision, era
			s.leaderSessionEnd = w.now.Add(simConfig(h).LeaseTTL)
		}
		revision := s.revision
		ok = ok && s.era == era
		w.after(w.randomDuration(2*time.Millisecond, 20*time.Millisecond), func() {
			h.run(inc, func() {
				h.campaigning = false
				if !ok {
					return
				}
				h.leaderRev, h.leaderEra = revision, era
				h.leaseEnd = sent.Add(simConfig(h).LeaseTTL)
				w.tracef("%s becomes leader of term %d prior %d", h.name, next.Term, prior)
				h.core.BeginTerm(w.now, next, revision, h.leaseEnd, prior)
				if w.guardDisabled(breakFreeze) {
					h.core.frozenUntil = time.Time{}
				}
			})
		})
	})
}

// askPredecessor asks the predecessor whether it has stopped.
func (h *simHost) askPredecessor() {
	if h.predecessorSettled || !h.sim.chance(0.1) {
		return
	}
	for _, o := range h.sim.hosts {
		if o.name != h.predecessor || o.down || o.isolated || h.isolated || h.sim.now.Before(o.frozen) {
			continue
		}
		if o.incarnation != h.predecessorIncarnation {
			h.predecessorCrashed()
			return
		}
		if o.core.Leading() && o.core.Term() < h.core.Term() {
			o.core.StepDown()
		}
		if !o.core.Leading() && o.inFlight == 0 {
			h.predecessorEnded()
		}
	}
}

func (h *simHost) predecessorEnded() {
	h.predecessorSettled = true
	if !h.priorMayRenew && !h.priorInTransit {
		h.core.PriorEnded(h.sim.now)
	}
}

func (h *simHost) predecessorCrashed() {
	if h.sim.guardDisabled(breakInTransit) {
		h.predecessorEnded()
		return
	}
	h.predecessorSettled, h.priorInTransit = true, true
	h.core.PriorInTransit(h.sim.now, h.priorMayRenew)
}

func (h *simHost) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendGrants:
			h.sendGrants(e)
		case SendRelease:
			h.sendRelease(e)
		case WriteDoc:
			h.write(&simWrite{WriteDoc: e, sim: h.sim, era: h.leaderEra}, h.incarnation, h.leaderRev)
		case RenewLease: // followStore renews it within moments
		case Publish:
		case Note:
			h.sim.tracef("%s %s %s %s>%s fencing token %d", h.name, e.Text, e.Range, e.From, e.To, e.Fence)
		}
	}
}

func (w *sim) targetAt(addr netip.AddrPort) *simTarget {
	for _, t := range w.targets {
		if t.row.Addr == addr {
			return t
		}
	}
	return nil
}

// reaches reports whether the network connects a host with a target.
func (h *simHost) reaches(t *simTarget) bool {
	return !t.unreachable && !h.isolated && !h.cutOff && h.unreachableTarget != t
}

// order sends an order to a target, on a new connection or one that is open already, and its
// response back. The order arrives in time, or its connection is reset and it never arrives,
// unless the host ends before it resets the connection: see hold. An order that has arrived
// may be carried out late and never answered.
func (h *simHost) order(addr netip.AddrPort, open bool, apply func(t *simTarget, arrived time.Time) error, done func(error)) {
	w, inc := h.sim, h.incarnation
	bound := simConfig(h).OrderTimeout
	t := w.targetAt(addr)
	if open && t != nil && t.up && !h.reaches(t) && w.hasHeldOrders() {
		h.hold(t, apply)
		w.after(bound, func() { h.run(inc, func() { done(target.ErrUnanswered) }) })
		return
	}
	if t == nil || !t.up || !h.reaches(t) {
		wait := w.randomDuration(time.Millisecond, bound)
		w.after(wait, func() { h.run(inc, func() { done(target.ErrNotSent) }) })
		return
	}
	targetInc := t.row.Incarnation
	w.after(w.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
		if !t.up || t.row.Incarnation != targetInc || !h.reaches(t) {
			h.hold(t, apply)
			w.after(bound, func() { h.run(inc, func() { done(target.ErrUnanswered) }) })
			return
		}
		if t.appliesLate && w.chance(0.5) {
			arrived := w.now
			w.after(w.randomDuration(time.Second, 12*time.Second), func() {
				if t.up && t.row.Incarnation == targetInc {
					_ = apply(t, arrived)
				}
			})
			w.after(bound, func() { h.run(inc, func() { done(target.ErrUnanswered) }) })
			return
		}
		err := apply(t, w.now)
		lost := w.now.Before(w.start.Add(faultPhase)) && w.chance(0.02)
		back := w.randomDuration(time.Millisecond, 30*time.Millisecond)
		if lost {
			back, err = bound, target.ErrUnanswered
		}
		w.after(back, func() { h.run(inc, func() { done(err) }) })
	})
}

// hold keeps an order that can't reach its target. It is delivered after the partition, at a
// retransmission, if the process has ended meanwhile: nothing resets its connection then.
func (h *simHost) hold(t *simTarget, apply func(t *simTarget, arrived time.Time) error) {
	w, inc, targetInc := h.sim, h.incarnation, t.row.Incarnation
	if !w.hasHeldOrders() {
		return
	}
	var retransmit func()
	retransmit = func() {
		switch {
		case h.alive(inc), !t.up, t.row.Incarnation != targetInc:
		case !h.reaches(t):
			w.after(w.randomDuration(100*time.Millisecond, 6*time.Second), retransmit)
		default:
			w.tracef("%s gets an order that an ended process of %s has sent", t.row.Target, h.name)
			_ = apply(t, w.now)
		}
	}
	w.after(simConfig(h).OrderTimeout, retransmit)
}

func (h *simHost) sendGrants(e SendGrants) {
	inc := h.incarnation
	results := make([]error, len(e.Grants))
	for i := range results {
		results[i] = target.ErrNotSent
	}
	h.inFlight++
	if conn := h.conns[e.Target]; conn.number != e.Conn {
		conn = simConn{number: e.Conn}
		if t := h.sim.targetAt(e.Addr); t != nil {
			conn.incarnation = t.row.Incarnation
		}
		h.conns[e.Target] = conn
	}
	var next func(i int)
	next = func(i int) {
		if i == len(e.Grants) || i > 0 && results[i-1] != nil {
			h.inFlight--
			h.core.Granted(h.sim.now, e, results)
			h.probe(e.Probe, e.Target, e.Addr)
			return
		}
		h.order(e.Addr, h.conns[e.Target].used, func(t *simTarget, arrived time.Time) error {
			if t.row.Incarnation != h.conns[e.Target].incarnation {
				return target.ErrNotSent // the connection ended with the incarnation
			}
			if t.row.Target != e.Target {
				return target.ErrMisdirected
			}
			return t.grant(e.Grants[i], arrived)
		}, func(err error) {
			if conn := h.conns[e.Target]; err == nil && conn.number == e.Conn {
				conn.used = true
				h.conns[e.Target] = conn
			}
			results[i] = err
			next(i + 1)
		})
	}
	// The process may freeze between the decision and the sending.
	h.sim.after(h.sim.randomDuration(0, 2*time.Millisecond), func() { h.run(inc, func() { next(0) }) })
}

// probe tells the core of a target that has ended: its address refuses connections.
func (h *simHost) probe(wanted bool, name place.Target, addr netip.AddrPort) {
	if t := h.sim.targetAt(addr); wanted && t != nil && !t.up && h.reaches(t) {
		h.core.TargetEnded(h.sim.now, name, addr)
	}
}

func (h *simHost) sendRelease(e SendRelease) {
	h.inFlight++
	h.order(e.Addr, false, func(t *simTarget, _ time.Time) error {
		if t.row.Target != e.Target {
			return target.ErrMisdirected
		}
		t.release(e.Release)
		return nil
	}, func(err error) {
		h.inFlight--
		h.core.Released(h.sim.now, e, "token", err)
		h.probe(e.Probe, e.Target, e.Addr)
	})
}

// simWrite is a write in flight; sent is true if the store may have received it.
type simWrite struct {
	WriteDoc

	sim *sim
	// era is that of the leader that writes.
	era  platform.Era
	sent bool
}

// commit carries out the write if its conditions hold.
func (e *simWrite) commit(leaderRev platform.Revision) bool {
	w, s := e.sim, &e.sim.store
	if s.revision != e.Expect || s.leaderRev != leaderRev || !w.now.Before(s.leaderSessionEnd) {
		return false
	}
	w.takeSnapshot()
	s.doc, s.revision = e.Doc, s.revision+1
	w.moves++
	return true
}

// write sends the document to the store until it is known whether it is stored.
func (h *simHost) write(e *simWrite, inc place.Incarnation, leaderRev platform.Revision) {
	w := h.sim
	w.after(w.randomDuration(2*time.Millisecond, 20*time.Millisecond)+w.store.slow, func() {
		s := &w.store
		if !h.reachesStore() {
			refused := w.hasNewFaults() && !e.sent && w.chance(0.5)
			w.after(100*time.Millisecond, func() {
				h.run(inc, func() {
					if refused {
						h.core.NotWritten(w.now, e.WriteDoc)
						return
					}
					h.write(e, inc, leaderRev)
				})
			})
			return
		}
		e.sent = true
		stored := s.doc.WriteID == e.Doc.WriteID
		if !stored && e.commit(leaderRev) {
			stored = true
		}
		if s.losesResponses && w.chance(0.4) {
			w.after(100*time.Millisecond, func() { h.run(inc, func() { h.write(e, inc, leaderRev) }) })
			return
		}
		revision, era := s.revision, s.era
		if w.hasNewFaults() && w.chance(0.02) {
			// A delayed duplicate of the write takes effect late, if it still may.
			w.after(w.randomDuration(time.Second, 6*time.Second), func() { e.commit(leaderRev) })
		}
		w.after(w.randomDuration(2*time.Millisecond, 20*time.Millisecond), func() {
			h.run(inc, func() {
				if era != e.era {
					h.era = max(h.era, era)
					h.core.StoreRestored(w.now, e.Doc.Term)
					return
				}
				if stored {
					h.core.Written(w.now, e.WriteDoc, revision)
					return
				}
				h.core.WriteConflict(e.WriteDoc)
			})
		})
	})
}
