package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/table"
)

// TestSingleKeyFollowsItsShard tests that a single-key shard goes with its parent shard.
// Zone a was partitioned and its shards were taken away, but its last table, which has a
// single key, is still in the replica.
func TestSingleKeyFollowsItsShard(t *testing.T) {
	const shards key.ShardCount = 4
	hash := key.HashOf("00855")
	parent := hash.Shard(shards)
	single := key.Shard(shards) + parent
	older := &table.Table{
		Zone: "a", Shards: shards,
		Rows:       []table.Row{{Shard: parent, Epoch: 5, Owner: 0}, {Shard: single, Epoch: 5, Owner: 0}},
		SingleKeys: []table.SingleKey{{Hash: hash, Shard: single}},
	}
	newer := &table.Table{
		Zone: "b", Shards: shards,
		Rows: []table.Row{{Shard: parent, Epoch: 1029, Owner: 0}},
	}
	for name, test := range map[string]struct {
		tables []*table.Table
		shard  key.Shard
	}{
		"one zone":             {[]*table.Table{older}, single},
		"taken away":           {[]*table.Table{older, newer}, parent},
		"taken away, reversed": {[]*table.Table{newer, older}, parent},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Entry{loadCounters: newLoadCounters()}
			s := e.newService(test.tables[0])
			for _, tab := range test.tables {
				for _, row := range tab.Rows {
					s.add(row, []*targetState{{}}, tab)
				}
			}
			for _, tab := range test.tables {
				s.addSingleKeys(tab)
			}
			shard, _ := s.find(hash)
			assert.Equal(t, shard, test.shard)
		})
	}
}
