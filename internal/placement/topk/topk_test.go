package topk_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/placement/topk"
)

// TestBounds checks the guarantees of the algorithm on random streams: the true weight of
// an item is within its bounds, and no key above the threshold is missing.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		stream := rapid.SliceOf(rapid.Uint64Range(0, 40)).Draw(t, "stream")
		sketch := topk.New(capacity)
		truth := make(map[key.Hash]uint64)
		total := uint64(0)
		for i, h := range stream {
			weight := uint64(i%5 + 1)
			sketch.Add(key.Hash(h), weight)
			truth[key.Hash(h)] += weight
			total += weight
		}
		found := make(map[key.Hash]bool)
		last := ^uint64(0)
		for _, item := range sketch.Top(capacity) {
			found[item.Hash] = true
			assert.Assert(t, item.Weight <= last)
			assert.Assert(t, truth[item.Hash] <= item.Weight)
			assert.Assert(t, item.Weight-item.Error <= truth[item.Hash])
			last = item.Weight
		}
		for h, weight := range truth {
			assert.Assert(t, found[h] || weight <= total/uint64(capacity))
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	sketch := topk.New(256)
	for i := range b.N {
		sketch.Add(key.Hash(uint64(i)*0x9e3779b97f4a7c15>>48), 1)
	}
}
