package host

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// grantTask sends grants to a target.
type grantTask struct {
	*controller

	effect owner.SendGrants
}

func (t *grantTask) run(ctx context.Context) {
	defer t.tasks.Done()
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	sentAt := time.Now()
	results, signal := t.orders.sendGrants(ctx, t.effect)
	t.recordLimit(sentAt, signal.Limit)
	for _, err := range results {
		t.host.metrics.countOrder(t.service, "grant", orderResult(err))
	}
	t.post(func(now time.Time) bool {
		t.core.Granted(now, t.effect, results)
		if signal.Leaving {
			t.markLeaving(t.effect.Target)
		}
		return t.core.Changed() // a renewal without a change needs no step
	})
	if t.effect.Probe {
		t.probeTarget(ctx, t.effect.Target, t.effect.Addr, results[0])
	}
}

// recordLimit records a rate limit in the response to a grant. Without one the
// response states nothing, as the limit is for requests.
func (t *grantTask) recordLimit(sentAt time.Time, limit target.Limit) {
	row, listed := t.host.views.view().targets[t.effect.Target]
	if _, none := limit.(target.NoLimit); !none && listed {
		t.host.recordLimit(time.Now(), sentAt, dispatch.PoolID{Service: t.service, Target: row.Target}, row, limit, "")
	}
}

// releaseTask sends a release to a target.
type releaseTask struct {
	*controller

	effect owner.SendRelease
}

func (t *releaseTask) run(ctx context.Context) {
	defer t.tasks.Done()
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	handover, err := t.orders.release(ctx, t.effect)
	t.host.metrics.countOrder(t.service, "release", orderResult(err))
	if err != nil {
		t.log.Info("Release failed.", slog.String("target", string(t.effect.Target)),
			slog.String("range", t.effect.Release.Range.String()), slog.Any("error", err))
	}
	t.post(func(now time.Time) bool { t.core.Released(now, t.effect, handover, err); return true })
	if t.effect.Probe {
		t.probeTarget(ctx, t.effect.Target, t.effect.Addr, err)
	}
}

// probeTarget finds out whether the process of a target has ended, after an order to it has
// failed, and passes that to the core.
func (c *controller) probeTarget(ctx context.Context, name place.Target, addr netip.AddrPort, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	row, known := c.host.views.view().knownTarget(name)
	if !known || row.Addr != addr {
		row = place.TargetRow{Target: name, Service: string(c.service), Addr: addr}
	}
	// A network may refuse this host alone, while the target holds its ranges.
	if c.host.endChecks.check(ctx, row) == refusedEverywhere {
		c.post(func(now time.Time) bool { c.core.TargetEnded(now, name, addr); return true })
	}
}

// orderResult returns the metric label for the result of an order.
func orderResult(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, target.ErrFenced):
		return "fenced"
	case errors.Is(err, target.ErrMisdirected), errors.Is(err, target.ErrRejected):
		return "rejected"
	case errors.Is(err, target.ErrNotSent):
		return "unsent"
	}
	return "unanswered"
}

// writeTask writes the ownership document.
type writeTask struct {
	*controller

	effect         owner.WriteDoc
	leaderRevision platform.Revision
}

func (t *writeTask) run(ctx context.Context) {
	defer t.tasks.Done()
	value, err := t.effect.Doc.Encode()
	if err != nil {
		t.log.Error("Ownership document not encoded.", slog.Any("error", err))
		t.post(func(now time.Time) bool { t.core.NotWritten(now, t.effect); return true })
		return
	}
	txn := docTxn(t.service, value, t.effect.Expect, t.leaderRevision)
	revision, err := commitUntilKnown(ctx, t.log, t.host.env.Store, txn, rangesPath(t.service), t.effect.Doc.WriteID)
	t.post(func(now time.Time) bool { t.handleResult(now, revision, err); return true })
}

// docTxn returns the transaction by which a leader writes its service's ownership
// document. It requires that the leader entry and the document are unchanged.
func docTxn(service key.Service, value []byte, expect, leaderRevision platform.Revision) platform.Txn {
	path := rangesPath(service)
	return platform.Txn{
		If:  []platform.Condition{{Path: member.LeaderPath(service), Revision: leaderRevision}, {Path: path, Revision: expect}},
		Put: []platform.Put{{Path: path, Value: value}},
	}
}

func (t *writeTask) handleResult(now time.Time, revision platform.Revision, err error) {
	switch {
	case err == nil:
		t.core.Written(now, t.effect, revision)
	case errors.Is(err, errWriteConflict):
		t.log.Warn("Ownership document changed before this write.", slog.Uint64("expected", uint64(t.effect.Expect)))
		t.core.WriteConflict(t.effect)
	case errors.Is(err, platform.ErrRestored):
		t.log.Warn("Ownership document not written.", slog.Any("error", err))
		t.core.StoreRestored(now, t.effect.Doc.Term)
	default:
		t.log.Warn("Ownership document not written.", slog.Any("error", err))
		t.core.NotWritten(now, t.effect)
	}
}
