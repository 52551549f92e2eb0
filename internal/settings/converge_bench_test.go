package settings_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

const (
	// Latencies as in the customers' networks: zoneLatency is one way between two
	// availability zones, storeLatency one call of the platform's service.
	zoneLatency  = 1500 * time.Microsecond
	storeLatency = 2 * time.Millisecond
	// burstWrites is the number of writes in the burst of all operators.
	burstWrites = 100
)

// network connects the links of all replicas within one process.
type network struct {
	mu    sync.Mutex
	links map[netip.AddrPort]*fakeLink
}

// fakeLink implements peer.Transport for one replica.
type fakeLink struct {
	*network
	self     peer.Identity
	handlers map[peer.Kind]peer.Handler
}

func (l *fakeLink) Handle(kind peer.Kind, handler peer.Handler) { l.handlers[kind] = handler }

func (l *fakeLink) Call(ctx context.Context, to netip.AddrPort, kind peer.Kind, body []byte) ([]byte, error) {
	l.mu.Lock()
	other := l.links[to]
	l.mu.Unlock()
	if other == nil || other.handlers[kind] == nil {
		return nil, fmt.Errorf("no peer at %s", to)
	}
	if other.self.Zone != l.self.Zone {
		time.Sleep(2 * zoneLatency)
	}
	return other.handlers[kind](ctx, l.self, body)
}

// replica is one host with its documents and the settings in force.
type replica struct {
	settings.Applied
	documents *docsync.MemoryReplica
}

// applyUpdates applies each new settings document and then calls applied with its number.
func (h *replica) applyUpdates(ctx context.Context, applied func(number uint64)) error {
	updates := h.documents.Subscribe(docsync.Settings)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-updates:
		}
		doc, ok := h.documents.Get(docsync.Settings)
		if !ok {
			continue
		}
		if _, err := h.ApplyDocument(time.Now(), platform.Revision(doc.Version.Major), doc.Body); err != nil {
			return err
		}
		_, number, _ := h.InForce()
		applied(number)
	}
}

// cluster is a set of replicas that share a store.
type cluster struct {
	store       *fake.Platform
	replicas    []*replica
	mu          sync.Mutex
	convergedAt map[uint64]time.Time // when all replicas had applied a number
	applied     []uint64
}

// recordApplied records that replica i has applied number.
func (s *cluster) recordApplied(i int, number uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied[i] = number
	all := slices.Min(s.applied)
	for n := all; n > 0 && s.convergedAt[n].IsZero(); n-- {
		s.convergedAt[n] = now
	}
}

// startReplicas starts count replicas, spread over three zones.
func startReplicas(ctx context.Context, group *errgroup.Group, count int) *cluster {
	s := &cluster{store: fake.NewPlatform(), applied: make([]uint64, count), convergedAt: make(map[uint64]time.Time)}
	s.store.SetFaults(fake.PlatformFaults{SlowMin: storeLatency, SlowMax: storeLatency})
	s.store.SetFleetLag(0)
	net := &network{links: make(map[netip.AddrPort]*fakeLink)}
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7000)
	}
	seeds := []netip.AddrPort{address(0), address(1), address(2)}
	for i := range count {
		id := peer.Identity{Host: place.Host(fmt.Sprintf("h%d", i)), Zone: place.Zone(fmt.Sprintf("z%d", i%3)), Role: peer.RoleLead}
		l := &fakeLink{network: net, self: id, handlers: make(map[peer.Kind]peer.Handler)}
		s.store.SetHost(time.Now(), place.HostRow{Host: id.Host, Zone: id.Zone, LeadAddr: address(i)})
		h := &replica{documents: docsync.New()}
		s.replicas = append(s.replicas, h)
		node := docsync.NewNode(h.documents, l, docsync.Config{Self: id, Addr: address(i), Seeds: seeds, Store: s.store, Log: logging.Nop()})
		net.mu.Lock()
		net.links[address(i)] = l
		net.mu.Unlock()
		group.Go(func() error { return node.Run(ctx) })
		group.Go(func() error {
			return h.applyUpdates(ctx, func(number uint64) { s.recordApplied(i, number, time.Now()) })
		})
	}
	return s
}

// await waits until all replicas have applied number and returns when they had.
func (s *cluster) await(number uint64) time.Time {
	for {
		s.mu.Lock()
		at := s.convergedAt[number]
		s.mu.Unlock()
		if !at.IsZero() {
			return at
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkConvergence measures the time from the acceptance of a revision until it
// is in force on every replica, for single writes and for a burst of writes by ten
// operators.
func BenchmarkConvergence(b *testing.B) {
	for _, count := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("holders=%d", count), func(b *testing.B) {
			for b.Loop() {
				measureConvergence(b, count)
			}
		})
	}
}

func measureConvergence(b *testing.B, count int) {
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	defer func() {
		cancel()
		assert.NilError(b, group.Wait())
	}()
	s := startReplicas(ctx, &group, count)
	c := settings.NewCommitter(s.store)
	p, err := preset.Get(preset.Agency)
	assert.NilError(b, err)
	write := func(file string) (uint64, time.Time) {
		done, err := c.Commit(ctx, time.Now(), settings.Request{Changes: parse(b, file)})
		assert.NilError(b, err)
		return done.Write.Number, time.Now()
	}
	first, _ := write(string(p.File))
	s.await(first)
	const singles = 10
	single := make([]time.Duration, 0, singles)
	for i := range singles {
		number, accepted := write(movesFile("plan", i+1))
		single = append(single, s.await(number).Sub(accepted))
	}
	reads := s.store.Counts().Reads
	begun := time.Now()
	burstTimes := s.writeBurst(c, b)
	b.ReportMetric(slices.Max(single).Seconds()*1e3, "single_max_ms")
	b.ReportMetric(slices.Max(burstTimes).Seconds()*1e3, "burst_max_ms")
	b.ReportMetric(time.Since(begun).Seconds()*1e3, "burst_all_ms")
	b.ReportMetric(float64(s.store.Counts().Reads-reads), "burst_reads")
}

// writeBurst commits burstWrites writes by ten operators at once and returns how
// long each took to be in force on every replica.
func (s *cluster) writeBurst(c *settings.Committer, b *testing.B) []time.Duration {
	const operators = 10
	var mu sync.Mutex
	var group errgroup.Group
	accepted := make(map[uint64]time.Time)
	for o := range operators {
		group.Go(func() error {
			for i := range burstWrites / operators {
				file := fmt.Sprintf("platform/drains/targets/t%d-%d: {reason: burst}\n", o, i)
				done, err := c.Commit(b.Context(), time.Now(), settings.Request{Changes: parse(b, file)})
				if err != nil {
					return err
				}
				mu.Lock()
				accepted[done.Write.Number] = time.Now()
				mu.Unlock()
			}
			return nil
		})
	}
	assert.NilError(b, group.Wait())
	out := make([]time.Duration, 0, len(accepted))
	for number, at := range accepted {
		out = append(out, s.await(number).Sub(at))
	}
	return out
}
