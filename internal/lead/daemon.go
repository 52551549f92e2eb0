// Package lead is the shell around the ownership core: one process on every
// entry host, which runs the cells of its zone, watches the platform, spreads
// documents and keeps custody. It does the I/O; cell and custody decide.
package lead

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/target"
)

// Config is what a lead process learns from its flags.
type Config struct {
	Host        place.Host
	Zone        place.Zone
	PeerAddr    netip.AddrPort
	Incarnation place.Incarnation
	Timing      cell.Timing
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
}

// Environment are the outside interfaces of a lead process.
type Environment struct {
	Store         platform.Store
	Transport     peer.Transport
	Replica       docsync.Replica
	TargetControl target.Control
	Log           *slog.Logger
}

// Daemon is a lead process.
type Daemon struct {
	cfg           Config
	store         platform.Store
	transport     peer.Transport
	replica       docsync.Replica
	targetControl target.Control
	log           *slog.Logger
	startedAt     time.Time
	viewBuilder   *viewBuilder

	mu          sync.Mutex
	controllers map[cell.ID]*controller
}

// New returns a lead process and sets its message handlers on the link.
func New(cfg Config, parts Environment) *Daemon {
	d := &Daemon{
		cfg:           cfg,
		store:         parts.Store,
		transport:     parts.Transport,
		replica:       parts.Replica,
		targetControl: parts.TargetControl,
		log:           parts.Log,
		startedAt:     time.Now(),
		viewBuilder:   newViewBuilder(parts.Replica, parts.Log),
		controllers:   make(map[cell.ID]*controller),
	}
	d.transport.Handle(peer.KindCell, d.handleCell)
	d.transport.Handle(peer.KindLoad, d.handleLoad)
	d.transport.Handle(peer.KindStatus, d.handleStatus)
	return d
}

// Run works until ctx ends, then stops every cell in a planned way: each hands
// its lead over within Config.StopTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	// The cells outlive ctx: they need their goroutines for the handover.
	cells, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return reconciler{d, cells}.run(inner) })
	group.Go(func() error { return newCustodyKeeper(d).run(inner) })
	err := group.Wait()
	d.stopCells()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stopCells asks all cells to stop and waits for them.
func (d *Daemon) stopCells() {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.StopTimeout)
	defer cancel()
	runners := d.allControllers()
	for _, r := range runners {
		r.send(ctx, cell.StopRequested{})
	}
	for _, r := range runners {
		select {
		case <-r.stopped:
		case <-ctx.Done():
			d.log.Warn("Cell not handed over in time.", slog.String("service", string(r.id.Service)))
		}
	}
	for _, r := range runners {
		r.waitCalls(ctx)
	}
}

// handleCell passes a message of another lead on to its cell.
func (d *Daemon) handleCell(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
	if from.Role != peer.RoleLead || from.Zone != d.cfg.Zone {
		return nil, fmt.Errorf("lead: %s of %s/%s takes no part in the cells of %s", from.Role, from.Zone, from.Host, d.cfg.Zone)
	}
	e, err := decodeEnvelope(body)
	if err != nil {
		return nil, err
	}
	if r := d.controller(e.id); r != nil {
		r.send(ctx, cell.PeerReceived{From: from.Host, Message: e.message})
	}
	return nil, nil
}

// handleStatus answers a peer's question whether this process runs.
func (d *Daemon) handleStatus(context.Context, peer.Identity, []byte) ([]byte, error) {
	return []byte(d.cfg.Host), nil
}

// controller returns the runner of a cell, or nil.
func (d *Daemon) controller(id cell.ID) *controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controllers[id]
}

// allControllers returns the runners of all cells.
func (d *Daemon) allControllers() []*controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*controller, 0, len(d.controllers))
	for _, r := range d.controllers {
		out = append(out, r)
	}
	return out
}

// cellConfig derives the core's configuration from the settings.
func (d *Daemon) cellConfig(v *view, s settings.Service) cell.Config {
	return cell.Config{
		ID:               cell.ID{Service: s.Name, Zone: d.cfg.Zone},
		Self:             d.cfg.Host,
		SelfAddr:         d.cfg.PeerAddr,
		Incarnation:      d.cfg.Incarnation,
		Timing:           d.cfg.Timing,
		Shards:           v.shards(s),
		ChecksTerms:      s.ChecksTerms,
		RenewLimit:       s.Hold,
		MovesPerMinute:   s.MovesPerMinute,
		ImbalancePercent: s.ImbalancePercent,
		WarmUp:           s.WarmUp,
	}
}
