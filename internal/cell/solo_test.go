package cell

import (
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
)

// TestSoloShardsOfTwoCellsDiffer: cells of two zones counted from 1,024 both,
// and the entries, which merge the tables of a service, sent keys of one zone
// to targets of the other.
func TestSoloShardsOfTwoCellsDiffer(t *testing.T) {
	const shards key.ShardCount = 1024
	used := make(map[key.Shard]bool)
	for _, parents := range [][]key.Shard{{0, 3, 3, 5}, {1, 2, 2, 1023}} {
		var next key.Shard
		for _, parent := range parents {
			var shard key.Shard
			shard, next = soloShard(next, parent, shards)
			assert.Assert(t, shard >= key.Shard(shards))
			assert.Assert(t, !used[shard], "shard %d is used twice", shard)
			used[shard] = true
		}
	}
}
