package host

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/relay"
)

const (
	// endCheckTimeout limits an attempt to connect to a target that may have ended.
	endCheckTimeout = 100 * time.Millisecond
	// witnessTimeout limits the question to another host, its attempt to connect included.
	witnessTimeout = endCheckTimeout + 50*time.Millisecond
	// maxWitnesses is how many other hosts are asked.
	maxWitnesses = 3
)

// endChecks finds out which targets have ended. The host of a target that has ended refuses
// connections from everywhere; a network that refuses them on the path of one host does so
// for that host only. Safe for concurrent use.
type endChecks struct {
	host *Host
	// checks are those of this host, asked those that other hosts asked for.
	checks, asked singleflight.Group
}

// hasEnded reports whether a target has ended: this host and those that it asks are refused.
// Attempts that are cut at the same time share one check. If no other host can tell, the
// refusal alone counts: a request that ends targets does more harm than one that is refused.
func (e *endChecks) hasEnded(ctx context.Context, row place.TargetRow) bool {
	ended, _, _ := e.checks.Do(row.Addr.String(), func() (any, error) {
		return e.connect(ctx, row) == relay.ReachRefused && !e.reachedByOthers(ctx, row), nil
	})
	return ended.(bool)
}

// connect tries to connect to a target.
func (e *endChecks) connect(ctx context.Context, row place.TargetRow) relay.Reach {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	err := e.host.checkTarget(ctx, time.Now(), row)
	switch {
	case err == nil, errors.Is(err, forward.ErrFull):
		return relay.ReachOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.ReachRefused
	}
	return relay.ReachUnknown
}

// reachedByOthers reports whether another host reaches a target.
func (e *endChecks) reachedByOthers(ctx context.Context, row place.TargetRow) bool {
	body, err := relay.EncodeTarget(row.Target, row.Incarnation)
	if err != nil {
		e.host.log.Error("Question about a target not encoded.", slog.Any("error", err))
		return false
	}
	var reached atomic.Bool
	var questions errgroup.Group
	for _, m := range e.witnesses() {
		questions.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
			defer cancel()
			response, err := e.host.transport.Call(ctx, m.PeerAddr, peer.KindReach, body)
			if err != nil {
				e.host.log.Info("Host not asked about a target.", slog.String("to", string(m.Name)),
					slog.String("target", string(row.Target)), slog.Any("error", err))
				return nil
			}
			if relay.DecodeReach(response) == relay.ReachOpen {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = questions.Wait() // no question returns an error
	return reached.Load()
}

// witnesses returns the hosts that are asked about a target: one of each zone first, those of
// other zones before this one's, as a network may fail for a whole zone.
func (e *endChecks) witnesses() []member.Host {
	var first, rest []member.Host
	asked := map[place.Zone]bool{e.host.site.Zone: true}
	for _, m := range e.host.reachableHosts() {
		if asked[m.Zone] {
			rest = append(rest, m)
			continue
		}
		asked[m.Zone] = true
		first = append(first, m)
	}
	first = append(first, rest...)
	return first[:min(len(first), maxWitnesses)]
}

// serve answers the question of another host about a target.
func (e *endChecks) serve(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	name, incarnation, err := relay.DecodeTarget(body)
	if err != nil {
		return nil, err
	}
	row, listed := e.host.views.view().targets[name]
	if !listed || row.Incarnation != incarnation {
		return relay.EncodeReach(relay.ReachUnknown), nil
	}
	reach, _, _ := e.asked.Do(row.Addr.String(), func() (any, error) {
		return e.connect(context.WithoutCancel(ctx), row), nil
	})
	return relay.EncodeReach(reach.(relay.Reach)), nil
}

// rowOf returns the row of a ticket's target, also if this host's view does not list it yet.
func rowOf(t ticket, listed place.TargetRow, service key.Service) place.TargetRow {
	if listed.Target != "" {
		return listed
	}
	return place.TargetRow{Target: t.target, Service: string(service), Addr: t.Addr}
}

// endCheck finds out whether the target of an attempt that was cut has ended.
type endCheck struct {
	job  *job
	row  place.TargetRow
	took time.Duration
	// known is what was known of the request when the attempt began.
	known quarantine.Suspicion
}

// run makes the check and records an end.
func (c *endCheck) run(ctx context.Context) {
	j, h := c.job, c.job.host
	if !h.endChecks.hasEnded(ctx, c.row) {
		return
	}
	h.quarantine.ended(time.Now(), j, c.known, quarantine.End{Target: c.row.Target, Incarnation: c.row.Incarnation})
	h.metrics.countEnd(j.service.Name)
	h.log.Info("Target ended under a request.", slog.String("request", j.request.ID), slog.String("fingerprint", j.fingerprint.String()),
		slog.String("service", string(j.service.Name)), slog.String("target", string(c.row.Target)), millisAttr("took", c.took))
}

// isCut reports whether an attempt ended like one whose target has ended.
func isCut(result forward.Result) bool {
	u, ok := result.(forward.Uncertain)
	return ok && (u.Reason == outcome.AnswerCut || u.Reason == outcome.SendCut)
}
