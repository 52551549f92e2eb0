package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxTickInterval is the longest time between two looks at what waits, deskTick
	// the shortest: timers of a few milliseconds cost more than they bring.
	maxTickInterval = 2 * time.Second
	minTickInterval = 10 * time.Millisecond
	// maxDatagramBytes bounds a message; every path carries it in one piece.
	maxDatagramBytes = 1400
)

// dispatcher gets tickets for this host's requests and runs the homes of the pools
// that this host holds. Its messages are single datagrams: each is repaired by
// a repetition or the next report, so a connection with state of its own, which
// would have to be set up again after each cut, gains nothing.
type dispatcher struct {
	self dispatch.Peer
	log  *slog.Logger
	conn *net.UDPConn
	// address returns where a host takes messages now.
	address func(place.Host) (netip.AddrPort, bool)
	catalog func() dispatch.Catalog
	// guard runs what a datagram wants, and reports whether it came to its end.
	guard func(part string, f func()) bool
	// handlers take the datagrams that are not tickets, by their first byte.
	handlers map[byte]func(body []byte)

	// timer ends when the next look is due; who changes what waits sets it, so that
	// the process sleeps where nothing does.
	timer *time.Timer

	mu sync.Mutex
	// nextTick is when the next look is planned.
	nextTick time.Time
	client   *dispatch.Client
	home     *dispatch.Home
	pending  map[dispatch.TicketID]chan ticketReply
	// observedAddrs are the addresses that hosts last wrote from: one that started
	// while the store was away is in no list.
	observedAddrs map[place.Host]netip.AddrPort
	reach         *dispatch.Reachability
	// backoffs are what targets have asked of this host.
	backoffs *dispatch.Backoffs
}

// Members implements dispatch.Catalog by the view in force.
func (d *dispatcher) Members(pool dispatch.PoolID) []place.TargetRow {
	return d.catalog().Members(pool)
}

func newDispatcher(self dispatch.Peer, conn *net.UDPConn, log *slog.Logger, homes dispatch.Homes) *dispatcher {
	d := &dispatcher{
		self: self, log: log, conn: conn, timer: time.NewTimer(maxTickInterval),
		client:  dispatch.NewClient(homes),
		pending: make(map[dispatch.TicketID]chan ticketReply),

		observedAddrs: make(map[place.Host]netip.AddrPort),
		reach:         dispatch.NewReachability(),

		backoffs: dispatch.NewBackoffs(),
	}
	d.home = dispatch.NewHome(d)
	return d
}

// run takes messages and lets time pass until ctx ends.
func (d *dispatcher) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("tickets: %w", err)
		}
		d.handleGuarded(time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// handleGuarded takes a datagram. One that makes a part panic ends with what the
// homes here knew: hosts report within moments what they have in use.
func (d *dispatcher) handleGuarded(now time.Time, source netip.AddrPort, body []byte) {
	if d.guard("datagram", func() { d.handleDatagram(now, source, body) }) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.home = dispatch.NewHome(d)
}

// loop lets time pass until ctx ends.
func (d *dispatcher) loop(ctx context.Context) error {
	defer d.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-d.timer.C:
			d.tick(now)
		}
	}
}

func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.Tick(now)
	d.nextTick = time.Time{}
	d.flush(now, d.home.Tick(now))
}

// scheduleTick sets when the next look is due. The caller holds mu.
func (d *dispatcher) scheduleTick(now time.Time) {
	wakes := now.Add(maxTickInterval)
	for _, next := range []time.Time{d.client.NextTick(), d.home.NextTick(now)} {
		if !next.IsZero() && next.Before(wakes) {
			wakes = next
		}
	}
	if least := now.Add(minTickInterval); wakes.Before(least) {
		wakes = least
	}
	// A look that comes a little early is as good, and costs no change of the timer.
	if early := wakes.Sub(d.nextTick); !d.nextTick.IsZero() && early >= 0 && early < minTickInterval {
		return
	}
	d.nextTick = wakes
	d.timer.Reset(wakes.Sub(now))
}

