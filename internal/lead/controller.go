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
	// tickInterval is how often a cell's systems run.
	tickInterval = 50 * time.Millisecond
	// statusInterval is how often others see a cell's state anew.
	statusInterval = 250 * time.Millisecond
	// eventBuffer is how many events wait for a cell before senders wait too.
	eventBuffer = 256
	// orderTimeout bounds one order; a later renewal follows anyway.
	orderTimeout = time.Second
	// storeTimeout bounds one call to a slow store.
	storeTimeout = 12 * time.Second
	// peerTimeout bounds one message to a roster host.
	peerTimeout = 800 * time.Millisecond
)

// controller drives one cell: it hands events to the core in order and carries out
// the effects. It decides nothing itself.
type controller struct {
	daemon          *Daemon
	id              cell.ID
	core            *cell.Cell
	log             *slog.Logger
	cfg             cell.Config
	events          chan cell.Event
	reports         chan placement.Report
	placer          *placer
	stopped         chan struct{}
	quit            chan struct{} // closed once the goroutine is to end
	calls           sync.WaitGroup
	peers           map[place.Host]place.HostRow
	status          sharedStatus
	statusUpdatedAt time.Time
}

// newController returns a runner for the cell of cfg. It has to be run.
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

// send hands an event to the cell, waiting while its buffer is full.
func (r *controller) send(ctx context.Context, ev cell.Event) {
	select {
	case r.events <- ev:
	case <-ctx.Done():
	}
}

// run is the cell's one goroutine: all decisions are made here, in order.
func (r *controller) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.quit:
			return
		case ev := <-r.events:
			r.handle(ctx, ev)
		case report := <-r.reports:
			r.placer.loads.Add(time.Now(), report)
		case <-tick.C:
			now := time.Now()
			r.apply(ctx, r.core.Tick(now))
			r.updateStatus(now)
			r.planMoves(ctx, now)
		}
	}
}

// updateStatus lets other goroutines see the cell's state, at intervals.
func (r *controller) updateStatus(now time.Time) {
	if now.Sub(r.statusUpdatedAt) >= statusInterval {
		r.statusUpdatedAt = now
		r.status.store(r.core.Status(now))
	}
}

// planMoves hands the core the moves that placement wants, while this host leads.
func (r *controller) planMoves(ctx context.Context, now time.Time) {
	if !r.status.load().LeaseHeld {
		return
	}
	if moves := r.placer.plan(now, r.cfg); len(moves) > 0 {
		r.apply(ctx, r.core.Handle(now, cell.PlanReceived{Moves: moves}))
	}
}

// handle gives one event to the core.
func (r *controller) handle(ctx context.Context, ev cell.Event) {
	switch e := ev.(type) {
	case cell.FleetReceived:
		r.learnPeers(e.Hosts)
	case cell.ConfigChanged:
		r.cfg = e.Config
	}
	r.apply(ctx, r.core.Handle(time.Now(), ev))
}

// learnPeers notes where the hosts of the zone are reached. A host that left
// the list keeps its last address: the list lags and may be wrong.
func (r *controller) learnPeers(hosts []place.HostRow) {
	for _, h := range hosts {
		r.peers[h.Host] = h
	}
}

// apply carries out the effects of one step, in order. Calls go out in
// goroutines of their own; what they bring back comes in as an event.
func (r *controller) apply(ctx context.Context, effects []cell.Effect) {
	for _, eff := range effects {
		switch e := eff.(type) {
		case cell.ReadDoc:
			r.startCall(ctx, readCall{r})
		case cell.WriteDoc:
			r.startCall(ctx, writeCall{r, e})
		case cell.AcquireLease:
			r.startCall(ctx, acquireLeaseCall{r, e, time.Now()})
		case cell.ReleaseLease:
			r.startCall(ctx, releaseLeaseCall{r})
		case cell.SendOrder:
			r.startCall(ctx, orderCall{r, e, time.Now()})
		case cell.SendPeer:
			r.sendPeer(ctx, e)
		case cell.Publish:
			r.publish(e.Table)
		case cell.Log:
			r.log.Info(e.Text)
		case cell.Stopped:
			r.markStopped()
		}
	}
}

// call is one call to the outside.
type call interface{ run(ctx context.Context) }

// startCall makes a call in a goroutine of its own, bounded by the call's timeout.
func (r *controller) startCall(ctx context.Context, c call) {
	r.calls.Go(func() { c.run(ctx) })
}

// waitCalls waits for the calls under way, such as giving up the lease, until
// ctx ends.
func (r *controller) waitCalls(ctx context.Context) {
	w := waiter{controller: r, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// waiter closes done once no call is under way.
type waiter struct {
	*controller
	done chan struct{}
}

func (w waiter) run() {
	w.calls.Wait()
	close(w.done)
}

// sendPeer starts one message to a roster host whose address is known.
func (r *controller) sendPeer(ctx context.Context, e cell.SendPeer) {
	peer, ok := r.peers[e.To]
	if !ok {
		return
	}
	body, err := encodeEnvelope(envelope{id: r.id, message: e.Message})
	if err != nil {
		r.log.Error("Message not encoded.", slog.Any("error", err))
		return
	}
	r.startCall(ctx, peerCall{r, peer.LeadAddr, body})
}

// publish puts the cell's routing table on the board of this process.
func (r *controller) publish(t table.Table) {
	r.placer.table = t
	body, err := table.Encode(t)
	if err != nil {
		r.log.Error("Table not encoded.", slog.Any("error", err))
		return
	}
	r.daemon.replica.Publish(docsync.Document{
		Name:    tableName(r.id),
		Version: docsync.Version{Major: uint64(t.Version.Term), Minor: t.Version.Sequence},
		Body:    body,
	})
}

// cellRemoval ends a cell whose service is gone.
type cellRemoval struct{ *controller }

// run stops the cell in a planned way and then its goroutine.
func (d cellRemoval) run(ctx context.Context) {
	d.send(ctx, cell.StopRequested{})
	select {
	case <-d.stopped:
	case <-ctx.Done():
		return
	}
	d.waitCalls(ctx)
	close(d.quit)
}

// markStopped notes that the planned stop of the cell is complete.
func (r *controller) markStopped() {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

// tableName is the board's name of a cell's routing table.
func tableName(id cell.ID) docsync.Name {
	return docsync.TablePrefix + docsync.Name(id.Service) + "/" + docsync.Name(id.Zone)
}
