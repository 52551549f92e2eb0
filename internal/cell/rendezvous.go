package cell

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/key"
)

// rendezvousWeight returns the weight of a candidate in rendezvous hashing, where the
// candidate with the highest weight is chosen.
func rendezvousWeight(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// shardWeight is like rendezvousWeight for a shard at a target, without the cost of
// formatting the shard number. It mixes the bits by the finalizer of SplitMix64.
func shardWeight(shard key.Shard, target string) uint64 {
	h := xxhash.Sum64String(target) ^ uint64(shard)*0x9e3779b97f4a7c15
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

func compareDescending(a, b uint64) int { return cmp.Compare(b, a) }
