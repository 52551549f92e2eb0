package host

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/platform"
)

// relayedAge is how recently a target must have served a request through another host to
// show that other hosts reach the targets.
const relayedAge = time.Second

// cutOff reports whether this host does not reach the targets that it leads, while other
// hosts do. Only failed orders show that: while one zone is partitioned from all hosts, a few
// requests in a row may fail although most targets are reachable, and a handover then delays
// new owners for the zone's ranges until the orders without a response can't arrive any more.
func (c *controller) cutOff(now time.Time) bool {
	return now.Sub(c.host.relayer.lastServed(c.service)) < relayedAge && c.core.Unreached()
}

// resignIfDue hands leadership over when this host stops, or does not reach the targets.
// During a store outage no other host can take over, so this host keeps renewing grants
// until the outage ends.
func (c *controller) resignIfDue(ctx context.Context, now time.Time) {
	if c.resigning {
		return
	}
	if !c.core.Leading() {
		c.yielding = false
		return
	}
	if !c.host.stopping.Load() && !c.yielding {
		if !c.cutOff(now) || !c.core.LeaseFresh(now) {
			return
		}
		c.log.Warn("No path to the targets, handing leadership over.", slog.Uint64("term", uint64(c.core.Term())))
		c.yielding = true
		c.orders.reset() // ends the orders in flight
	}
	if !c.core.LeaseFresh(now) {
		c.core.Resume()
		return
	}
	c.core.Stop()
	if !c.core.Idle() {
		return
	}
	c.resigning = true
	t := &resignation{controller: c, doc: c.core.FinalDoc(now), expect: c.core.Revision(), leaderRevision: c.leaderRevision}
	c.tasks.Add(1)
	go t.run(ctx)
}

// resignation is one attempt to hand leadership over. The document that it writes names
// no leader, so the next leader knows that this host sends no more orders.
type resignation struct {
	*controller

	doc            owner.Doc
	expect         platform.Revision
	leaderRevision platform.Revision
}

// run runs the resignation and posts its outcome.
func (t *resignation) run(ctx context.Context) {
	defer t.tasks.Done()
	err := t.resign(ctx)
	t.post(func(now time.Time) bool {
		if t.yielding {
			t.yielding, t.pausedUntil = false, now.Add(cutOffDelay)
		}
		switch {
		case err == nil:
			t.log.Info("Leadership handed over.", slog.Uint64("term", uint64(t.core.Term())))
			t.notifyCandidates(t.host.views.view(), noticeStopped)
			t.core.StepDown()
		case errors.Is(err, platform.ErrUnavailable):
			// Certainly not committed: this host keeps leading until the outage ends.
			t.log.Warn("Leadership not handed over, renewing grants meanwhile.", slog.Any("error", err))
			t.resigning = false
			t.core.Resume()
		case errors.Is(err, platform.ErrRestored):
			// The write was refused or went to a store state that is gone.
			t.log.Warn("Leadership not handed over, renewing grants meanwhile.", slog.Any("error", err))
			t.resigning = false
			t.core.Resume()
			t.core.StoreRestored(now, t.doc.Term)
		default:
			// The next leader may rely on the document already, so send nothing more.
			t.log.Warn("Stepped down without a confirmed handover.", slog.Any("error", err))
			t.core.StepDown()
		}
		return true
	})
}

func (t *resignation) resign(ctx context.Context) error {
	value, err := t.doc.Encode()
	if err != nil {
		return err
	}
	txn := docTxn(t.service, value, t.expect, t.leaderRevision)
	txn.Remove = []platform.Path{member.LeaderPath(t.service)}
	_, err = commitUntilKnown(ctx, t.log, t.host.env.Store, txn, rangesPath(t.service), t.doc.WriteID)
	return err
}

// awaitSuccessors waits until this host leads no service or ctx ends.
func (h *Host) awaitSuccessors(ctx context.Context) {
	const pause = 50 * time.Millisecond
	for h.leadsAnyService() && ctx.Err() == nil {
		sleep(ctx, pause)
	}
}

func (h *Host) leadsAnyService() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.controllers {
		if c.leading.Load() {
			return true
		}
	}
	return false
}
