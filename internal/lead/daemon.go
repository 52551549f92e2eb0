// Package lead implements citrontray-lead, the lead process that runs on every entry
// host. It runs the cells of its zone, watches the store, replicates documents and
// maintains the custody documents. It does the I/O; the packages cell and custody decide.
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

// Config holds the identity and the timing of a lead process.
type Config struct {
	Host        place.Host
	Zone        place.Zone
	PeerAddr    netip.AddrPort
	Incarnation place.Incarnation
	Timing      cell.Timing
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
}

// Environment holds the external dependencies of a lead process.
type Environment struct {
	Store         platform.Store
	Transport     peer.Transport
	Replica       docsync.Replica
	TargetControl target.Control
	Log           *slog.Logger
}

// Daemon runs the cells and the custody keeper of a lead process.
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

// New returns a daemon and registers its message handlers with the transport.
func New(cfg Config, env Environment) *Daemon {
	d := &Daemon{
		cfg:           cfg,
		store:         env.Store,
		transport:     env.Transport,
		replica:       env.Replica,
		targetControl: env.TargetControl,
		log:           env.Log,
		startedAt:     time.Now(),
		viewBuilder:   newViewBuilder(env.Replica, env.Log),
		controllers:   make(map[cell.ID]*controller),
	}
	d.transport.Handle(peer.KindCell, d.handleCell)
	d.transport.Handle(peer.KindLoad, d.handleLoad)
	d.transport.Handle(peer.KindStatus, d.handleStatus)
	return d
}

// Run runs until ctx is done, then stops every cell gracefully: a cell that leads hands
// its leadership over. It waits for the cells at most Config.StopTimeout.
func (d *Daemon) Run(ctx context.Context) error {
	// The cells outlive ctx, as their goroutines carry out the handover.
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

// stopCells stops all cells and waits for their handovers and calls in flight.
func (d *Daemon) stopCells() {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.StopTimeout)
	defer cancel()
	controllers := d.allControllers()
	for _, c := range controllers {
		c.send(ctx, cell.StopRequested{})
	}
	for _, c := range controllers {
		select {
		case <-c.stopped:
		case <-ctx.Done():
			d.log.Warn("Cell not stopped before the stop timeout.", slog.String("service", string(c.id.Service)))
		}
	}
	for _, c := range controllers {
		c.waitCalls(ctx)
	}
}

// handleCell passes a message of another lead process of the zone to its cell.
func (d *Daemon) handleCell(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
	if from.Role != peer.RoleLead || from.Zone != d.cfg.Zone {
		return nil, fmt.Errorf("lead: %s process of %s/%s may not send cell messages to zone %s", from.Role, from.Zone, from.Host, d.cfg.Zone)
	}
	e, err := decodeEnvelope(body)
	if err != nil {
		return nil, err
	}
	if c := d.controller(e.id); c != nil {
		c.send(ctx, cell.PeerReceived{From: from.Host, Message: e.message})
	}
	return nil, nil
}

// handleStatus responds with the host's name. Peers call it to check that this process is
// reachable.
func (d *Daemon) handleStatus(context.Context, peer.Identity, []byte) ([]byte, error) {
	return []byte(d.cfg.Host), nil
}

// controller returns the controller of a cell, or nil if this process has none.
func (d *Daemon) controller(id cell.ID) *controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.controllers[id]
}

// allControllers returns the controllers of all cells, in no order.
func (d *Daemon) allControllers() []*controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*controller, 0, len(d.controllers))
	for _, c := range d.controllers {
		out = append(out, c)
	}
	return out
}

// cellConfig returns the core's configuration for a service in this zone.
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
