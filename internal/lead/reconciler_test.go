package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/settings"
)

// TestZoneRemovedFromServiceTransfersShards removes zone b from a service. The cell of b
// must go on running while its shards are transferred to zone a.
func TestZoneRemovedFromServiceTransfersShards(t *testing.T) {
	z := newTwoZones(t, 0)
	z.transport.reachable[hostA.LeadAddr] = true
	z.service.Zones = []place.Zone{"a"}
	z.view.settings.Services = []settings.Service{z.service}
	var doc custody.Doc
	for range 12 {
		doc = z.runRound(t, time.Second)
		assert.Equal(t, len(z.view.services("b")), 1, "b still needs its cell")
	}
	assert.Equal(t, len(doc.Outgoing("b")), 8)
}

// TestCellOfDeletedServiceStops checks that the cell of a deleted service stops, that its
// goroutine ends and that the daemon drops it.
func TestCellOfDeletedServiceStops(t *testing.T) {
	z := newTwoZones(t, 0)
	delete(z.controllers, cellB)
	r := reconciler{z.Daemon, t.Context()}
	r.reconcile(z.view)
	c := z.controllers[cellB]
	assert.Assert(t, c != nil)

	z.view.settings.Services = nil
	r.reconcile(z.view)
	assert.Equal(t, len(z.controllers), 0)
	<-c.quit
}

// TestRecreatedServiceKeepsShardCount covers a service that was deleted and created again
// with another number of shards. Its custody document remains, and with it the old number.
func TestRecreatedServiceKeepsShardCount(t *testing.T) {
	z := newTwoZones(t, 0)
	z.runRound(t, time.Second)
	z.service.Shards = 64
	assert.Equal(t, z.cellConfig(z.view, z.service).Shards, key.ShardCount(16))
}
