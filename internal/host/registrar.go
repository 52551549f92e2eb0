package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// selfEntryDelay is how long a host waits to be entered by a registrar, and
	// aloneSpread what is drawn on top of it; then it enters itself. Without a
	// registrar all hosts may do so at the same moment.
	selfEntryDelay  = 2 * time.Second
	selfEntryJitter = time.Second
	// registryInterval is the time between two looks at who is to be entered, where
	// hosts tell their presence here.
	registryInterval = 200 * time.Millisecond
	// registerTimeout bounds one write of entries.
	registerTimeout = 600 * time.Millisecond
	// maxEntriesPerTxn is how many entries one transaction writes, and removalsMost
	// how many it removes, each of which needs a condition: the platform takes 32
	// parts.
	maxEntriesPerTxn  = 30
	maxRemovalsPerTxn = 15
)

// registrar sees to it that this host is listed among the members. It tells its
// presence to the watchers of its zone, or to the seeds before it knows any, and
// enters and removes the hosts that tell theirs here.
type registrar struct {
	host *Host
	log  *slog.Logger
	self member.Host

	mu       sync.Mutex
	registry *member.Registry

	// missingSince is since when this host is not listed, told when it last told
	// its presence, enteredAt when it last entered itself.
	missingSince, announcedAt, enteredAt time.Time
	// selfEntryDelay is how long it waits for others to enter it.
	selfEntryDelay time.Duration
}

func newRegistrar(h *Host) *registrar {
	return &registrar{host: h, log: h.log, self: h.memberEntry(), registry: member.NewRegistry(h.site.Zone)}
}

// run keeps this host and those that tell it their presence listed until ctx
// ends.
func (r *registrar) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		list := &r.host.views.view().members
		rest := r.announceSelf(ctx, now, list)
		r.mu.Lock()
		enter, remove := r.registry.Due(now, list)
		if r.registry.Active(now) {
			rest = registryInterval
		}
		r.mu.Unlock()
		r.enter(ctx, enter)
		r.remove(ctx, remove)
		sleep(ctx, rest)
	}
	return nil
}

// receive takes the presence of a host.
func (r *registrar) receive(now time.Time, p member.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.HandleHeartbeat(now, p)
}

// handleHeartbeat takes a datagram with the presence of another host.
func (h *Host) handleHeartbeat(body []byte) {
	p, err := member.DecodeHeartbeat(body)
	if err != nil {
		h.log.Warn("Presence not readable, dropped.", slog.Any("error", err))
		return
	}
	h.registrar.receive(time.Now(), p)
}

// announceSelf tells this host's presence when that is due, and enters it where
// nobody else has. It returns the time until the next look.
func (r *registrar) announceSelf(ctx context.Context, now time.Time, list *member.List) time.Duration {
	every := member.HeartbeatInterval
	if r.host.stopping.Load() {
		return every
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
		every = member.JoinInterval
	}
	if now.Sub(r.announcedAt) >= every {
		r.announcedAt = now
		r.sendHeartbeat(now, list)
	}
	if missing && now.Sub(r.missingSince) > r.selfEntryDelay && now.Sub(r.enteredAt) > selfEntryDelay {
		r.enteredAt = now
		r.enter(ctx, []member.Host{r.self})
	}
	return every
}

// sendHeartbeat sends this host's presence to its registrars.
func (r *registrar) sendHeartbeat(now time.Time, list *member.List) {
	for turn, addr := range r.registrars(list) {
		p := member.Heartbeat{Host: r.self, Rank: turn}
		if addr == r.self.TicketAddr {
			r.receive(now, p)
			continue
		}
		body, err := p.Encode()
		if err != nil {
			r.log.Error("Presence not written.", slog.Any("error", err))
			return
		}
		r.host.dispatcher.write(addr, datagramPresence, body)
	}
}

// registrars returns the hosts that this one tells its presence, the first one
// first.
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

// enter writes the entries of hosts. What fails is tried again: the hosts go on
// telling that they are there.
func (r *registrar) enter(ctx context.Context, hosts []member.Host) {
	for len(hosts) > 0 {
		part := hosts[:min(len(hosts), maxEntriesPerTxn)]
		hosts = hosts[len(part):]
		var txn platform.Txn
		for _, h := range part {
			value, err := member.EncodeHost(h)
			if err != nil {
				r.log.Error("Entry of a host not written.", slog.String("host", string(h.Name)), slog.Any("error", err))
				continue
			}
			txn.Put = append(txn.Put, platform.Put{Path: member.HostPath(h.Name), Value: value})
		}
		if err := r.commit(ctx, txn); err != nil {
			r.log.Warn("Hosts not entered in the store.", slog.Int("hosts", len(part)), slog.Any("error", err))
			continue
		}
		r.log.Info("Hosts entered in the store.", slog.Int("hosts", len(part)), slog.Any("names", hostNames(part)))
		r.host.watcher.trigger(time.Now())
	}
}

// remove removes the entries of hosts that are silent, unless they have entered
// again.
func (r *registrar) remove(ctx context.Context, hosts []member.Host) {
	for len(hosts) > 0 {
		part := hosts[:min(len(hosts), maxRemovalsPerTxn)]
		hosts = hosts[len(part):]
		var txn platform.Txn
		for _, h := range part {
			path := member.HostPath(h.Name)
			txn.If = append(txn.If, platform.Condition{Path: path, Revision: h.Revision})
			txn.Remove = append(txn.Remove, path)
		}
		if err := r.commit(ctx, txn); err != nil {
			r.log.Warn("Silent hosts not removed from the store.", slog.Int("hosts", len(part)), slog.Any("error", err))
			continue
		}
		r.log.Info("Silent hosts removed from the store.", slog.Int("hosts", len(part)), slog.Any("names", hostNames(part)))
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
