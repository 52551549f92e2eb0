package custody_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

func weights(a, b, c int) []custody.ZoneTargets {
	return []custody.ZoneTargets{{Zone: "a", Targets: a}, {Zone: "b", Targets: b}, {Zone: "c", Targets: c}}
}

func TestNewSplitsByTargets(t *testing.T) {
	for name, test := range map[string]struct {
		weights []custody.ZoneTargets
		want    map[place.Zone]int
	}{
		"even":             {weights(2, 2, 2), map[place.Zone]int{"a": 342, "b": 341, "c": 341}},
		"one zone empty":   {weights(3, 0, 1), map[place.Zone]int{"a": 768, "c": 256}},
		"no target at all": {weights(0, 0, 0), map[place.Zone]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			doc := custody.New("balance", 1024, test.weights)
			assert.DeepEqual(t, doc.CountByZone(), test.want)
		})
	}
}

func TestEvictRaisesFloors(t *testing.T) {
	doc := custody.New("balance", 64, weights(1, 1, 1))
	last := cell.Doc{Term: 7, Leader: "host-1"}
	all := doc.OwnableBy("a")
	for _, row := range all[1:] {
		last.Rows = append(last.Rows, cell.Row{Shard: row.Shard, Epoch: 41})
	}
	doc, changed := custody.Evict(doc, "a", weights(0, 1, 1))
	assert.Assert(t, changed)
	assert.Equal(t, len(doc.OwnableBy("a")), 0)
	last = cell.Evict(last, 9, doc.Outgoing("a"), grant.Declared{By: "ops", Reason: "fire"})
	assert.Equal(t, last.Term, grant.Term(8))
	assert.Equal(t, len(last.Rows), 0)
	doc, changed = custody.CompleteTransfers(doc, "a", last.Ceded)
	assert.Assert(t, changed)
	assert.Equal(t, doc.CountByZone()["a"], 0)
	for _, row := range all {
		assert.Assert(t, doc.Rows[row.Shard].Floor > 41)
	}
	_, again := custody.Evict(doc, "a", weights(0, 1, 1))
	assert.Assert(t, !again)
}

// TestTransfers plans, completes and evicts at random. It checks that a shard is always
// in one zone, that no floor falls, that no transfer changes its destination, and that
// the zones reach their shares once the weights no longer change.
func TestTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := custody.New("balance", 64, weights(1, 1, 1))
		zones := []place.Zone{"a", "b", "c"}
		w := weights(1, 1, 1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := doc
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(0, 3)
				w = weights(n.Draw(t, "a"), n.Draw(t, "b"), n.Draw(t, "c"))
			case 1:
				doc, _ = custody.PlanTransfers(doc, zone, w, rapid.IntRange(0, 8).Draw(t, "budget"))
			case 2:
				doc, _ = custody.CompleteTransfers(doc, zone, randomCeded(t, doc))
			case 3:
				doc, _ = custody.Evict(doc, zone, w)
			}
			checkTransition(t, before, doc)
		}
		completeAll(t, doc, w, zones)
	})
}

// randomCeded returns random shards as ceded by a cell, with random floors.
func randomCeded(t *rapid.T, doc custody.Doc) []cell.CededShard {
	var out []cell.CededShard
	for s := range doc.Rows {
		if rapid.IntRange(0, 3).Draw(t, "given") == 0 {
			out = append(out, cell.CededShard{Shard: key.Shard(s), Floor: grant.Epoch(rapid.IntRange(0, 9).Draw(t, "floor"))})
		}
	}
	return out
}

func checkTransition(t *rapid.T, before, after custody.Doc) {
	for s, row := range after.Rows {
		old := before.Rows[s]
		assert.Assert(t, row.Zone != "")
		assert.Assert(t, row.Floor >= old.Floor)
		if old.Next == "" {
			assert.Equal(t, row.Zone, old.Zone)
			continue
		}
		unchanged := row == old
		completed := row.Zone == old.Next && row.Next == ""
		assert.Assert(t, unchanged || completed)
	}
}

// completeAll completes all transfers and checks that the zones reach their shares.
func completeAll(t *rapid.T, doc custody.Doc, w []custody.ZoneTargets, zones []place.Zone) {
	all := make([]cell.CededShard, 0, len(doc.Rows))
	for s := range doc.Rows {
		all = append(all, cell.CededShard{Shard: key.Shard(s)})
	}
	for range 40 {
		for _, zone := range zones {
			doc, _ = custody.PlanTransfers(doc, zone, w, 8)
			doc, _ = custody.CompleteTransfers(doc, zone, all)
		}
	}
	total := 0
	for _, x := range w {
		total += x.Targets
	}
	if total == 0 {
		return
	}
	count := doc.CountByZone()
	for _, x := range w {
		share := (len(doc.Rows)*x.Targets + total - 1) / total
		assert.Assert(t, count[x.Zone] <= share+share/5, "zone %s has %d of a share of %d", x.Zone, count[x.Zone], share)
	}
}

func TestCodec(t *testing.T) {
	doc := custody.New("balance", 1024, weights(2, 2, 1))
	doc.WriteID = "w1"
	doc, _ = custody.PlanTransfers(doc, "a", weights(0, 1, 1), 5)
	body, err := custody.Encode(doc)
	assert.NilError(t, err)
	got, err := custody.Decode(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, doc)
	assert.Assert(t, len(body) < 16<<10)
}

func FuzzDecode(f *testing.F) {
	body, err := custody.Encode(custody.New("balance", 8, weights(1, 1, 1)))
	assert.NilError(f, err)
	f.Add(body)
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = custody.Decode(b)
	})
}
