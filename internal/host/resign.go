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

// resignIfDue hands the lead on where this host stops. While the store does not
// answer nobody else can lead: the grants are renewed until it does.
func (r *controller) resignIfDue(ctx context.Context, now time.Time) {
	if r.resigning || !r.host.stopping.Load() || !r.core.Leading() {
		return
	}
	if !r.core.LeaseFresh(now) {
		r.core.Resume()
		return
	}
	r.core.Stop()
	if !r.core.Idle() {
		return
	}
	r.resigning = true
	t := &resignation{controller: r, doc: r.core.Doc(now), expect: r.core.Revision(), leadRevision: r.leadRevision}
	r.tasks.Add(1)
	go t.run(ctx)
}

// resignation is one try to hand the lead on. Its document names no lead, which
// tells the next one that nothing more will be sent.
type resignation struct {
	*controller

	doc          owner.Doc
	expect       platform.Revision
	leadRevision platform.Revision
}

// run carries the resignation out and posts its outcome.
func (t *resignation) run(ctx context.Context) {
	defer t.tasks.Done()
	err := t.resign(ctx)
	t.post(func(now time.Time) bool {
		switch {
		case err == nil:
			t.log.Info("Lead handed on.", slog.Uint64("term", uint64(t.core.Term())))
			t.core.StepDown()
		case errors.Is(err, platform.ErrUnavailable):
			// Surely not carried out: this host leads on until the store is back.
			t.log.Warn("Lead not handed on, renewing meanwhile.", slog.Any("error", err))
			t.resigning = false
			t.core.Resume()
		case errors.Is(err, platform.ErrRestored):
			// What was written is of a copy that is gone, or refused.
			t.log.Warn("Lead not handed on, renewing meanwhile.", slog.Any("error", err))
			t.resigning = false
			t.core.Resume()
			t.core.StoreRestored(now, t.doc.Term)
		default:
			// The next lead may go by it already: nothing is sent any more.
			t.log.Warn("Lead given up.", slog.Any("error", err))
			t.core.StepDown()
		}
		return true
	})
}

func (t *resignation) resign(ctx context.Context) error {
	t.doc.Leader, t.doc.LeaderIncarnation = "", 0
	value, err := t.doc.Encode()
	if err != nil {
		return err
	}
	txn := docTxn(t.service, value, t.expect, t.leadRevision)
	txn.Remove = []platform.Path{member.LeaderPath(t.service)}
	_, err = commitUntilKnown(ctx, t.log, t.host.env.Store, txn, rangesPath(t.service), t.doc.WriteID)
	return err
}

// awaitSuccessors waits until this host leads no service, or until ctx ends.
func (h *Host) awaitSuccessors(ctx context.Context) {
	const pause = 50 * time.Millisecond
	for h.leadsAnyService() && ctx.Err() == nil {
		sleep(ctx, pause)
	}
}

func (h *Host) leadsAnyService() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.controllers {
		if r.leading.Load() {
			return true
		}
	}
	return false
}
