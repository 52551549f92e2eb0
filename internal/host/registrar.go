package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/budget"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// selfEntryDelay is how long a host waits for a registrar to enter it before it
	// enters itself. selfEntryJitter is the maximum of the random delay added: without
	// a registrar all hosts may do so at the same time.
	selfEntryDelay  = 2 * time.Second
	selfEntryJitter = time.Second
	// registryInterval is the time between two checks of the registry while hosts send
	// heartbeats here.
	registryInterval = 200 * time.Millisecond
	// registerTimeout limits one write of entries.
	registerTimeout = 600 * time.Millisecond
	// maxEntriesPerTxn and maxRemovalsPerTxn limit the entries that one transaction
	// writes or removes. The platform accepts 32 operations, and each removal needs a
	// condition as well.
	maxEntriesPerTxn  = 30
	maxRemovalsPerTxn = 15
)

// registrar keeps this host listed among the members. It sends heartbeats to the
// watchers of its zone, or to the seeds before it knows any. For the hosts that send
// theirs here it writes and removes the entries.
type registrar struct {
	host *Host
	log  *slog.Logger
	self member.Host

	mu       sync.Mutex
	registry *member.Registry

	// missingSince is the time since which this host is not listed, announcedAt the
	// time of its last heartbeat, enteredAt the last time that it entered itself.
	missingSince, announcedAt, enteredAt time.Time
	// selfEntryDelay is how long this host waits for a registrar to enter it: the
	// constant of that name plus a random delay.
	selfEntryDelay time.Duration
}

func newRegistrar(h *Host) *registrar {
	return &registrar{host: h, log: h.log, self: h.memberEntry(), registry: member.NewRegistry(h.site.Zone)}
}

// run keeps this host, and those that send heartbeats here, listed until ctx ends.
func (r *registrar) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		list := &r.host.views.view().members
		wait := r.announceSelf(ctx, now, list)
		r.mu.Lock()
		enter, remove := r.registry.Due(now, list)
		if r.registry.Active(now) {
			wait = registryInterval
		}
		r.mu.Unlock()
		r.enter(ctx, enter)
		r.remove(ctx, remove)
		sleep(ctx, wait)
	}
	return nil
}

func (r *registrar) receive(now time.Time, hb member.Heartbeat) {
	r.mu.Lock()
	r.registry.HandleHeartbeat(now, hb)
	r.mu.Unlock()
	r.confirm(now, hb.Host)
}

// confirm confirms to a host that it is listed, if the list here is recent.
func (r *registrar) confirm(now time.Time, h member.Host) {
	list := &r.host.views.view().members
	listed, ok := list.Host(h.Name)
	if !ok || listed.Incarnation != h.Incarnation || now.Sub(r.host.watcher.listReadAt()) > budget.MaxListAge {
		return
	}
	c := member.Confirmation{Incarnation: h.Incarnation, Hosts: len(list.Hosts)}
	if h.Name == r.self.Name {
		r.host.retries.Confirm(now, c.Hosts)
		return
	}
	body, err := c.Encode()
	if err != nil {
		r.log.Error("Confirmation not encoded.", slog.Any("error", err))
		return
	}
	r.host.dispatcher.write(h.TicketAddr, datagramConfirmation, body)
}

// handleConfirmation handles the response of a registrar to a heartbeat of this host.
func (h *Host) handleConfirmation(body []byte) error {
	c, err := member.DecodeConfirmation(body)
	if err != nil {
		return err
	}
	if c.Incarnation == h.incarnation {
		h.retries.Confirm(time.Now(), c.Hosts)
	}
	return nil
}

// handleHeartbeat handles the heartbeat of another host.
func (h *Host) handleHeartbeat(body []byte) error {
	hb, err := member.DecodeHeartbeat(body)
	if err != nil {
		return err
	}
	h.registrar.receive(time.Now(), hb)
	return nil
}

