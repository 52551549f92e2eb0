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
	// keepInterval is how often custody is looked at.
	keepInterval = 500 * time.Millisecond
	// steadyBefore is how long the zones' shares have to stand unchanged
	// before shards are transferred for them: the fleet list flaps.
	steadyBefore = 10 * time.Second
	// transfersPerRound bounds the shards of one zone under transfer at once.
	transfersPerRound = 16
)

// keeper writes the custody documents: the first layout, the transfers that
// this host's cells have settled, those for balance, and declared losses.
// Every write is a compare-and-swap, so keepers on several hosts may race.
type keeper struct {
	*Daemon
	steady   map[key.Service]steadyShare
	silences map[cell.ID]silence
	// evicted is since when a cell's document shows that it gave up.
	evicted map[cell.ID]time.Time
}

// steadyShare is since when the zones of a service have had these shares.
type steadyShare struct {
	weights []custody.ZoneTargets
	since   time.Time
}

func newKeeper(d *Daemon) *keeper {
	return &keeper{
		Daemon:   d,
		steady:   make(map[key.Service]steadyShare),
		silences: make(map[cell.ID]silence),
		evicted:  make(map[cell.ID]time.Time),
	}
}

// run keeps custody until ctx ends.
func (k *keeper) run(ctx context.Context) error {
	tick := time.NewTicker(keepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			k.keep(ctx, time.Now())
		}
	}
}

// keep looks at each service once.
func (k *keeper) keep(ctx context.Context, now time.Time) {
	v, _ := k.library.look()
	for _, s := range v.services(k.cfg.Zone) {
		doc, ok := v.custody[s.Name]
		if !ok {
			k.create(ctx, v, s)
			continue
		}
		if next, changed := k.next(ctx, now, v, s, doc); changed {
			k.write(ctx, next, doc.revision)
		}
	}
}

// create writes the first layout of a service, once its targets are known.
func (k *keeper) create(ctx context.Context, v *view, s settings.Service) {
	doc := custody.New(s.Name, v.shards(s), v.weights(s))
	if len(doc.Rows) == 0 {
		return
	}
	if _, err := k.store.Get(ctx, custody.Path(s.Name)); !errors.Is(err, platform.ErrNotFound) {
		return // it is there and on its way to the board, or the store is out
	}
	k.write(ctx, doc, 0)
}

// next returns the document as it should be now, and whether it changed. Only
// the lead of this zone's cell changes custody, or hands over a lost zone's.
func (k *keeper) next(ctx context.Context, now time.Time, v *view, s settings.Service, doc custodyDoc) (custody.Doc, bool) {
	state, leading := k.leading(cell.ID{Service: s.Name, Zone: k.cfg.Zone})
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
	if !k.isSteady(now, s, weights) || len(doc.Outgoing(k.cfg.Zone)) > 0 {
		return custody.Doc{}, false
	}
	next, changed := custody.PlanTransfers(doc.Doc, k.cfg.Zone, weights, transfersPerRound)
	if !changed || !k.takers(ctx, v, next) {
		return custody.Doc{}, false
	}
	return next, true
}

// takers reports whether hosts answer in every zone that shards of this zone
// are about to go to. A zone that is cut off is in the fleet list for a while,
// and its own shards may just have come here.
func (k *keeper) takers(ctx context.Context, v *view, next custody.Doc) bool {
	asked := make(map[place.Zone]bool)
	for _, row := range next.Rows {
		if row.Zone != k.cfg.Zone || row.Next == "" || asked[row.Next] {
			continue
		}
		if !k.answers(ctx, v.hosts(row.Next)) {
			return false
		}
		asked[row.Next] = true
	}
	return true
}

// leading returns the state of a cell if this host leads it now.
func (k *keeper) leading(id cell.ID) (cell.Status, bool) {
	r := k.runner(id)
	if r == nil {
		return cell.Status{}, false
	}
	state := r.state.load()
	return state, state.LeaseHeld
}

// isSteady reports whether the shares have stood long enough to act on.
func (k *keeper) isSteady(now time.Time, s settings.Service, weights []custody.ZoneTargets) bool {
	have, ok := k.steady[s.Name]
	if !ok || !slices.Equal(have.weights, weights) {
		k.steady[s.Name] = steadyShare{weights: weights, since: now}
		return false
	}
	return now.Sub(have.since) >= steadyBefore
}

// write commits a custody document and shows it to this process at once. A
// lost answer needs no care here: the next round reads the board again, and
// each step is idempotent.
func (k *keeper) write(ctx context.Context, doc custody.Doc, expect platform.Revision) {
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
	k.board.Publish(docsync.Document{
		Name:    docsync.CustodyPrefix + docsync.Name(doc.Service),
		Version: docsync.Version{Major: uint64(revision)},
		Body:    body,
	})
}
