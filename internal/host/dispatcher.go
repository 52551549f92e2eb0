package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxTickInterval and minTickInterval limit the time between two ticks. Timers of a
	// few milliseconds cost more than they gain.
	maxTickInterval = 2 * time.Second
	minTickInterval = 10 * time.Millisecond
	// maxDatagramBytes is small enough to avoid IP fragmentation on every path.
	maxDatagramBytes = 1400
)

// dispatcher acquires tickets for this host's requests and runs the homes of the pools
// that are scheduled here. Each message is a single datagram. A lost one is repaired by
// a resend or the next report, so a connection, which would have to be set up again
// after each network partition, gains nothing.
type dispatcher struct {
	self      dispatch.Peer
	startedAt time.Time
	// listedAt is when this incarnation was first listed as a host.
	listedAt time.Time
	log      *slog.Logger
	conn     *net.UDPConn
	// address returns the current ticket address of a host.
	address func(place.Host) (netip.AddrPort, bool)
	// guard runs f and reports whether it returned without a panic.
	guard func(part string, f func()) bool
	// handlers handle the datagrams other than ticket messages, by their first byte. They
	// return an error for one that is not decodable.
	handlers map[byte]func(body []byte) error

	// timer fires at the next tick. It is reset whenever pending work changes, so that
	// the process sleeps while there is none.
	timer *time.Timer

	mu sync.Mutex
	// nextTick is the time that timer is set to, zero if it fired.
	nextTick time.Time
	client   *dispatch.Client
	home     *dispatch.Home
	pending  map[dispatch.TicketID]chan ticketReply
	// observedAddrs are the source addresses of the last datagrams. A host that started
	// during a store outage is in no list.
	observedAddrs map[place.Host]netip.AddrPort
	reach         *dispatch.Reachability
	// backoffs are the signals that targets sent to this host.
	backoffs *dispatch.Backoffs
	// invalidLoads are the incarnations of targets that reported an invalid load.
	invalidLoads map[place.Target]place.Incarnation
	// loadShares holds, by service, the moving share of responses to this host that state the
	// target's load.
	loadShares map[key.Service]float64
	// view returns the view in force.
	view func() *view
	// knowsLimits is whether this host knows a rate limit from a response.
	knowsLimits atomic.Bool
	// verdict returns the verdict on a request.
	verdict func(now time.Time, f quarantine.Fingerprint) quarantine.Verdict
	// coldBound returns how many requests a cold target of a service may get.
	coldBound func(service key.Service) dispatch.ColdBound
	// onLimited is called with each notice about a rate limit.
	onLimited func(m dispatch.Limited)
	// onLeave is called with each host that announces its stop.
	onLeave func(from place.Host)
	// onLimitChange is called with each change of a limit at the homes here.
	onLimitChange func(e dispatch.LimitEvent)
	// onResent is called with the service of each Acquire that was sent again.
	onResent func(service key.Service)
	// onAdmissions is called with what admission control did in the pools of a service.
	onAdmissions func(service key.Service, c dispatch.AdmissionCounts)
	// homeOptions are the options of the homes.
	homeOptions []dispatch.HomeOption
}

// Members implements dispatch.Catalog with the view in force.
func (d *dispatcher) Members(pool dispatch.PoolID) []place.TargetRow { return d.view().Members(pool) }

func newDispatcher(self dispatch.Peer, conn *net.UDPConn, log *slog.Logger, homes dispatch.Homes, options ...dispatch.HomeOption) *dispatcher {
	d := &dispatcher{
		self: self, startedAt: time.Now(), log: log, conn: conn, timer: time.NewTimer(maxTickInterval),
		client:  dispatch.NewClient(homes, self.Incarnation),
		pending: make(map[dispatch.TicketID]chan ticketReply),

		observedAddrs: make(map[place.Host]netip.AddrPort),
		reach:         dispatch.NewReachability(),

		backoffs:     dispatch.NewBackoffs(),
		invalidLoads: make(map[place.Target]place.Incarnation),
		loadShares:   make(map[key.Service]float64),
		homeOptions:  options,
	}
	d.home = dispatch.NewHome(d, options...)
	return d
}

