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
	// homesPerTarget bounds the entry hosts that stand in for a target's home in
	// turn.
	homesPerTarget = 3
	// pingInterval is the time between two pings of a host that work was
	// handed to, pingTimeout how long its answer may take.
	pingInterval = 100 * time.Millisecond
	pingTimeout  = 200 * time.Millisecond
	// maxMissedPings is the pings in a row that a host may leave unanswered: a busy
	// host misses one, and suspecting it breaks off the look-ups handed to it.
	maxMissedPings = 3
	// pingIdleTimeout is how long after the last hand-over a host is pinged.
	pingIdleTimeout = 2 * time.Second
	// maxPingsPerRound bounds the pings of one round; with more hosts in use each is
	// pinged less often.
	maxPingsPerRound = 16
)

// homeMonitor keeps what is known of the entry hosts that this one hands work to.
type homeMonitor struct {
	mu       sync.Mutex
	hosts    map[place.Host]*homeState
	nextPing int
}

// homeState is one host. gone ends the look-ups that wait for it.
type homeState struct {
	addr            netip.AddrPort
	usedAt          time.Time
	suspected       bool
	pinging         bool
	missedPings     int // pings in a row without an answer
	reachable       context.Context
	markUnreachable context.CancelFunc
}

func newHomeMonitor() *homeMonitor { return &homeMonitor{hosts: make(map[place.Host]*homeState)} }

// rankHomes orders the entry hosts by rendezvous for a target; those of the
// target's zone come first, so that a request crosses zones once.
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

// keyHomeBuckets is the number of parts of a service's key space that each have a
// home of their own.
const keyHomeBuckets = 256

// homeOfKey returns the entry host that runs all work with an idempotency key
// for a key of a service. It does not depend on the owner of the key, so that
// a repetition finds the first copy while the key moves. ok is false where no
// hosts are known.
func (v *view) homeOfKey(service key.Service, h key.Hash) (home place.HostRow, ok bool) {
	if len(v.hosts) == 0 {
		return place.HostRow{}, false
	}
	part := xxhash.Sum64String(string(service)) + uint64(h)>>56
	return v.hosts[v.keyHomes[part%keyHomeBuckets]], true
}

// rankKeyHomes gives each part of the key space a home by rendezvous.
func rankKeyHomes(hosts []place.HostRow) []int {
	out := make([]int, keyHomeBuckets)
	for part := range out {
		var most uint64
		for i, h := range hosts {
			if w := xxhash.Sum64String(string(h.Host) + "\x00" + strconv.Itoa(part)); w >= most {
				out[part], most = i, w
			}
		}
	}
	return out
}

// entryHosts reads the entry hosts that the platform lists, sorted by name.
func (e *Entry) entryHosts() []place.HostRow {
	doc, ok := e.cfg.Replica.Get(docsync.Fleet)
	if !ok {
		return nil
	}
	fleet, err := docsync.DecodeFleet(doc.Body)
	if err != nil {
		e.log.Error("Fleet list is unreadable.", "error", err)
		return nil
	}
	hosts := slices.DeleteFunc(fleet.Hosts, func(h place.HostRow) bool {
		return h.State != place.Live || !h.EntryAddr.IsValid()
	})
	slices.SortFunc(hosts, func(a, b place.HostRow) int { return cmp.Compare(a.Host, b.Host) })
	return hosts
}

// recordUse records a hand-over and returns the context that ends once the host is
// suspected.
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

// suspected reports whether a host did not answer its last ping.
func (h *homeMonitor) suspected(host place.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.hosts[host]
	return s != nil && s.suspected
}

// suspect passes over a host until it answers a ping.
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

// pingMissed counts a ping without an answer; it reports whether they are too many.
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

// pingAnswered takes a host back that answered a ping.
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

// duePings returns the hosts to ping now, in turn, and marks them as being pinged.
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

func (h *homeMonitor) pingEnded(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.hosts[host]; s != nil {
		s.pinging = false
	}
}

// ping is one question whether a host is there.
type ping struct {
	host place.Host
	addr netip.AddrPort
}

// send asks once.
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

// loopPings asks the hosts that work is handed to whether they are there: a
// dead one answers nothing, and the link takes seconds to tell.
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
