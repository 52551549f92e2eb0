package lead

import (
	"context"
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
	for _, s := range v.services(r.cfg.Zone) {
		cfg := r.cellConfig(s)
		run := r.ensure(cfg)
		for _, ev := range v.events(cfg, s) {
			run.send(r.cells, ev)
		}
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
