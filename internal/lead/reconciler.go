package lead

import (
	"context"
	"log/slog"
	"time"

	"citrontray.example/citrontray/internal/cell"
)

// reconcileInterval bounds how often the cells are told of changes: a burst of
// settings is one change.
const reconcileInterval = 50 * time.Millisecond

// reconciler starts the cells that the settings name and tells all cells what
// changed on the board. Its cells run under the context cells.
type reconciler struct {
	*Daemon
	cellsCtx context.Context //nolint:containedctx // lives as long as the cells, longer than run
}

// run reconciles whenever the documents that matter have changed. Routing
// tables do not: they change with every move.
func (r reconciler) run(ctx context.Context) error {
	changed := r.replica.Subscribe("")
	var told uint64
	for {
		if v, changes := r.viewBuilder.latest(); changes != told {
			r.reconcile(v)
			told = changes
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

// sleep waits for d or the end of ctx.
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

// reconcile brings the cells in line with the view.
func (r reconciler) reconcile(v *view) {
	wanted := make(map[cell.ID]bool)
	for _, s := range v.services(r.cfg.Zone) {
		cfg := r.cellConfig(v, s)
		wanted[cfg.ID] = true
		run := r.ensureController(cfg)
		for _, ev := range v.events(cfg, s) {
			run.send(r.cellsCtx, ev)
		}
	}
	if v.settings != nil {
		r.stopRemoved(wanted)
	}
}

// ensureController returns the runner of a cell, started if it is new.
func (r reconciler) ensureController(cfg cell.Config) *controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, ok := r.controllers[cfg.ID]; ok {
		return run
	}
	run := newController(r.Daemon, cfg)
	r.controllers[cfg.ID] = run
	go run.run(r.cellsCtx)
	return run
}

// stopRemoved stops the cells that no settings name any more. Their grants end by
// themselves; the documents stay, so that epochs never fall should the service
// come back.
func (r reconciler) stopRemoved(wanted map[cell.ID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, run := range r.controllers {
		if wanted[id] {
			continue
		}
		delete(r.controllers, id)
		run.log.Info("Service is gone, the cell stops.", slog.String("service", string(id.Service)))
		go cellRemoval{run}.run(r.cellsCtx)
	}
}
