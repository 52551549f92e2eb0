package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDocSize checks that the document of a large cell stays below a quarter of the
// store's limit of 1 MiB per value.
func TestDocSize(t *testing.T) {
	const limit = 1 << 20
	d := newDriver(100, 4096)
	d.run(3 * time.Second)
	doc := d.cell.doc.clone()
	for i := range maxSingleKeys {
		doc.SingleKeys = append(doc.SingleKeys, SingleKey{Hash: 1 << 62, Shard: 1 << 30, Parent: 4095, SplitEpoch: 1 << 30})
		doc.Rows = append(doc.Rows, Row{Shard: 1<<30 + doc.NextSingleKey, Epoch: 1 << 30, Owner: 99, Standby: 98})
		doc.NextSingleKey += 4096
		doc.Ceded = append(doc.Ceded, CededShard{Shard: 4095, Floor: 1 << 30})
		if i < maxMoveHistory {
			doc.Moves = append(doc.Moves, Move{At: simStart, Shard: 1 << 30, From: "a-long-target-name", To: "a-long-target-name"})
		}
	}
	data, err := EncodeDoc(doc)
	assert.NilError(t, err)
	t.Logf("%d rows, %d targets: %d bytes", len(doc.Rows), len(doc.Targets), len(data))
	assert.Assert(t, len(data) < limit/4)
	small := newDriver(20, 1024)
	small.run(3 * time.Second)
	data, err = EncodeDoc(small.cell.doc)
	assert.NilError(t, err)
	t.Logf("1024 rows, 20 targets: %d bytes", len(data))
}
