package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
)

// TestSingleKeyShardsUnique guards against two zones that use the same number for a
// single-key shard. The entries merge the tables of a service, so keys of one zone were
// sent to targets of the other when both counted from 1,024.
func TestSingleKeyShardsUnique(t *testing.T) {
	const shards key.ShardCount = 1024
	used := make(map[key.Shard]bool)
	for _, parents := range [][]key.Shard{{0, 3, 3, 5}, {1, 2, 2, 1023}} {
		var next key.Shard
		for _, parent := range parents {
			var shard key.Shard
			shard, next = singleKeyShard(next, parent, shards)
			assert.Assert(t, shard >= key.Shard(shards))
			assert.Assert(t, !used[shard], "shard %d is used twice", shard)
			used[shard] = true
		}
	}
}

// TestMovedSingleKeyCeded guards against a deadlock between a single key and its parent
// shard when the shard is taken out of custody. It came about when the key had been
// moved to a target that had never held the parent shard.
func TestMovedSingleKeyCeded(t *testing.T) {
	w := newSim(options{seed: 1, hosts: 3, targets: 4, noFaults: true, duration: time.Hour})
	w.runUntil(4 * time.Second)
	parent := w.doc.Rows[0].Shard
	hash := key.Hash(uint64(parent) << 62) // the first key of one of four shards
	to := w.doc.Targets[(w.doc.Rows[0].Owner+1)%4].Target
	for _, h := range w.hosts {
		w.handle(h, h.incarnation, PlanReceived{Moves: []PlannedMove{{Shard: parent, To: to, HotKey: hash, Split: true}}})
	}
	w.runUntil(w.now + 5*time.Second)
	assert.Equal(t, len(w.doc.SingleKeys), 1)
	row := w.doc.Rows[w.doc.rowIndex(w.doc.SingleKeys[0].Shard)]
	assert.Equal(t, w.doc.Targets[row.Owner].Target, to)

	w.changeCustody(parent, 0, false)
	w.runUntil(w.now + 10*time.Second)
	assert.Equal(t, w.failure, "")
	assert.Equal(t, len(w.doc.SingleKeys), 0)
	assert.Equal(t, w.doc.rowIndex(parent), -1)
}
