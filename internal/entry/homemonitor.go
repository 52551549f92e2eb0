package entry

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

const (
	// homesPerTarget is the number of entry hosts that are candidates for a target's
	// home.
	homesPerTarget = 3
	// pingInterval is the time between two pings of a host in use, pingTimeout how long
	// its response may take.
	pingInterval = 100 * time.Millisecond
	pingTimeout  = 200 * time.Millisecond
	// maxMissedPings is the number of pings without a response, in a row, after which a
	// host is suspected. A busy host misses single pings, and a suspicion cancels the
	// idempotent requests relayed to it.
	maxMissedPings = 3
	// pingIdleTimeout is how long after the last relayed request a host is pinged.
	pingIdleTimeout = 2 * time.Second
	// maxPingsPerRound limits the pings per pingInterval. With more hosts in use, each is
	// pinged less often.
	maxPingsPerRound = 16
)

// homeMonitor pings the entry hosts that this one relays requests to, and suspects those
// that don't respond. It is safe for concurrent use.
type homeMonitor struct {
	mu    sync.Mutex
	hosts map[place.Host]*homeState
	// nextPing is the index of the next host to ping, by name.
	nextPing int
}

// homeState is the state of one host.
type homeState struct {
	addr        netip.AddrPort
	usedAt      time.Time // when the last request was relayed
	suspected   bool
	pinging     bool
	missedPings int // in a row
	// reachable is canceled by markUnreachable when the host becomes suspected, or when
	// the state is dropped. It cancels the relayed requests that are idempotent and have
	// no idempotency key.
	reachable       context.Context
	markUnreachable context.CancelFunc
}

func newHomeMonitor() *homeMonitor { return &homeMonitor{hosts: make(map[place.Host]*homeState)} }

// rankHomes returns the candidates for a target's home, by rendezvous hashing. Entry
// hosts in the target's zone come first, so that a request crosses zones at most once.
func rankHomes(hosts []place.HostRow, zone place.Zone, target place.Target) []place.HostRow {
	out := slices.Clone(hosts)
	weight := func(h place.HostRow) uint64 { return xxhash.Sum64String(string(h.Host) + "\x00" + string(target)) }
	slices.SortStableFunc(out, func(a, b place.HostRow) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight(b), weight(a))
	})
	return out[:min(len(out), homesPerTarget)]
}

// keyHomeBuckets is the number of equal parts of a service's key space, each of which has
// one home.
const keyHomeBuckets = 256

// homeOfKey returns the entry host that handles all requests with an idempotency key for
// a key of a service. It does not depend on the owner of the key, so that a retry finds
// the first run also while the key moves. ok is false if no entry hosts are known.
func (v *view) homeOfKey(service key.Service, h key.Hash) (home place.HostRow, ok bool) {
	if len(v.hosts) == 0 {
		return place.HostRow{}, false
	}
	bucket := xxhash.Sum64String(string(service)) + uint64(h)>>56
	return v.hosts[v.keyHomes[bucket%keyHomeBuckets]], true
}

// rankKeyHomes returns the home of each bucket by rendezvous hashing, as an index into
// hosts.
func rankKeyHomes(hosts []place.HostRow) []int {
	out := make([]int, keyHomeBuckets)
	for bucket := range out {
		var maxWeight uint64
		for i, h := range hosts {
			if w := xxhash.Sum64String(string(h.Host) + "\x00" + strconv.Itoa(bucket)); w >= maxWeight {
				out[bucket], maxWeight = i, w
			}
		}
	}
	return out
}

// entryHosts returns the live entry hosts of the fleet document, sorted by name.
func (e *Entry) entryHosts() []place.HostRow {
	doc, ok := e.cfg.Replica.Get(docsync.Fleet)
	if !ok {
		return nil
	}
	fleet, err := docsync.DecodeFleet(doc.Body)
	if err != nil {
		e.log.Error("Fleet document not decodable, no entry hosts are known.", "error", err)
		return nil
	}
	hosts := slices.DeleteFunc(fleet.Hosts, func(h place.HostRow) bool {
		return h.State != place.Live || !h.EntryAddr.IsValid()
	})
	slices.SortFunc(hosts, func(a, b place.HostRow) int { return cmp.Compare(a.Host, b.Host) })
	return hosts
}

// recordUse records that a request is relayed to a host. It returns a context that is
// canceled when the host becomes suspected.
func (h *homeMonitor) recordUse(now time.Time, row place.HostRow) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.hosts[row.Host]
	if s == nil || s.addr != row.EntryAddr {
		s = &homeState{addr: row.EntryAddr}
		s.reachable, s.markUnreachable = context.WithCancel(context.Background())
		h.hosts[row.Host] = s
	}
	s.usedAt = now
	return s.reachable
}

// suspected reports whether a host is suspected to be unreachable.
func (h *homeMonitor) suspected(host place.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.hosts[host]
	return s != nil && s.suspected
}

// suspect marks a host as suspected until it responds to a ping.
func (h *homeMonitor) suspect(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.hosts[host]
	if s == nil || s.suspected {
		return
	}
	s.suspected = true
	s.markUnreachable()
}

// pingMissed counts a ping without a response and reports whether the host must be
// suspected.
func (h *homeMonitor) pingMissed(host place.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.hosts[host]
	if s == nil {
		return false
	}
	s.missedPings++
	return s.missedPings >= maxMissedPings
}

// pingAnswered records a response, after which the host is not suspected.
func (h *homeMonitor) pingAnswered(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.hosts[host]
	if s == nil {
		return
	}
	s.missedPings = 0
	if !s.suspected {
		return
	}
	s.suspected = false
	s.reachable, s.markUnreachable = context.WithCancel(context.Background())
}

// duePings returns the pings of one round, round robin over the hosts in use and the
// suspected ones. It drops hosts that are not in use any more.
func (h *homeMonitor) duePings(now time.Time) []ping {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := make([]place.Host, 0, len(h.hosts))
	for host, s := range h.hosts {
		switch {
		case now.Sub(s.usedAt) > pingIdleTimeout && !s.suspected:
			s.markUnreachable()
			delete(h.hosts, host)
		case !s.pinging:
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	n := min(len(hosts), maxPingsPerRound)
	out := make([]ping, 0, n)
	for i := range n {
		host := hosts[(h.nextPing+i)%len(hosts)]
		h.hosts[host].pinging = true
		out = append(out, ping{host, h.hosts[host].addr})
	}
	h.nextPing += n
	return out
}

// pingEnded allows the next ping of a host.
func (h *homeMonitor) pingEnded(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.hosts[host]; s != nil {
		s.pinging = false
	}
}

// ping is one ping of a host.
type ping struct {
	host place.Host
	addr netip.AddrPort
}

// send sends the ping and records the result.
func (p ping) send(ctx context.Context, e *Entry) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := e.cfg.Transport.Call(ctx, p.addr, peer.KindRelay, nil)
	e.homes.pingEnded(p.host)
	if err == nil {
		e.homes.pingAnswered(p.host)
	} else if e.homes.pingMissed(p.host) {
		e.homes.suspect(p.host)
	}
}

// loopPings pings the hosts that requests are relayed to. Without pings, the transport
// takes seconds to detect that a host is down.
func (e *Entry) loopPings(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, p := range e.homes.duePings(now) {
				go p.send(ctx, e)
			}
		}
	}
}