// The first byte of a datagram.
const (
	datagramTicket byte = 't'
	datagramReport byte = 'r'
	datagramNotice byte = 'n'
	// datagramDigest is what a watcher has read.
	datagramDigest byte = 'w'
	// datagramPresence is that a host is there.
	datagramPresence byte = 'p'
)

func (d *dispatcher) handleDatagram(now time.Time, source netip.AddrPort, body []byte) {
	if len(body) < 2 {
		return
	}
	if other := d.handlers[body[0]]; other != nil {
		other(body[1:])
		return
	}
	from, m, err := dispatch.Decode(body[1:])
	if body[0] != datagramTicket || err != nil {
		d.log.Warn("Datagram not readable, dropped.", slog.Any("error", err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observedAddrs[from.Host] = source
	d.reach.RecordMessage(now, from.Zone)
	d.handleMessage(now, from, m)
}

// handleMessage takes one message. The caller holds mu.
func (d *dispatcher) handleMessage(now time.Time, from dispatch.Peer, m dispatch.Message) {
	switch m.(type) {
	case dispatch.Assigned, dispatch.Queued, dispatch.Refused, dispatch.Pong, dispatch.Leave:
		d.client.Receive(now, from.Host, m)
		d.flush(now, nil)
	default:
		d.flush(now, d.home.Handle(now, from, m))
	}
}

// flush sends what the home and the client want sent; what is for this host
// itself is handled at once. The caller holds mu.
func (d *dispatcher) flush(now time.Time, letters []dispatch.PeerMessage) {
	defer d.scheduleTick(now)
	for {
		for _, l := range letters {
			if l.To.Host == d.self.Host {
				if l.To.Incarnation == d.self.Incarnation {
					d.client.Receive(now, d.self.Host, l.Message)
				}
				continue
			}
			d.send(l.To.Host, l.Message)
		}
		letters = letters[:0]
		d.logDenials()
		deliveries, verdicts := d.client.Flush()
		for _, v := range verdicts {
			if ch := d.pending[v.ID]; ch != nil {
				ch <- ticketReply{v.Message, v.Home, v.Isolated} // it has room for the one verdict
				delete(d.pending, v.ID)
			}
		}
		if len(deliveries) == 0 {
			return
		}
		for _, delivery := range deliveries {
			if delivery.To == d.self.Host {
				letters = append(letters, d.home.Handle(now, d.self, delivery.Message)...)
				continue
			}
			d.send(delivery.To, delivery.Message)
		}
	}
}

// logDenials writes a line for each refusal of the homes here; the asking host's
// line of the request names this host and the ticket.
func (d *dispatcher) logDenials() {
	for _, n := range d.home.Refusals() {
		d.log.Info("Ticket refused.", slog.String("asker", string(n.Host)), slog.Uint64("ticket", uint64(n.ID)),
			slog.String("service", string(n.Pool.Service)), slog.String("pool", string(n.Pool.Target)+string(n.Pool.Zone)),
			slog.String("reason", n.Reason.String()), millisAttr("waited", n.Wait), millisAttr("end", n.Estimate), millisAttr("left", n.Remaining),
			slog.Int("waiting", n.Waiting), slog.Int("open", n.Available), slog.Float64("pressure", n.Pressure), slog.Bool("cold", n.Cold),
			millisAttr("retry", n.RetryAfter))
	}
}

// millisAttr is a duration in a log line, in milliseconds.
func millisAttr(name string, d time.Duration) slog.Attr {
	return slog.Float64(name, float64(d.Microseconds())/1000)
}

// send writes one datagram. One that is lost is like one that was not sent.
// The caller holds mu.
func (d *dispatcher) send(to place.Host, m dispatch.Message) {
	addr, ok := d.address(to)
	if !ok {
		if addr, ok = d.observedAddrs[to]; !ok {
			return
		}
	}
	body, err := dispatch.Encode(d.self, m)
	if err != nil {
		d.log.Error("Message not written.", slog.Any("error", err))
		return
	}
	d.write(addr, datagramTicket, body)
}

func (d *dispatcher) write(addr netip.AddrPort, kind byte, body []byte) {
	datagram := append([]byte{kind}, body...)
	if len(datagram) > maxDatagramBytes {
		d.log.Error("Message too long, dropped.", slog.Int("bytes", len(datagram)))
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(datagram, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Debug("Datagram not sent.", slog.String("to", addr.String()), slog.Any("error", err))
	}
}

// ticketReply is the end of an ask, and the home that it came from.
type ticketReply struct {
	dispatch.Message

	home     place.Host
	isolated bool
}

// refresh tells the homes that the view changed.
func (d *dispatcher) refresh(now time.Time, v *view) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backoffs.Prune(now, func(name place.Target) bool { _, ok := v.targets[name]; return ok })
	d.flush(now, d.home.Refresh(now))
}

// acquire starts an ask. The channel gets a Placed or a Refused, or nothing after
// cancel.
func (d *dispatcher) acquire(now time.Time, a dispatch.Acquire) (dispatch.TicketID, <-chan ticketReply) {
	ch := make(chan ticketReply, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.client.Acquire(now, a)
	d.pending[id] = ch
	d.flush(now, nil)
	return id, ch
}

// cancel takes an ask back; it reports false where its end has come before.
func (d *dispatcher) cancel(now time.Time, id dispatch.TicketID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[id] == nil {
		return false
	}
	delete(d.pending, id)
	d.client.Cancel(id)
	d.flush(now, nil)
	return true
}

// release gives a ticket back.
func (d *dispatcher) release(now time.Time, id dispatch.TicketID, end dispatch.Result, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end == dispatch.ResultServed {
		d.home.Observe(d.client.Class(id), took)
	}
	d.client.Done(now, id, end, took)
	d.flush(now, nil)
}

// recordAttempt notes how an attempt at a target of a zone ended.
func (d *dispatcher) recordAttempt(zone place.Zone, end dispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reach.RecordAttempt(zone, end)
}

// recordSignal takes what a target asks of this host in an answer, and reports whether the
// home of its pool was told that it leaves.
func (d *dispatcher) recordSignal(now time.Time, pool dispatch.PoolID, row place.TargetRow, s target.Signal) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	tell := d.backoffs.Record(now, row.Target, row.Incarnation, s)
	if tell {
		d.client.Drain(pool, row.Target)
		d.flush(now, nil)
	}
	return tell
}

// backoff returns since when a target has said that it leaves, zero if it has not,
// and how much longer it wants no requests of this host.
func (d *dispatcher) backoff(now time.Time, row place.TargetRow) (leaving time.Time, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backoffs.State(now, row.Target, row.Incarnation)
}

// excluded returns the targets among rows that want no new request of this host.
func (d *dispatcher) excluded(now time.Time, rows []place.TargetRow) []place.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backoffs.Excluded(now, rows)
}

// isolated reports whether a cut has left this host with too few targets to take
// clients.
func (d *dispatcher) isolated(now time.Time, v *view) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reach.Suspected() {
		return false
	}
	zones := make(map[place.Zone]dispatch.ZoneState)
	for _, t := range v.targets {
		z := zones[t.Zone]
		z.Targets++
		zones[t.Zone] = z
	}
	for _, m := range v.members.Hosts {
		z := zones[m.Zone]
		z.Hosts++
		if d.client.Suspects(m.Name) {
			z.Suspects++
		}
		zones[m.Zone] = z
	}
	return d.reach.Partitioned(now, d.self.Zone, zones)
}

// announceStop tells the hosts that this one stops.
func (d *dispatcher) announceStop(hosts []member.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		if h.Name != d.self.Host {
			d.send(h.Name, dispatch.Leave{})
		}
	}
	d.client.Receive(time.Now(), d.self.Host, dispatch.Leave{})
}

// hostRestarted tells that a host has another life.
func (d *dispatcher) hostRestarted(host place.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.Started(host)
}

// targetStats returns what the homes here know of their targets.
func (d *dispatcher) targetStats(now time.Time) []dispatch.TargetStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home.TargetStats(now)
}

// pools returns the state of the pools held here.
func (d *dispatcher) pools() []dispatch.PoolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home.Pools()
}
