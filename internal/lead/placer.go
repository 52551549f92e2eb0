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
	// planInterval is the time between two plans of moves.
	planInterval = time.Second
	// reportBuffer is the number of load reports that are buffered for a cell. Further
	// reports are dropped, as each entry process sends another one within a second.
	reportBuffer = 256
)

// placer plans the moves of a cell that this host leads. Only the cell's goroutine uses
// it.
type placer struct {
	planner    *placement.Planner
	loads      *placement.Loads
	table      table.Table
	nextPlanAt time.Time
}

func newPlacer() *placer {
	return &placer{planner: placement.NewPlanner(), loads: placement.NewLoads()}
}

// plan returns the moves worth making now, at most once per planInterval.
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

// handleLoad passes the load report of an entry process to its cell.
func (d *Daemon) handleLoad(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	report, err := placement.DecodeReport(body)
	if err != nil {
		return nil, err
	}
	c := d.controller(cell.ID{Service: report.Service, Zone: report.Zone})
	if c == nil {
		return nil, nil
	}
	select {
	case c.reports <- report:
	default:
	}
	return nil, nil
}
