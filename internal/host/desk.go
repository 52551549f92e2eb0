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
	// deskRest is the longest time between two looks at what waits, deskTick
	// the shortest: timers of a few milliseconds cost more than they bring.
	deskRest = 2 * time.Second
	deskTick = 10 * time.Millisecond
	// maxDatagram bounds a message; every path carries it in one piece.
	maxDatagram = 1400
)

// desk gets tickets for this host's requests and runs the homes of the pools
// that this host holds. Its messages are single datagrams: each is repaired by
// a repetition or the next report, so a connection with state of its own, which
// would have to be set up again after each cut, gains nothing.
type desk struct {
	self dispatch.Peer
	log  *slog.Logger
	conn *net.UDPConn
	// address returns where a host takes messages now.
	address func(place.Host) (netip.AddrPort, bool)
	catalog func() dispatch.Catalog
	// guard runs what a datagram wants, and reports whether it came to its end.
	guard func(part string, f func()) bool
	// others take the datagrams that are not tickets, by their first byte.
	others map[byte]func(body []byte)

	// timer ends when the next look is due; who changes what waits sets it, so that
	// the process sleeps where nothing does.
	timer *time.Timer

	mu sync.Mutex
	// wakes is when the next look is planned.
	wakes  time.Time
	client *dispatch.Client
	home   *dispatch.Home
	waits  map[dispatch.TicketID]chan verdict
	// learned are the addresses that hosts last wrote from: one that started
	// while the store was away is in no list.
	learned map[place.Host]netip.AddrPort
	reach   *dispatch.Reachability
	// backoffs are what targets have asked of this host.
	backoffs *dispatch.Backoffs
}

// Members implements dispatch.Catalog by the view in force.
func (d *desk) Members(pool dispatch.PoolID) []place.TargetRow { return d.catalog().Members(pool) }

func newDesk(self dispatch.Peer, conn *net.UDPConn, log *slog.Logger, homes dispatch.Homes) *desk {
	d := &desk{
		self: self, log: log, conn: conn, timer: time.NewTimer(deskRest),
		client: dispatch.NewClient(homes),
		waits:  make(map[dispatch.TicketID]chan verdict),

		learned: make(map[place.Host]netip.AddrPort),
		reach:   dispatch.NewReachability(),

		backoffs: dispatch.NewBackoffs(),
	}
	d.home = dispatch.NewHome(d)
	return d
}

