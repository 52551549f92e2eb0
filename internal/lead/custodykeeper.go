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
	// custodyInterval is how often custody is looked at.
	custodyInterval = 500 * time.Millisecond
	// stabilizationWindow is how long the zones' shares have to stand unchanged
	// before shards are transferred for them: the fleet list flaps.
	stabilizationWindow = 10 * time.Second
	// maxTransfers bounds the shards of one zone under transfer at once.
	maxTransfers = 16
)

// custodyKeeper writes the custody documents: the first layout, the transfers that
// this host's cells have settled, those for balance, and declared losses.
// Every write is a compare-and-swap, so keepers on several hosts may race.
type custodyKeeper struct {
	*Daemon
	observed   map[key.Service]observedWeights
	heldLeases map[cell.ID]heldLease
	// evictedSince is since when a cell's document shows that it gave up.
	evictedSince map[cell.ID]time.Time
}

// observedWeights is since when the zones of a service have had these shares.
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

// run keeps custody until ctx ends.
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

// reconcile looks at each service once.
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

// createCustody writes the first layout of a service, once its targets are known.
func (k *custodyKeeper) createCustody(ctx context.Context, v *view, s settings.Service) {
	doc := custody.New(s.Name, v.shards(s), v.weights(s))
	if len(doc.Rows) == 0 {
		return
	}
	if _, err := k.store.Get(ctx, custody.Path(s.Name)); !errors.Is(err, platform.ErrNotFound) {
		return // it is there and on its way to the board, or the store is out
	}
	k.writeCustody(ctx, doc, 0)
}

// nextCustody returns the document as it should be now, and whether it changed. Only
// the lead of this zone's cell changes custody, or hands over a lost zone's.
func (k *custodyKeeper) nextCustody(ctx context.Context, now time.Time, v *view, s settings.Service, doc custodyDoc) (custody.Doc, bool) {
	state, leading := k.statusIfLeading(cell.ID{Service: s.Name, Zone: k.cfg.Zone})
	if !leading {
		return custody.Doc{}, false
	}
	if next, changed := custody.CompleteTransfers(doc.Doc, k.cfg.Zone, state.Ceded); changed {
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

// destinationsReachable reports whether hosts answer in every zone that shards of this zone
// are about to go to. A zone that is cut off is in the fleet list for a while,
// and its own shards may just have come here.
func (k *custodyKeeper) destinationsReachable(ctx context.Context, v *view, next custody.Doc) bool {
	asked := make(map[place.Zone]bool)
	for _, row := range next.Rows {
		if row.Zone != k.cfg.Zone || row.Next == "" || asked[row.Next] {
			continue
		}
		if !k.anyReachable(ctx, v.hosts(row.Next)) {
			return false
		}
		asked[row.Next] = true
	}
	return true
}

// statusIfLeading returns the state of a cell if this host leads it now.
func (k *custodyKeeper) statusIfLeading(id cell.ID) (cell.Status, bool) {
	r := k.controller(id)
	if r == nil {
		return cell.Status{}, false
	}
	state := r.status.load()
	return state, state.LeaseHeld
}

// weightsStable reports whether the shares have stood long enough to act on.
func (k *custodyKeeper) weightsStable(now time.Time, s settings.Service, weights []custody.ZoneTargets) bool {
	have, ok := k.observed[s.Name]
	if !ok || !slices.Equal(have.weights, weights) {
		k.observed[s.Name] = observedWeights{weights: weights, since: now}
		return false
	}
	return now.Sub(have.since) >= stabilizationWindow
}

// writeCustody commits a custody document and shows it to this process at once. A
// lost answer needs no care here: the next round reads the board again, and
// each step is idempotent.
func (k *custodyKeeper) writeCustody(ctx context.Context, doc custody.Doc, expect platform.Revision) {
	doc.WriteID = uuid.NewString()
	body, err := custody.Encode(doc)
	if err != nil {
		k.log.Error("Custody not encoded.", slog.Any("error", err))
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := k.store.Write(call, custody.Path(doc.Service), body, expect)
	if err != nil {
		k.log.Info("Custody not written.", slog.Any("error", err))
		return
	}
	k.replica.Publish(docsync.Document{
		Name:    docsync.CustodyPrefix + docsync.Name(doc.Service),
		Version: docsync.Version{Major: uint64(revision)},
		Body:    body,
	})
}
