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

// TestZoneRemovedFromServiceTransfersShards: the settings name zone a alone
// from now on; the cell of b goes on until all its shards are on their way.
func TestZoneRemovedFromServiceTransfersShards(t *testing.T) {
	z := newTwoZones(t, 0)
	z.transport.reachable[hostA.LeadAddr] = true
	z.service.Zones = []place.Zone{"a"}
	z.view.settings.Services = []settings.Service{z.service}
	var doc custody.Doc
	for range 12 {
		doc = z.runRound(t, time.Second)
		assert.Equal(t, len(z.view.services("b")), 1, "the cell is still needed")
	}
	assert.Equal(t, len(doc.Outgoing("b")), 8)
}

// TestCellOfDeletedServiceStops: the cell hands over, gives up its goroutine
// and is forgotten.
func TestCellOfDeletedServiceStops(t *testing.T) {
	z := newTwoZones(t, 0)
	delete(z.controllers, cellB)
	r := reconciler{z.Daemon, t.Context()}
	r.reconcile(z.view)
	run := z.controllers[cellB]
	assert.Assert(t, run != nil)

	z.view.settings.Services = nil
	r.reconcile(z.view)
	assert.Equal(t, len(z.controllers), 0)
	<-run.quit
}

// TestRecreatedServiceKeepsShardCount: a service was deleted, and came back with
// another number of shards.
func TestRecreatedServiceKeepsShardCount(t *testing.T) {
	z := newTwoZones(t, 0)
	z.runRound(t, time.Second)
	z.service.Shards = 64
	assert.Equal(t, z.cellConfig(z.view, z.service).Shards, key.ShardCount(16))
}
