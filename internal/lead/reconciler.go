package lead

import (
	"context"
	"log/slog"
	"time"

	"citrontray.example/citrontray/internal/cell"
)

// reconcileInterval is the minimum time between two reconciliations, which combines a
// burst of changes into one.
const reconcileInterval = 50 * time.Millisecond

// reconciler starts and stops the cells as the settings require, and passes changed
// documents of the replica to the cells as events.
type reconciler struct {
	*Daemon
	cellsCtx context.Context //nolint:containedctx // context of the cells, which outlive run
}

// run reconciles whenever the view has changed, until ctx is done. Routing tables are not
// part of the view: they change with every move.
func (r reconciler) run(ctx context.Context) error {
	changed := r.replica.Subscribe("")
	var applied uint64
	for {
		if v, changes := r.viewBuilder.latest(); changes != applied {
			r.reconcile(v)
			applied = changes
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		if err := sleep(ctx, reconcileInterval); err != nil {
			return err
		}
	}
}

// sleep waits for d. If ctx is done first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// reconcile starts, updates and stops cells to match the view.
func (r reconciler) reconcile(v *view) {
	wanted := make(map[cell.ID]bool)
	for _, s := range v.services(r.cfg.Zone) {
		cfg := r.cellConfig(v, s)
		wanted[cfg.ID] = true
		c := r.ensureController(cfg)
		for _, ev := range v.events(cfg, s) {
			c.send(r.cellsCtx, ev)
		}
	}
	if v.settings != nil {
		r.stopRemoved(wanted)
	}
}

// ensureController returns the controller of a cell. It starts one if there is none.
func (r reconciler) ensureController(cfg cell.Config) *controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.controllers[cfg.ID]; ok {
		return c
	}
	c := newController(r.Daemon, cfg)
	r.controllers[cfg.ID] = c
	go c.run(r.cellsCtx)
	return c
}

// stopRemoved stops the cells of services that this zone no longer has. Their grants
// expire. Their documents stay in the store, so that epochs never decrease if the service
// returns.
func (r reconciler) stopRemoved(wanted map[cell.ID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.controllers {
		if wanted[id] {
			continue
		}
		delete(r.controllers, id)
		c.log.Info("Service removed from this zone, stopping its cell.", slog.String("service", string(id.Service)))
		go cellRemoval{c}.run(r.cellsCtx)
	}
}
