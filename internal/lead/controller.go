package lead

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/placement"
	"citrontray.example/citrontray/internal/table"
)

const (
	// tickInterval is the time between two ticks of a cell's core.
	tickInterval = 50 * time.Millisecond
	// statusInterval is the time between two updates of a cell's sharedStatus.
	statusInterval = 250 * time.Millisecond
	// eventBuffer is the number of events buffered for a cell before senders block.
	eventBuffer = 256
	// orderTimeout bounds one order. The next renewal makes up for a lost one.
	orderTimeout = time.Second
	// storeTimeout bounds one call to the store, which may be slow.
	storeTimeout = 12 * time.Second
	// peerTimeout bounds one message to a roster host.
	peerTimeout = 800 * time.Millisecond
)

// controller drives the core of one cell: it passes events to the core in order and
// carries out the effects. All decisions are the core's.
type controller struct {
	daemon          *Daemon
	id              cell.ID
	core            *cell.Cell
	log             *slog.Logger
	cfg             cell.Config
	events          chan cell.Event
	reports         chan placement.Report
	placer          *placer
	stopped         chan struct{} // closed once the graceful stop is complete
	quit            chan struct{} // closed to end the goroutine
	calls           sync.WaitGroup
	peers           map[place.Host]place.HostRow
	status          sharedStatus
	statusUpdatedAt time.Time
}

// newController returns a controller for the cell of cfg. The caller starts run.
func newController(d *Daemon, cfg cell.Config) *controller {
	return &controller{
		daemon:  d,
		id:      cfg.ID,
		core:    cell.New(cfg),
		log:     d.log.With(slog.String("service", string(cfg.ID.Service))),
		cfg:     cfg,
		events:  make(chan cell.Event, eventBuffer),
		reports: make(chan placement.Report, reportBuffer),
		placer:  newPlacer(),
		stopped: make(chan struct{}),
		quit:    make(chan struct{}),
		peers:   make(map[place.Host]place.HostRow),
	}
}

// send queues an event for the cell. It blocks while the buffer is full, until ctx is
// done.
func (c *controller) send(ctx context.Context, ev cell.Event) {
	select {
	case c.events <- ev:
	case <-ctx.Done():
	}
}

// run is the cell's goroutine, the only one that calls the core. It handles events in
// order.
func (c *controller) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.quit:
			return
		case ev := <-c.events:
			c.handle(ctx, ev)
		case report := <-c.reports:
			c.placer.loads.Add(time.Now(), report)
		case <-tick.C:
			now := time.Now()
			c.apply(ctx, c.core.Tick(now))
			c.updateStatus(now)
			c.planMoves(ctx, now)
		}
	}
}

// updateStatus updates the status for other goroutines, once per statusInterval.
func (c *controller) updateStatus(now time.Time) {
	if now.Sub(c.statusUpdatedAt) >= statusInterval {
		c.statusUpdatedAt = now
		c.status.store(c.core.Status(now))
	}
}

// planMoves passes the moves that placement plans to the core, while this host holds the
// cell's lease.
func (c *controller) planMoves(ctx context.Context, now time.Time) {
	if !c.status.load().LeaseHeld {
		return
	}
	if moves := c.placer.plan(now, c.cfg); len(moves) > 0 {
		c.apply(ctx, c.core.Handle(now, cell.PlanReceived{Moves: moves}))
	}
}

// handle passes one event to the core, and keeps the hosts and the configuration for the
// controller itself.
func (c *controller) handle(ctx context.Context, ev cell.Event) {
	switch e := ev.(type) {
	case cell.FleetReceived:
		c.learnPeers(e.Hosts)
	case cell.ConfigChanged:
		c.cfg = e.Config
	}
	c.apply(ctx, c.core.Handle(time.Now(), ev))
}

// learnPeers records the addresses of the zone's hosts. A host that is no longer listed
// keeps its last address, as the list lags and may be wrong.
func (c *controller) learnPeers(hosts []place.HostRow) {
	for _, h := range hosts {
		c.peers[h.Host] = h
	}
}

// apply carries out the effects of one step, in order. Each call runs in its own
// goroutine and returns a result, if any, as an event.
func (c *controller) apply(ctx context.Context, effects []cell.Effect) {
	for _, eff := range effects {
		switch e := eff.(type) {
		case cell.ReadDoc:
			c.startCall(ctx, readCall{c})
		case cell.WriteDoc:
			c.startCall(ctx, writeCall{c, e})
		case cell.AcquireLease:
			c.startCall(ctx, acquireLeaseCall{c, e, time.Now()})
		case cell.ReleaseLease:
			c.startCall(ctx, releaseLeaseCall{c})
		case cell.SendOrder:
			c.startCall(ctx, orderCall{c, e, time.Now()})
		case cell.SendPeer:
			c.sendPeer(ctx, e)
		case cell.Publish:
			c.publish(e.Table)
		case cell.Log:
			c.log.Info(e.Text)
		case cell.Stopped:
			c.markStopped()
		}
	}
}

// call is one call to the store, a target or a peer.
type call interface{ run(ctx context.Context) }

// startCall runs a call in its own goroutine. The call limits its own duration.
func (c *controller) startCall(ctx context.Context, op call) {
	c.calls.Go(func() { op.run(ctx) })
}

// waitCalls waits until no call is in flight, such as the release of the lease, or ctx is
// done.
func (c *controller) waitCalls(ctx context.Context) {
	w := waiter{controller: c, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// waiter closes done once no call is in flight.
type waiter struct {
	*controller
	done chan struct{}
}

func (w waiter) run() {
	w.calls.Wait()
	close(w.done)
}

// sendPeer starts sending a message to a roster host, if its address is known.
func (c *controller) sendPeer(ctx context.Context, e cell.SendPeer) {
	host, ok := c.peers[e.To]
	if !ok {
		return
	}
	body, err := encodeEnvelope(envelope{id: c.id, message: e.Message})
	if err != nil {
		c.log.Error("Message not encoded.", slog.Any("error", err))
		return
	}
	c.startCall(ctx, peerCall{c, host.LeadAddr, body})
}

// publish publishes the cell's routing table in the replica.
func (c *controller) publish(t table.Table) {
	c.placer.table = t
	body, err := table.Encode(t)
	if err != nil {
		c.log.Error("Routing table not encoded.", slog.Any("error", err))
		return
	}
	c.daemon.replica.Publish(docsync.Document{
		Name:    tableName(c.id),
		Version: docsync.Version{Major: uint64(t.Version.Term), Minor: t.Version.Sequence},
		Body:    body,
	})
}

// cellRemoval ends the cell of a service that was removed from this zone.
type cellRemoval struct{ *controller }

// run stops the cell gracefully, then ends its goroutine.
func (r cellRemoval) run(ctx context.Context) {
	r.send(ctx, cell.StopRequested{})
	select {
	case <-r.stopped:
	case <-ctx.Done():
		return
	}
	r.waitCalls(ctx)
	close(r.quit)
}

// markStopped records that the graceful stop of the cell is complete.
func (c *controller) markStopped() {
	select {
	case <-c.stopped:
	default:
		close(c.stopped)
	}
}

// tableName returns the document name of a cell's routing table.
func tableName(id cell.ID) docsync.Name {
	return docsync.TablePrefix + docsync.Name(id.Service) + "/" + docsync.Name(id.Zone)
}
