package lead

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/google/uuid"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

const (
	// custodyInterval is the time between two rounds of the custody keeper.
	custodyInterval = 500 * time.Millisecond
	// stabilizationWindow is how long the weights of a service's zones must be
	// unchanged before shards are transferred to match them, as the fleet list flaps.
	stabilizationWindow = 10 * time.Second
	// maxTransfers bounds the concurrent transfers out of one zone, in shards.
	maxTransfers = 16
)

// custodyKeeper writes the custody documents. It creates the first layout of a service,
// completes transfers whose shards this host's cells have ceded, starts transfers to
// balance the zones, and evicts lost zones. Every write is a compare-and-swap, so keepers
// on several hosts may race.
type custodyKeeper struct {
	*Daemon
	observed   map[key.Service]observedWeights
	heldLeases map[cell.ID]heldLease
	// evictedSince is the time at which this host first read that a lost zone's cell
	// has ceded its shards.
	evictedSince map[cell.ID]time.Time
}

// observedWeights holds the weights of a service's zones, unchanged since a time.
type observedWeights struct {
	weights []custody.ZoneTargets
	since   time.Time
}

func newCustodyKeeper(d *Daemon) *custodyKeeper {
	return &custodyKeeper{
		Daemon:       d,
		observed:     make(map[key.Service]observedWeights),
		heldLeases:   make(map[cell.ID]heldLease),
		evictedSince: make(map[cell.ID]time.Time),
	}
}

// run reconciles once per custodyInterval until ctx is done.
func (k *custodyKeeper) run(ctx context.Context) error {
	tick := time.NewTicker(custodyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			k.reconcile(ctx, time.Now())
		}
	}
}

// reconcile creates or updates the custody document of each service of this zone.
func (k *custodyKeeper) reconcile(ctx context.Context, now time.Time) {
	v, _ := k.viewBuilder.latest()
	for _, s := range v.services(k.cfg.Zone) {
		doc, ok := v.custody[s.Name]
		if !ok {
			k.createCustody(ctx, v, s)
			continue
		}
		if next, changed := k.nextCustody(ctx, now, v, s, doc); changed {
			k.writeCustody(ctx, next, doc.revision)
		}
	}
}

// createCustody writes the first layout of a service, once any of its targets is known.
func (k *custodyKeeper) createCustody(ctx context.Context, v *view, s settings.Service) {
	doc := custody.New(s.Name, v.shards(s), v.weights(s))
	if len(doc.Rows) == 0 {
		return
	}
	if _, err := k.store.Get(ctx, custody.Path(s.Name)); !errors.Is(err, platform.ErrNotFound) {
		return // the document has not reached the replica yet, or the store is unavailable
	}
	k.writeCustody(ctx, doc, 0)
}

// nextCustody returns the next version of a custody document and whether it differs from
// doc. Only the leader of this zone's cell transfers shards of its zone, and of lost zones.
func (k *custodyKeeper) nextCustody(ctx context.Context, now time.Time, v *view, s settings.Service, doc custodyDoc) (custody.Doc, bool) {
	status, leading := k.statusIfLeading(cell.ID{Service: s.Name, Zone: k.cfg.Zone})
	if !leading {
		return custody.Doc{}, false
	}
	if next, changed := custody.CompleteTransfers(doc.Doc, k.cfg.Zone, status.Ceded); changed {
		return next, true
	}
	if next, changed := k.evict(ctx, now, v, s, doc); changed {
		return next, true
	}
	weights := v.weights(s)
	if !k.weightsStable(now, s, weights) || len(doc.Outgoing(k.cfg.Zone)) > 0 {
		return custody.Doc{}, false
	}
	next, changed := custody.PlanTransfers(doc.Doc, k.cfg.Zone, weights, maxTransfers)
	if !changed || !k.destinationsReachable(ctx, v, next) {
		return custody.Doc{}, false
	}
	return next, true
}

// destinationsReachable reports whether every destination of this zone's planned transfers
// has a reachable host. A partitioned zone stays in the fleet list for a while, and may
// just have been evicted: its shards would go straight back to it.
func (k *custodyKeeper) destinationsReachable(ctx context.Context, v *view, next custody.Doc) bool {
	checked := make(map[place.Zone]bool)
	for _, row := range next.Rows {
		if row.Zone != k.cfg.Zone || row.Next == "" || checked[row.Next] {
			continue
		}
		if !k.anyReachable(ctx, v.hosts(row.Next)) {
			return false
		}
		checked[row.Next] = true
	}
	return true
}

// statusIfLeading returns the status of a cell, and whether this host leads the cell and
// holds its lease.
func (k *custodyKeeper) statusIfLeading(id cell.ID) (cell.Status, bool) {
	c := k.controller(id)
	if c == nil {
		return cell.Status{}, false
	}
	latest := c.status.load()
	return latest, latest.LeaseHeld
}

// weightsStable reports whether the weights have been unchanged for stabilizationWindow.
func (k *custodyKeeper) weightsStable(now time.Time, s settings.Service, weights []custody.ZoneTargets) bool {
	last, ok := k.observed[s.Name]
	if !ok || !slices.Equal(last.weights, weights) {
		k.observed[s.Name] = observedWeights{weights: weights, since: now}
		return false
	}
	return now.Sub(last.since) >= stabilizationWindow
}

// writeCustody writes a custody document to the store, and on success publishes it in the
// replica at once. A lost response needs no handling: every step is idempotent, and the
// next round starts from the replica again.
func (k *custodyKeeper) writeCustody(ctx context.Context, doc custody.Doc, expect platform.Revision) {
	doc.WriteID = uuid.NewString()
	body, err := custody.Encode(doc)
	if err != nil {
		k.log.Error("Custody document not encoded.", slog.Any("error", err))
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := k.store.Write(call, custody.Path(doc.Service), body, expect)
	if err != nil {
		k.log.Info("Custody document not written.", slog.Any("error", err))
		return
	}
	k.replica.Publish(docsync.Document{
		Name:    docsync.CustodyPrefix + docsync.Name(doc.Service),
		Version: docsync.Version{Major: uint64(revision)},
		Body:    body,
	})
}
