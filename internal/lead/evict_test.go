package lead

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// fakeTransport is a peer.Transport on which only some addresses are reachable.
type fakeTransport struct{ reachable map[netip.AddrPort]bool }

func (f *fakeTransport) Call(_ context.Context, to netip.AddrPort, _ peer.Kind, _ []byte) ([]byte, error) {
	if f.reachable[to] {
		return nil, nil
	}
	return nil, errors.New("no response")
}

func (f *fakeTransport) Handle(peer.Kind, peer.Handler) {}

// twoZones is a deployment of zones a and b, with the custody keeper of the host that
// leads the cell of zone b.
type twoZones struct {
	*custodyKeeper
	platform  *fake.Platform
	transport *fakeTransport
	view      *view
	service   settings.Service
	now       time.Time
}

var (
	cellA = cell.ID{Service: "balance", Zone: "a"}
	cellB = cell.ID{Service: "balance", Zone: "b"}
	hostA = place.HostRow{Host: "host-a", Zone: "a", LeadAddr: netip.MustParseAddrPort("127.0.0.1:1")}
)

func newTwoZones(t *testing.T, renewLimit time.Duration) *twoZones {
	t.Helper()
	z := &twoZones{
		platform:  fake.NewPlatform(),
		transport: &fakeTransport{reachable: make(map[netip.AddrPort]bool)},
		service:   settings.Service{Name: "balance", Shards: 16, Zones: []place.Zone{"a", "b"}, Hold: renewLimit},
		now:       time.Now(),
	}
	d := New(Config{Host: "host-b", Zone: "b", Timing: cell.DefaultTiming()}, Environment{
		Store: z.platform, Transport: z.transport, Replica: docsync.New(), Log: logging.Nop(),
	})
	c := newController(d, d.cellConfig(&view{}, z.service))
	c.status.store(cell.Status{ID: cellB, LeaseHeld: true})
	d.controllers[cellB] = c
	z.custodyKeeper = newCustodyKeeper(d)
	z.view = &view{
		settings: &settings.Settings{Services: []settings.Service{z.service}},
		fleet: platform.Fleet{Hosts: []place.HostRow{hostA}, Targets: []place.TargetRow{
			{Target: "t-a", Service: "balance", Zone: "a"}, {Target: "t-b", Service: "balance", Zone: "b"},
		}},
		custody: make(map[key.Service]custodyDoc),
	}
	first := custody.New("balance", 16, z.view.weights(z.service))
	z.writeCustody(t.Context(), first, 0)
	a := cell.Doc{ID: cellA, Term: 3, Leader: "host-a"}
	for _, row := range first.OwnableBy("a") {
		a.Rows = append(a.Rows, cell.Row{Shard: row.Shard, Epoch: 5, Owner: cell.NoTarget, Standby: cell.NoTarget})
	}
	z.writeCellDoc(t.Context(), a, 0)
	return z
}

// runRound advances the time by d, runs one round of the keeper and returns the custody
// document after it.
func (z *twoZones) runRound(t *testing.T, d time.Duration) custody.Doc {
	t.Helper()
	z.now = z.now.Add(d)
	v, _ := z.viewBuilder.latest()
	z.view.custody = v.custody
	doc := z.view.custody["balance"]
	if next, changed := z.nextCustody(t.Context(), z.now, z.view, z.service, doc); changed {
		z.writeCustody(t.Context(), next, doc.revision)
	}
	v, _ = z.viewBuilder.latest()
	return v.custody["balance"].Doc
}

// TestZoneDeclaredLostIsEvicted checks the three steps of an eviction, and that the epoch
// floors of the transferred shards are above their last epochs.
func TestZoneDeclaredLostIsEvicted(t *testing.T) {
	z := newTwoZones(t, 0)
	z.view.settings.Losses = []settings.Loss{{Zone: "a", By: "ops", Reason: "fire"}}

	doc := z.runRound(t, time.Second)
	assert.Equal(t, len(doc.OwnableBy("a")), 0, "step 1: the custody document names the destination zones")
	assert.Equal(t, len(doc.OwnableBy("b")), 8)

	z.runRound(t, time.Second)
	a, _, err := z.readCellOrEmpty(t.Context(), cellA)
	assert.NilError(t, err)
	assert.Equal(t, a.Term, grant.Term(4), "step 2: the lost cell's term increases")
	assert.Equal(t, len(a.Rows), 0)
	assert.Equal(t, len(a.Ceded), 8)

	z.runRound(t, time.Second)
	doc = z.runRound(t, time.Second)
	assert.Equal(t, len(doc.OwnableBy("b")), 8, "the zone may still run, its grants have not expired yet")

	doc = z.runRound(t, 4*time.Second)
	assert.Equal(t, len(doc.OwnableBy("b")), 16, "step 3: b has custody of all shards")
	for _, row := range doc.OwnableBy("b") {
		assert.Assert(t, row.Floor == 0 || row.Floor > 5)
	}
}