// run takes messages and lets time pass until ctx ends.
func (d *desk) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("tickets: %w", err)
		}
		d.takeGuarded(time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// takeGuarded takes a datagram. One that makes a part panic ends with what the
// homes here knew: hosts report within moments what they have in use.
func (d *desk) takeGuarded(now time.Time, source netip.AddrPort, body []byte) {
	if d.guard("datagram", func() { d.take(now, source, body) }) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.home = dispatch.NewHome(d)
}

// loop lets time pass until ctx ends.
func (d *desk) loop(ctx context.Context) error {
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

func (d *desk) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.Tick(now)
	d.wakes = time.Time{}
	d.flush(now, d.home.Tick(now))
}

// plan sets when the next look is due. The caller holds mu.
func (d *desk) plan(now time.Time) {
	wakes := now.Add(deskRest)
	for _, next := range []time.Time{d.client.NextTick(), d.home.NextTick(now)} {
		if !next.IsZero() && next.Before(wakes) {
			wakes = next
		}
	}
	if least := now.Add(deskTick); wakes.Before(least) {
		wakes = least
	}
	// A look that comes a little early is as good, and costs no change of the timer.
	if early := wakes.Sub(d.wakes); !d.wakes.IsZero() && early >= 0 && early < deskTick {
		return
	}
	d.wakes = wakes
	d.timer.Reset(wakes.Sub(now))
}

// The first byte of a datagram.
const (
	datagramTicket byte = 't'
	datagramReport byte = 'r'
	datagramNotice byte = 'n'
	// datagramReading is what a watcher has read.
	datagramReading byte = 'w'
	// datagramPresence is that a host is there.
	datagramPresence byte = 'p'
)

func (d *desk) take(now time.Time, source netip.AddrPort, body []byte) {
	if len(body) < 2 {
		return
	}
	if other := d.others[body[0]]; other != nil {
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
	d.learned[from.Host] = source
	d.reach.RecordMessage(now, from.Zone)
	d.handle(now, from, m)
}

// handle takes one message. The caller holds mu.
func (d *desk) handle(now time.Time, from dispatch.Peer, m dispatch.Message) {
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
func (d *desk) flush(now time.Time, letters []dispatch.PeerMessage) {
	defer d.plan(now)
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
			if ch := d.waits[v.ID]; ch != nil {
				ch <- verdict{v.Message, v.Home, v.Isolated} // it has room for the one verdict
				delete(d.waits, v.ID)
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
func (d *desk) logDenials() {
	for _, n := range d.home.Refusals() {
		d.log.Info("Ticket refused.", slog.String("asker", string(n.Host)), slog.Uint64("ticket", uint64(n.ID)),
			slog.String("service", string(n.Pool.Service)), slog.String("pool", string(n.Pool.Target)+string(n.Pool.Zone)),
			slog.String("reason", n.Reason.String()), millis("waited", n.Wait), millis("end", n.Estimate), millis("left", n.Remaining),
			slog.Int("waiting", n.Waiting), slog.Int("open", n.Available), slog.Float64("pressure", n.Pressure), slog.Bool("cold", n.Cold),
			millis("retry", n.RetryAfter))
	}
}

// millis is a duration in a log line, in milliseconds.
func millis(name string, d time.Duration) slog.Attr {
	return slog.Float64(name, float64(d.Microseconds())/1000)
}

// send writes one datagram. One that is lost is like one that was not sent.
// The caller holds mu.
func (d *desk) send(to place.Host, m dispatch.Message) {
	addr, ok := d.address(to)
	if !ok {
		if addr, ok = d.learned[to]; !ok {
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

func (d *desk) write(addr netip.AddrPort, kind byte, body []byte) {
	datagram := append([]byte{kind}, body...)
	if len(datagram) > maxDatagram {
		d.log.Error("Message too long, dropped.", slog.Int("bytes", len(datagram)))
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(datagram, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		d.log.Debug("Datagram not sent.", slog.String("to", addr.String()), slog.Any("error", err))
	}
}

// verdict is the end of an ask, and the home that it came from.
type verdict struct {
	dispatch.Message

	home  place.Host
	alone bool
}

// refresh tells the homes that the view changed.
func (d *desk) refresh(now time.Time, v *view) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backoffs.Prune(now, func(name place.Target) bool { _, ok := v.targets[name]; return ok })
	d.flush(now, d.home.Refresh(now))
}

// ask starts an ask. The channel gets a Placed or a Refused, or nothing after
// cancel.
func (d *desk) ask(now time.Time, a dispatch.Acquire) (dispatch.TicketID, <-chan verdict) {
	ch := make(chan verdict, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.client.Acquire(now, a)
	d.waits[id] = ch
	d.flush(now, nil)
	return id, ch
}

// cancel takes an ask back; it reports false where its end has come before.
func (d *desk) cancel(now time.Time, id dispatch.TicketID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waits[id] == nil {
		return false
	}
	delete(d.waits, id)
	d.client.Cancel(id)
	d.flush(now, nil)
	return true
}

// done gives a ticket back.
func (d *desk) done(now time.Time, id dispatch.TicketID, end dispatch.Result, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end == dispatch.ResultServed {
		d.home.Observe(d.client.Class(id), took)
	}
	d.client.Done(now, id, end, took)
	d.flush(now, nil)
}

// tried notes how an attempt at a target of a zone ended.
func (d *desk) tried(zone place.Zone, end dispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reach.RecordAttempt(zone, end)
}

// heed takes what a target asks of this host in an answer, and reports whether the
// home of its pool was told that it leaves.
func (d *desk) heed(now time.Time, pool dispatch.PoolID, row place.TargetRow, s target.Signal) bool {
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
func (d *desk) backoff(now time.Time, row place.TargetRow) (leaving time.Time, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backoffs.State(now, row.Target, row.Incarnation)
}

// excluded returns the targets among rows that want no new request of this host.
func (d *desk) excluded(now time.Time, rows []place.TargetRow) []place.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backoffs.Excluded(now, rows)
}

// cutOff reports whether a cut has left this host with too few targets to take
// clients.
func (d *desk) cutOff(now time.Time, v *view) bool {
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

// leave tells the hosts that this one stops.
func (d *desk) leave(hosts []member.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		if h.Name != d.self.Host {
			d.send(h.Name, dispatch.Leave{})
		}
	}
	d.client.Receive(time.Now(), d.self.Host, dispatch.Leave{})
}

// started tells that a host has another life.
func (d *desk) started(host place.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.Started(host)
}

// opinions returns what the homes here know of their targets.
func (d *desk) opinions(now time.Time) []dispatch.TargetStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home.TargetStats(now)
}

// pools returns the state of the pools held here.
func (d *desk) pools() []dispatch.PoolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home.Pools()
}