// announceSelf sends a heartbeat if one is due, and enters this host if no registrar
// does. It returns the time until the next check.
func (r *registrar) announceSelf(ctx context.Context, now time.Time, list *member.List) time.Duration {
	interval := member.HeartbeatInterval
	if r.host.stopping.Load() {
		return interval
	}
	listed, ok := list.Host(r.self.Name)
	missing := !ok || listed.Incarnation != r.self.Incarnation
	switch {
	case !missing:
		r.missingSince = time.Time{}
	case r.missingSince.IsZero():
		r.missingSince, r.selfEntryDelay = now, selfEntryDelay+rand.N(selfEntryJitter)
	}
	if missing {
		interval = member.JoinInterval
	}
	if now.Sub(r.announcedAt) >= interval {
		r.announcedAt = now
		r.sendHeartbeat(now, list)
	}
	if missing && now.Sub(r.missingSince) > r.selfEntryDelay && now.Sub(r.enteredAt) > selfEntryDelay {
		r.enteredAt = now
		r.enter(ctx, []member.Host{r.self})
	}
	return interval
}

// sendHeartbeat sends this host's heartbeat to its registrars.
func (r *registrar) sendHeartbeat(now time.Time, list *member.List) {
	for rank, addr := range r.registrars(list) {
		hb := member.Heartbeat{Host: r.self, Rank: rank}
		if addr == r.self.TicketAddr {
			r.receive(now, hb)
			continue
		}
		body, err := hb.Encode()
		if err != nil {
			r.log.Error("Heartbeat not encoded.", slog.Any("error", err))
			return
		}
		r.host.dispatcher.write(addr, datagramHeartbeat, body)
	}
}

// registrars returns the addresses of this host's registrars, by rank.
func (r *registrar) registrars(list *member.List) []netip.AddrPort {
	var out []netip.AddrPort
	for _, w := range docsync.Watchers(r.self.Zone, list.HostRows()) {
		if m, ok := list.Host(w.Host); ok {
			out = append(out, m.TicketAddr)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, seed := range r.host.site.Seeds {
		out = append(out, seed.Ticket)
	}
	docsync.SortByHostHash(r.self.Name, out)
	if len(out) == 0 {
		out = append(out, r.self.TicketAddr)
	}
	return out
}

// enter writes the entries of hosts. Failures are retried, as the hosts keep sending
// heartbeats.
func (r *registrar) enter(ctx context.Context, hosts []member.Host) {
	for len(hosts) > 0 {
		batch := hosts[:min(len(hosts), maxEntriesPerTxn)]
		hosts = hosts[len(batch):]
		var txn platform.Txn
		for _, h := range batch {
			value, err := member.EncodeHost(h)
			if err != nil {
				r.log.Error("Host entry not encoded.", slog.String("host", string(h.Name)), slog.Any("error", err))
				continue
			}
			txn.Put = append(txn.Put, platform.Put{Path: member.HostPath(h.Name), Value: value})
		}
		if err := r.commit(ctx, txn); err != nil {
			r.log.Warn("Host entries not written to the store.", slog.Int("hosts", len(batch)), slog.Any("error", err))
			continue
		}
		r.log.Info("Host entries written to the store.", slog.Int("hosts", len(batch)), slog.Any("names", hostNames(batch)))
		r.host.watcher.trigger(time.Now())
	}
}

// remove removes the entries of unresponsive hosts, unless they were written again.
func (r *registrar) remove(ctx context.Context, hosts []member.Host) {
	for len(hosts) > 0 {
		batch := hosts[:min(len(hosts), maxRemovalsPerTxn)]
		hosts = hosts[len(batch):]
		var txn platform.Txn
		for _, h := range batch {
			path := member.HostPath(h.Name)
			txn.If = append(txn.If, platform.Condition{Path: path, Revision: h.Revision})
			txn.Remove = append(txn.Remove, path)
		}
		if err := r.commit(ctx, txn); err != nil {
			r.log.Warn("Entries of unresponsive hosts not removed from the store.", slog.Int("hosts", len(batch)), slog.Any("error", err))
			continue
		}
		r.log.Info("Entries of unresponsive hosts removed from the store.", slog.Int("hosts", len(batch)), slog.Any("names", hostNames(batch)))
	}
}

func (r *registrar) commit(ctx context.Context, txn platform.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.host.env.Store.Commit(ctx, txn)
	return err
}

func hostNames(hosts []member.Host) []place.Host {
	out := make([]place.Host, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}
