// Package topk finds the keys with the greatest weight in a stream, in bounded memory. It
// uses the Space-Saving algorithm (Metwally, Agrawal, El Abbadi: Efficient Computation of
// Frequent and Top-k Elements in Data Streams, ICDT 2005).
package topk

import (
	"cmp"
	"slices"

	"citrontray.example/citrontray/internal/key"
)

// Item is a key of a sketch. Its true weight is between Weight - Error and Weight.
type Item struct {
	Hash   key.Hash
	Weight uint64
	Error  uint64
}

// Sketch holds a bounded number of keys. Every key whose weight is more than the total
// weight divided by the capacity is among them. It is not safe for concurrent use.
type Sketch struct {
	// heap is a binary min-heap by weight.
	heap     []Item
	index    map[key.Hash]int // into heap
	capacity int
}

// New returns an empty sketch for capacity keys, or for one if capacity is below one.
func New(capacity int) *Sketch {
	capacity = max(capacity, 1)
	return &Sketch{
		heap:     make([]Item, 0, capacity),
		index:    make(map[key.Hash]int, capacity),
		capacity: capacity,
	}
}

// Add adds weight to a key. If the sketch is full, a new key replaces the one with the
// least weight.
func (s *Sketch) Add(h key.Hash, weight uint64) {
	if i, ok := s.index[h]; ok {
		s.heap[i].Weight += weight
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.capacity {
		s.heap = append(s.heap, Item{Hash: h, Weight: weight})
		s.index[h] = len(s.heap) - 1
		s.siftUp(len(s.heap) - 1)
		return
	}
	lightest := s.heap[0]
	delete(s.index, lightest.Hash)
	s.heap[0] = Item{Hash: h, Weight: lightest.Weight + weight, Error: lightest.Weight}
	s.index[h] = 0
	s.siftDown(0)
}

// Top returns the n keys with the greatest weight, in descending order of weight.
func (s *Sketch) Top(n int) []Item {
	out := slices.Clone(s.heap)
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(n, len(out))]
}

// Reset removes all keys and keeps the allocated memory.
func (s *Sketch) Reset() {
	s.heap = s.heap[:0]
	clear(s.index)
}

func (s *Sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.heap[parent].Weight <= s.heap[i].Weight {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if right := child + 1; right < len(s.heap) && s.heap[right].Weight < s.heap[child].Weight {
			child = right
		}
		if s.heap[i].Weight <= s.heap[child].Weight {
			return
		}
		s.swap(i, child)
		i = child
	}
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.index[s.heap[i].Hash] = i
	s.index[s.heap[j].Hash] = j
}
