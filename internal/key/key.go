// Package key maps the keys of a service to the shards of its key space.
package key

import "github.com/cespare/xxhash/v2"

// Service is the name of a service. Each service has a key space of its own.
type Service string

// Hash is the 64-bit xxHash of a key within its service.
type Hash uint64

// Shard is an index into the shard rows of a service. Values below the service's
// ShardCount are hash ranges; values from ShardCount on are single-key shards.
type Shard uint32

// ShardCount is the number of hash-range shards of a service, a power of two.
type ShardCount uint32

// DefaultShardCount is used if the settings name no count.
const DefaultShardCount ShardCount = 1024

// HashOf returns the hash of a key.
func HashOf(k string) Hash {
	return Hash(xxhash.Sum64String(k))
}

// Shard returns the hash-range shard of h. As count is a power of two, the high bits of
// the hash select the shard, and doubling the count splits each shard in two.
func (h Hash) Shard(count ShardCount) Shard {
	if count <= 1 {
		return 0
	}
	return Shard(uint64(h) / (^uint64(0)/uint64(count) + 1))
}

// Valid reports whether the count is a power of two.
func (c ShardCount) Valid() bool {
	return c > 0 && c&(c-1) == 0
}
