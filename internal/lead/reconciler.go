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
	cells context.Context //nolint:containedctx // lives as long as the cells, longer than run
}

// run reconciles whenever the documents that matter have changed. Routing
// tables do not: they change with every move.
func (r reconciler) run(ctx context.Context) error {
	changed := r.board.Subscribe("")
	var told uint64
	for {
		if v, changes := r.library.look(); changes != told {
			r.reconcile(v)
			told = changes
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		if err := pause(ctx, reconcileInterval); err != nil {
			return err
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
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
		run := r.ensure(cfg)
		for _, ev := range v.events(cfg, s) {
			run.send(r.cells, ev)
		}
	}
	if v.settings != nil {
		r.dismiss(wanted)
	}
}

// ensure returns the runner of a cell, started if it is new.
func (r reconciler) ensure(cfg cell.Config) *runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, ok := r.runners[cfg.ID]; ok {
		return run
	}
	run := newRunner(r.Daemon, cfg)
	r.runners[cfg.ID] = run
	go run.run(r.cells)
	return run
}

// dismiss stops the cells that no settings name any more. Their grants end by
// themselves; the documents stay, so that epochs never fall should the service
// come back.
func (r reconciler) dismiss(wanted map[cell.ID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, run := range r.runners {
		if wanted[id] {
			continue
		}
		delete(r.runners, id)
		run.log.Info("Service is gone, the cell stops.", slog.String("service", string(id.Service)))
		go dismissal{run}.run(r.cells)
	}
}