// TestEvictionResumesAfterCrash runs each step in a new keeper, which knows the earlier
// steps only from the documents.
func TestEvictionResumesAfterCrash(t *testing.T) {
	z := newTwoZones(t, 0)
	z.view.settings.Losses = []settings.Loss{{Zone: "a", By: "ops", Reason: "fire"}}
	for range 3 {
		z.custodyKeeper = newCustodyKeeper(z.Daemon)
		z.runRound(t, time.Second)
	}
	doc := z.runRound(t, 5*time.Second)
	assert.Equal(t, len(doc.OwnableBy("b")), 16)
}

// TestUnreachableZoneIsEvictedAfterRenewLimit checks that the shards of an unreachable zone stay
// there until its renew limit and its grants have ended, and that the zone gets shards again
// once it is reachable.
func TestUnreachableZoneIsEvictedAfterRenewLimit(t *testing.T) {
	z := newTwoZones(t, 10*time.Second)
	for range 13 {
		doc := z.runRound(t, time.Second)
		assert.Equal(t, len(doc.OwnableBy("a")), 8, "renew limit and grants have not ended")
	}
	for range 20 {
		doc := z.runRound(t, time.Second)
		assert.Assert(t, len(doc.OwnableBy("b")) >= 8, "b transfers nothing to an unreachable zone")
	}
	assert.Equal(t, len(z.runRound(t, time.Second).OwnableBy("b")), 16)

	z.transport.reachable[hostA.LeadAddr] = true
	for range 15 {
		z.runRound(t, time.Second)
	}
	doc := z.runRound(t, time.Second)
	assert.Equal(t, len(doc.Outgoing("b")), 8, "the zone is reachable again and gets its share")
}

// TestZoneIsNotEvicted covers the cases in which the grants of a zone may not have ended, or
// in which this host may not decide.
func TestZoneIsNotEvicted(t *testing.T) {
	for name, test := range map[string]struct {
		renewLimit time.Duration
		arrange    func(t *testing.T, z *twoZones)
	}{
		"no renew limit": {0, func(*testing.T, *twoZones) {}},
		"a host of the zone is reachable": {time.Second, func(_ *testing.T, z *twoZones) {
			z.transport.reachable[hostA.LeadAddr] = true
		}},
		"leader isolated from its peers renews the lease": {time.Second, func(t *testing.T, z *twoZones) {
			_, err := z.platform.Acquire(t.Context(), leaseName(cellA), "host-a", time.Hour)
			assert.NilError(t, err)
		}},
		"store is unavailable": {time.Second, func(_ *testing.T, z *twoZones) {
			z.platform.SetFaults(fake.PlatformFaults{Down: true})
		}},
		"this host leads no cell": {time.Second, func(_ *testing.T, z *twoZones) {
			z.controllers[cellB].status.store(cell.Status{ID: cellB})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			z := newTwoZones(t, test.renewLimit)
			test.arrange(t, z)
			for range 30 {
				doc := z.runRound(t, time.Second)
				assert.Equal(t, len(doc.OwnableBy("a")), 8)
			}
		})
	}
}

// TestHeldLeaseRestartsAfterPause pauses the process for longer than evictLeaseTTL. The
// unreachable zone's leader may have held the lease meanwhile, so the wait for the expiry of
// its grants has to start again.
func TestHeldLeaseRestartsAfterPause(t *testing.T) {
	z := newTwoZones(t, 10*time.Second)
	for range 10 {
		z.runRound(t, time.Second)
	}
	before := z.heldLeases[cellA].since
	z.runRound(t, time.Minute)
	z.runRound(t, time.Second)
	assert.Assert(t, z.heldLeases[cellA].since.After(before))
	assert.Equal(t, len(z.runRound(t, time.Second).OwnableBy("a")), 8)
}
