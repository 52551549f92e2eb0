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

// fakeTransport is a peer link on which some addresses answer.
type fakeTransport struct{ reachable map[netip.AddrPort]bool }

func (l *fakeTransport) Call(_ context.Context, to netip.AddrPort, _ peer.Kind, _ []byte) ([]byte, error) {
	if l.reachable[to] {
		return nil, nil
	}
	return nil, errors.New("no answer")
}

func (l *fakeTransport) Handle(peer.Kind, peer.Handler) {}

// twoZones is a deployment of zones a and b, seen by the keeper of b's lead.
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

func newTwoZones(t *testing.T, hold time.Duration) *twoZones {
	t.Helper()
	z := &twoZones{
		platform:  fake.NewPlatform(),
		transport: &fakeTransport{reachable: make(map[netip.AddrPort]bool)},
		service:   settings.Service{Name: "balance", Shards: 16, Zones: []place.Zone{"a", "b"}, Hold: hold},
		now:       time.Now(),
	}
	d := New(Config{Host: "host-b", Zone: "b", Timing: cell.DefaultTiming()}, Environment{
		Store: z.platform, Transport: z.transport, Replica: docsync.New(), Log: logging.Nop(),
	})
	r := newController(d, d.cellConfig(&view{}, z.service))
	r.status.store(cell.Status{ID: cellB, LeaseHeld: true})
	d.controllers[cellB] = r
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

// runRound runs the keeper once, d later.
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

func TestZoneDeclaredLostIsEvicted(t *testing.T) {
	z := newTwoZones(t, 0)
	z.view.settings.Losses = []settings.Loss{{Zone: "a", By: "ops", Reason: "fire"}}

	doc := z.runRound(t, time.Second)
	assert.Equal(t, len(doc.OwnableBy("a")), 0, "step 1: custody names the next zones")
	assert.Equal(t, len(doc.OwnableBy("b")), 8)

	z.runRound(t, time.Second)
	a, _, err := z.readCellOrEmpty(t.Context(), cellA)
	assert.NilError(t, err)
	assert.Equal(t, a.Term, grant.Term(4), "step 2: the lost cell's term rises")
	assert.Equal(t, len(a.Rows), 0)
	assert.Equal(t, len(a.Ceded), 8)

	z.runRound(t, time.Second)
	doc = z.runRound(t, time.Second)
	assert.Equal(t, len(doc.OwnableBy("b")), 8, "grants of a live zone have not ended yet")

	doc = z.runRound(t, 4*time.Second)
	assert.Equal(t, len(doc.OwnableBy("b")), 16, "step 3: custody is b's")
	for _, row := range doc.OwnableBy("b") {
		assert.Assert(t, row.Floor == 0 || row.Floor > 5)
	}
}

// TestEvictionResumesAfterCrash runs each step in a keeper that knows nothing
// of the steps before it.
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

func TestUnreachableZoneIsEvictedAfterHold(t *testing.T) {
	z := newTwoZones(t, 10*time.Second)
	for range 13 {
		doc := z.runRound(t, time.Second)
		assert.Equal(t, len(doc.OwnableBy("a")), 8, "the hold and the grants run")
	}
	for range 20 {
		doc := z.runRound(t, time.Second)
		assert.Assert(t, len(doc.OwnableBy("b")) >= 8, "b gives nothing to a zone that does not answer")
	}
	assert.Equal(t, len(z.runRound(t, time.Second).OwnableBy("b")), 16)

	z.transport.reachable[hostA.LeadAddr] = true
	for range 15 {
		z.runRound(t, time.Second)
	}
	doc := z.runRound(t, time.Second)
	assert.Equal(t, len(doc.Outgoing("b")), 8, "the zone is back and gets its share")
}

func TestZoneIsNotEvicted(t *testing.T) {
	for name, test := range map[string]struct {
		hold    time.Duration
		arrange func(t *testing.T, z *twoZones)
	}{
		"hold is forever": {0, func(*testing.T, *twoZones) {}},
		"a peer answers": {time.Second, func(_ *testing.T, z *twoZones) {
			z.transport.reachable[hostA.LeadAddr] = true
		}},
		"its lead renews the lease, though it is cut from the peers": {time.Second, func(t *testing.T, z *twoZones) {
			_, err := z.platform.Acquire(t.Context(), leaseName(cellA), "host-a", time.Hour)
			assert.NilError(t, err)
		}},
		"the store is down": {time.Second, func(_ *testing.T, z *twoZones) {
			z.platform.SetFaults(fake.PlatformFaults{Down: true})
		}},
		"this host leads nothing": {time.Second, func(_ *testing.T, z *twoZones) {
			z.controllers[cellB].status.store(cell.Status{ID: cellB})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			z := newTwoZones(t, test.hold)
			test.arrange(t, z)
			for range 30 {
				doc := z.runRound(t, time.Second)
				assert.Equal(t, len(doc.OwnableBy("a")), 8)
			}
		})
	}
}

// TestHeldLeaseRestartsAfterPause: this host was paused for longer than the
// lease of the silent zone, so that zone's lead may have held it in between.
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
