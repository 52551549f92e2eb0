package fake_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/place"
)

func newAdminClient(t *testing.T, handler http.Handler) *fake.AdminClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return fake.NewAdminClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
}

func TestAdminClientReachesTargets(t *testing.T) {
	set := newTargetSet(t)
	client := newAdminClient(t, fake.NewTargetAdmin(set))
	ctx := context.Background()
	grantShard(t, set.Targets()[0], 3)
	_, _, err := sendRequest(t, set.Targets()[0], "3", "/balance/k?operation=op1", "")
	assert.NilError(t, err)

	runs, err := client.RunsOf(ctx, []string{"op1", "op2"})
	assert.NilError(t, err)
	assert.DeepEqual(t, runs, []uint32{1, 0})
	counts, violations, err := client.Ledger(ctx)
	assert.NilError(t, err)
	assert.Equal(t, counts.Runs, uint64(1))
	assert.Equal(t, len(violations), 0)

	assert.NilError(t, client.Act(ctx, "balance-1", "kill"))
	_, _, err = sendRequest(t, set.Targets()[0], "3", "/balance/k?operation=op3", "")
	assert.Assert(t, err != nil)
	assert.NilError(t, client.Act(ctx, "balance-1", "start"))
	assert.ErrorContains(t, client.Act(ctx, "balance-1", "fly"), "400")
	assert.ErrorContains(t, client.Act(ctx, "balance-9", "kill"), "404")
}

func TestAdminClientSetsFleet(t *testing.T) {
	p := fake.NewPlatform()
	p.SetFleetLag(0)
	client := newAdminClient(t, fake.NewPlatformAdmin(p))
	ctx := context.Background()
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	host := place.HostRow{Host: "host-1", Zone: "zone-a", LeadAddr: addr, EntryAddr: addr}
	target := place.TargetRow{Target: "balance-1", Service: "balance", Zone: "zone-a", Addr: addr}
	assert.NilError(t, client.SetHosts(ctx, []place.HostRow{host}))
	assert.NilError(t, client.SetTargets(ctx, []place.TargetRow{target}))
	fleet, err := p.Fleet(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.Hosts), 1)
	assert.Equal(t, fleet.Hosts[0], host)
	assert.Equal(t, len(fleet.Targets), 1)
	assert.Equal(t, fleet.Targets[0], target)
}
