package lead

import (
	"context"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/placement"
	"citrontray.example/citrontray/internal/table"
)

const (
	// planInterval is how often moves are planned.
	planInterval = time.Second
	// reportBuffer is how many load reports wait for a cell; later ones are
	// dropped, as the next of that entry follows in a second.
	reportBuffer = 256
)

// placer plans the moves of a cell that this host leads. It belongs to the
// cell's goroutine.
type placer struct {
	planner    *placement.Planner
	loads      *placement.Loads
	table      table.Table
	nextPlanAt time.Time
}

func newPlacer() *placer {
	return &placer{planner: placement.NewPlanner(), loads: placement.NewLoads()}
}

// plan returns the moves that pay now, at intervals.
func (p *placer) plan(now time.Time, cfg cell.Config) []cell.PlannedMove {
	if now.Before(p.nextPlanAt) {
		return nil
	}
	p.nextPlanAt = now.Add(planInterval)
	p.loads.Sweep(now)
	layout := placement.LayoutFromTable(now, &p.table, cfg.WarmUp)
	return p.planner.Plan(now, placement.Config{
		ImbalancePercent: cfg.ImbalancePercent,
		MovesPerMinute:   cfg.MovesPerMinute,
		Shards:           cfg.Shards,
	}, layout, p.loads)
}

// handleLoad passes an entry's load report on to its cell.
func (d *Daemon) handleLoad(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	report, err := placement.DecodeReport(body)
	if err != nil {
		return nil, err
	}
	r := d.controller(cell.ID{Service: report.Service, Zone: report.Zone})
	if r == nil {
		return nil, nil
	}
	select {
	case r.reports <- report:
	default:
	}
	return nil, nil
}