// run handles datagrams until ctx ends.
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
			return fmt.Errorf("tickets: read datagram: %w", err)
		}
		d.handleGuarded(time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// handleGuarded handles a datagram. After a panic the homes are replaced by empty ones;
// hosts report the tickets that they hold within moments.
func (d *dispatcher) handleGuarded(now time.Time, source netip.AddrPort, body []byte) {
	if d.guard("datagram", func() { d.handleDatagram(now, source, body) }) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.home = dispatch.NewHome(d, d.homeOptions...)
}

// loop runs ticks until ctx ends.
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

// scheduleTick sets the time of the next tick. The caller holds mu.
func (d *dispatcher) scheduleTick(now time.Time) {
	at := now.Add(maxTickInterval)
	for _, next := range []time.Time{d.client.NextTick(), d.home.NextTick(now)} {
		if !next.IsZero() && next.Before(at) {
			at = next
		}
	}
	if earliest := now.Add(minTickInterval); at.Before(earliest) {
		at = earliest
	}
	// Keep a timer that fires a little early: that does no harm and saves a reset.
	if early := at.Sub(d.nextTick); !d.nextTick.IsZero() && early >= 0 && early < minTickInterval {
		return
	}
	d.nextTick = at
	d.timer.Reset(at.Sub(now))
}

// Datagram types, sent as the first byte.
const (
	datagramTicket byte = 't'
	datagramReport byte = 'r'
	datagramNotice byte = 'n'
	// datagramDigest carries the digest of a watcher.
	datagramDigest byte = 'w'
	// datagramHeartbeat carries the heartbeat of a host.
	datagramHeartbeat byte = 'p'
	// datagramConfirmation carries the response to a heartbeat.
	datagramConfirmation byte = 'c'
)

func (d *dispatcher) handleDatagram(now time.Time, source netip.AddrPort, body []byte) {
	if len(body) < 2 {
		return
	}
	if err := d.decodeDatagram(now, source, body[0], body[1:]); err != nil {
		d.log.Warn("Datagram not decodable, dropped.", slog.String("from", source.String()),
			slog.String("kind", strconv.QuoteRuneToASCII(rune(body[0]))), slog.Any("error", err))
	}
}

var errUnknownDatagram = errors.New("unknown kind of datagram")

// decodeDatagram decodes a datagram and handles it.
func (d *dispatcher) decodeDatagram(now time.Time, source netip.AddrPort, kind byte, body []byte) error {
	if other := d.handlers[kind]; other != nil {
		return other(body)
	}
	if kind != datagramTicket {
		return errUnknownDatagram
	}
	from, m, err := dispatch.Decode(body)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observedAddrs[from.Host] = source
	d.reach.RecordMessage(now, from.Zone)
	d.handleMessage(now, from, m)
	return nil
}

// handleMessage handles one message. The caller holds mu.
func (d *dispatcher) handleMessage(now time.Time, from dispatch.Peer, m dispatch.Message) {
	switch m.(type) {
	case dispatch.Assigned, dispatch.Queued, dispatch.Refused, dispatch.Pong, dispatch.Leave:
		if _, ok := m.(dispatch.Leave); ok {
			d.onLeave(from.Host)
		}
		d.client.Receive(now, from.Host, m)
		d.flush(now, nil)
	default:
		if l, ok := m.(dispatch.Limited); ok {
			d.onLimited(l)
		}
		d.flush(now, d.home.Handle(now, from, m))
	}
}

// flush sends the given messages of the homes and the pending ones of the client, and
// delivers final replies. Messages to this host itself are handled directly. The caller
// holds mu.
func (d *dispatcher) flush(now time.Time, messages []dispatch.PeerMessage) {
	defer d.scheduleTick(now)
	for {
		for _, m := range messages {
			if m.To.Host == d.self.Host {
				if m.To.Incarnation == d.self.Incarnation {
					d.client.Receive(now, d.self.Host, m.Message)
				}
				continue
			}
			d.send(m.To.Host, m.Message)
		}
		messages = messages[:0]
		d.logRefusals()
		d.countAdmissions()
		d.logLimits(now)
		d.sendLimitNotices(now)
		for _, service := range d.client.Resent() {
			d.onResent(service)
		}
		outgoing, replies := d.client.Flush()
		for _, r := range replies {
			if ch := d.pending[r.ID]; ch != nil {
				ch <- ticketReply{r.Message, r.Home, r.Isolated} // doesn't block: the buffer holds the only reply
				delete(d.pending, r.ID)
			}
		}
		if len(outgoing) == 0 {
			return
		}
		for _, o := range outgoing {
			if o.To == d.self.Host {
				messages = append(messages, d.home.Handle(now, d.self, o.Message)...)
				continue
			}
			d.send(o.To, o.Message)
		}
	}
}

// logRefusals logs each refusal of the homes here. The request's log line on the asking
// host names this host and the ticket.
func (d *dispatcher) logRefusals() {
	for _, n := range d.home.Refusals() {
		d.log.Info("Ticket refused.", slog.String("asker", string(n.Host)), slog.Uint64("ticket", uint64(n.ID)),
			slog.String("service", string(n.Pool.Service)), slog.String("pool", string(n.Pool.Target)+string(n.Pool.Zone)),
			slog.String("reason", n.Reason.String()), millisAttr("waited", n.Wait), millisAttr("end", n.Estimate), millisAttr("left", n.Remaining),
			slog.Int("waiting", n.Waiting), slog.Int("open", n.Available), slog.Float64("pressure", n.Pressure), slog.Bool("cold", n.Cold),
			millisAttr("retry", n.RetryAfter), slog.Float64("limit", float64(n.Limit)), slog.Float64("allowed", float64(n.Allowed)),
			slog.Bool("returned", n.Returned), slog.Bool("early", n.Early))
	}
}

// millisAttr returns a log attribute with a duration in milliseconds.
func millisAttr(name string, d time.Duration) slog.Attr {
	return slog.Float64(name, float64(d.Microseconds())/1000)
}

// send sends one message as a datagram. A failure is like a lost datagram. The caller
// holds mu.
func (d *dispatcher) send(to place.Host, m dispatch.Message) {
	addr, ok := d.address(to)
	if !ok {
		if addr, ok = d.observedAddrs[to]; !ok {
			return
		}
	}
	body, err := dispatch.Encode(d.self, m)
	if err != nil {
		d.log.Error("Message not encoded.", slog.Any("error", err))
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

// ticketReply is the final reply to an acquire, and the home that sent it.
type ticketReply struct {
	dispatch.Message

	home     place.Host
	isolated bool
}

// refresh updates the homes after the view changed.
func (d *dispatcher) refresh(now time.Time, v *view) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := func(name place.Target) bool { _, ok := v.targets[name]; return ok }
	d.backoffs.Prune(now, listed)
	d.client.PruneLimits(listed)
	maps.DeleteFunc(d.invalidLoads, func(name place.Target, _ place.Incarnation) bool { return !listed(name) })
	if m, ok := v.members.Host(d.self.Host); ok && m.Incarnation == d.self.Incarnation && d.listedAt.IsZero() {
		d.listedAt = now
	}
	d.flush(now, d.home.Refresh(now))
}

// acquire requests a ticket. The channel receives Assigned or Refused, or nothing after
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

// cancel withdraws a ticket request. It returns false if the reply arrived first.
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

// release returns a ticket. signal is the one in the response, empty if there was none.
func (d *dispatcher) release(now time.Time, id dispatch.TicketID, end dispatch.Result, took time.Duration, signal target.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end == dispatch.ResultServed {
		d.home.Observe(d.client.Class(id), took)
	}
	d.client.Done(now, id, end, took, signal)
	d.flush(now, nil)
}

// recordAttempt records the result of an attempt at a target in the zone.
func (d *dispatcher) recordAttempt(zone place.Zone, end dispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reach.RecordAttempt(zone, end)
}

// recordSignal records the signal in a target's response. It reports whether the home
// of the pool was notified that the target is leaving.
func (d *dispatcher) recordSignal(now time.Time, pool dispatch.PoolID, row place.TargetRow, s target.Signal) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	notify := d.backoffs.Record(now, row.Target, row.Incarnation, s)
	if notify {
		d.client.Drain(pool, row.Target, row.Incarnation)
		d.flush(now, nil)
	}
	return notify
}

// backoff returns when a target first signaled that it is leaving, zero if it has not,
// and how much longer it wants no requests from this host.
func (d *dispatcher) backoff(now time.Time, row place.TargetRow) (leaving time.Time, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backoffs.State(now, row.Target, row.Incarnation)
}

// excluded returns the targets among rows that want no new requests from this host.
func (d *dispatcher) excluded(now time.Time, rows []place.TargetRow) []place.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backoffs.Excluded(now, rows)
}

// isolated reports whether a network partition leaves this host too few targets to
// serve clients.
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

// reachable reports whether a host is neither silent nor stopping.
func (d *dispatcher) reachable(host place.Host) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.client.Suspects(host) && !d.client.Stopped(host)
}

// announceStop announces to all hosts that this one stops. Requests that wait for a slot have
// until end.
func (d *dispatcher) announceStop(now, end time.Time, hosts []member.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		if h.Name != d.self.Host {
			d.send(h.Name, dispatch.Leave{})
		}
	}
	d.client.Receive(now, d.self.Host, dispatch.Leave{})
	d.client.Shorten(now, end)
	d.flush(now, nil)
}

// hostRestarted records that a host has a new incarnation.
func (d *dispatcher) hostRestarted(host place.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.client.Started(host)
}

// targetStats returns the statistics of the homes here about their targets.
func (d *dispatcher) targetStats(now time.Time) []dispatch.TargetStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home.TargetStats(now)
}

// pools returns the state of the pools scheduled here.
func (d *dispatcher) pools(now time.Time) []dispatch.PoolState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.home.Pools(now)
}
