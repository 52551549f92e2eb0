package host

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
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

// endEvidence is what attempts of several hosts to connect to a target show.
type endEvidence uint8

const (
	// notEnded: a host connects, or this one is not refused.
	notEnded endEvidence = iota
	// refusedHere: this host is refused, and others can't tell enough. A network may do that.
	refusedHere
	// refusedEverywhere: this host is refused and another one, too, and one of them is in the
	// target's zone. If no host is in that zone, they are of two zones.
	refusedEverywhere
)

// check finds out whether a target has ended. Attempts that are cut at the same time share one
// check.
func (e *endChecks) check(ctx context.Context, row place.TargetRow) endEvidence {
	evidence, _, _ := e.checks.Do(row.Addr.String(), func() (any, error) {
		if e.connect(ctx, row) != relay.ReachRefused {
			return notEnded, nil
		}
		return e.askOthers(ctx, row), nil
	})
	return evidence.(endEvidence)
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

// askOthers returns what other hosts add to the evidence of this one, which is refused.
func (e *endChecks) askOthers(ctx context.Context, row place.TargetRow) endEvidence {
	body, err := relay.EncodeTarget(row.Target, row.Incarnation)
	if err != nil {
		e.host.log.Error("Question about a target not encoded.", slog.Any("error", err))
		return refusedHere
	}
	var (
		mu       sync.Mutex
		reached  bool
		refused  = []place.Zone{e.host.site.Zone}
		witness  = e.witnesses(row.Zone)
		question errgroup.Group
	)
	for _, m := range witness {
		question.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
			defer cancel()
			response, err := e.host.transport.Call(ctx, m.PeerAddr, peer.KindReach, body)
			if err != nil {
				e.host.log.Info("Host not asked about a target.", slog.String("to", string(m.Name)),
					slog.String("target", string(row.Target)), slog.Any("error", err))
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			switch relay.DecodeReach(response) {
			case relay.ReachOpen:
				reached = true
			case relay.ReachRefused:
				refused = append(refused, m.Zone)
			case relay.ReachUnknown:
			}
			return nil
		})
	}
	_ = question.Wait() // no question returns an error
	if reached {
		return notEnded
	}
	return e.evidenceOf(row, refused)
}

// evidenceOf returns what refusals of hosts of the given zones show, this host's among them.
func (e *endChecks) evidenceOf(row place.TargetRow, refused []place.Zone) endEvidence {
	v := e.host.views.view()
	if len(refused) < 2 || e.host.paths.allLost(v) {
		return refusedHere
	}
	if slices.ContainsFunc(v.members.Hosts, func(m member.Host) bool { return m.Zone == row.Zone }) {
		if slices.Contains(refused, row.Zone) {
			return refusedEverywhere
		}
		return refusedHere
	}
	if slices.ContainsFunc(refused, func(z place.Zone) bool { return z != e.host.site.Zone }) {
		return refusedEverywhere
	}
	return refusedHere
}

// witnesses returns the hosts that are asked about a target: one of each zone first, that of
// the target before all others and this host's after them, as a network may fail for a whole
// zone.
func (e *endChecks) witnesses(zone place.Zone) []member.Host {
	var first, rest []member.Host
	asked := map[place.Zone]bool{e.host.site.Zone: true}
	for _, m := range e.host.reachableHosts() {
		if asked[m.Zone] {
			rest = append(rest, m)
			continue
		}
		asked[m.Zone] = true
		if m.Zone == zone {
			first = slices.Insert(first, 0, m)
			continue
		}
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
	row, known := e.host.views.view().knownTarget(name)
	if !known || row.Incarnation != incarnation {
		return relay.EncodeReach(relay.ReachUnknown), nil
	}
	if e.host.paths.allLost(e.host.views.view()) {
		return relay.EncodeReach(relay.ReachUnknown), nil // a refusal would show the state of this host's links
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
	// The refusal of this host alone counts, too: a request that ends targets does more harm
	// than one that is refused.
	if h.endChecks.check(ctx, c.row) == notEnded {
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
