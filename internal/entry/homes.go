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
	// maxHomes bounds the entry hosts that stand in for a target's home in
	// turn.
	maxHomes = 3
	// pingInterval is the time between two pings of a host that work was
	// handed to, pingTimeout how long its answer may take.
	pingInterval = 100 * time.Millisecond
	pingTimeout  = 200 * time.Millisecond
	// maxMissed is the pings in a row that a host may leave unanswered: a busy
	// host misses one, and suspecting it breaks off the look-ups handed to it.
	maxMissed = 3
	// pingIdle is how long after the last hand-over a host is pinged.
	pingIdle = 2 * time.Second
	// maxPings bounds the pings of one round; with more hosts in use each is
	// pinged less often.
	maxPings = 16
)

// homes keeps what is known of the entry hosts that this one hands work to.
type homes struct {
	mu   sync.Mutex
	rows map[place.Host]*homeState
	turn int
}

// homeState is one host. gone ends the look-ups that wait for it.
type homeState struct {
	addr      netip.AddrPort
	used      time.Time
	suspected bool
	pinging   bool
	missed    int // pings in a row without an answer
	gone      context.Context
	leave     context.CancelFunc
}

func newHomes() *homes { return &homes{rows: make(map[place.Host]*homeState)} }

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
	return out[:min(len(out), maxHomes)]
}

// keyHomes is the number of parts of a service's key space that each have a
// home of their own.
const keyHomes = 256

// homeOfKey returns the entry host that runs all work with an idempotency key
// for a key of a service. It does not depend on the owner of the key, so that
// a repetition finds the first copy while the key moves. ok is false where no
// hosts are known.
func (v *view) homeOfKey(service key.Service, h key.Hash) (home place.HostRow, ok bool) {
	if len(v.hosts) == 0 {
		return place.HostRow{}, false
	}
	part := xxhash.Sum64String(string(service)) + uint64(h)>>56
	return v.hosts[v.keyHomes[part%keyHomes]], true
}

// rankKeyHomes gives each part of the key space a home by rendezvous.
func rankKeyHomes(hosts []place.HostRow) []int {
	out := make([]int, keyHomes)
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

// fleetHosts reads the entry hosts that the platform lists, sorted by name.
func (e *Entry) fleetHosts() []place.HostRow {
	doc, ok := e.cfg.Board.Get(docsync.Fleet)
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

// use records a hand-over and returns the context that ends once the host is
// suspected.
func (h *homes) use(now time.Time, row place.HostRow) context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.rows[row.Host]
	if s == nil || s.addr != row.EntryAddr {
		s = &homeState{addr: row.EntryAddr}
		s.gone, s.leave = context.WithCancel(context.Background())
		h.rows[row.Host] = s
	}
	s.used = now
	return s.gone
}

// suspected reports whether a host did not answer its last ping.
func (h *homes) suspected(host place.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.rows[host]
	return s != nil && s.suspected
}

// suspect passes over a host until it answers a ping.
func (h *homes) suspect(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.rows[host]
	if s == nil || s.suspected {
		return
	}
	s.suspected = true
	s.leave()
}

// miss counts a ping without an answer; it reports whether they are too many.
func (h *homes) miss(host place.Host) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.rows[host]
	if s == nil {
		return false
	}
	s.missed++
	return s.missed >= maxMissed
}

// trust takes a host back that answered a ping.
func (h *homes) trust(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.rows[host]
	if s == nil {
		return
	}
	s.missed = 0
	if !s.suspected {
		return
	}
	s.suspected = false
	s.gone, s.leave = context.WithCancel(context.Background())
}

// due returns the hosts to ping now, in turn, and marks them as being pinged.
func (h *homes) due(now time.Time) []ping {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := make([]place.Host, 0, len(h.rows))
	for host, s := range h.rows {
		switch {
		case now.Sub(s.used) > pingIdle && !s.suspected:
			s.leave()
			delete(h.rows, host)
		case !s.pinging:
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	n := min(len(hosts), maxPings)
	out := make([]ping, 0, n)
	for i := range n {
		host := hosts[(h.turn+i)%len(hosts)]
		h.rows[host].pinging = true
		out = append(out, ping{host, h.rows[host].addr})
	}
	h.turn += n
	return out
}

func (h *homes) pinged(host place.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.rows[host]; s != nil {
		s.pinging = false
	}
}

// ping is one question whether a host is there.
type ping struct {
	host place.Host
	addr netip.AddrPort
}

// run asks once.
func (p ping) run(ctx context.Context, e *Entry) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := e.cfg.Link.Call(ctx, p.addr, peer.KindForward, nil)
	e.homes.pinged(p.host)
	if err == nil {
		e.homes.trust(p.host)
	} else if e.homes.miss(p.host) {
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
			for _, p := range e.homes.due(now) {
				go p.run(ctx, e)
			}
		}
	}
}
