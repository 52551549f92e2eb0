package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// semaphore limits the number of requests in one state, without waiting.
type semaphore struct {
	limit int64
	inUse atomic.Int64
}

func (s *semaphore) tryAcquire() bool {
	if s.inUse.Add(1) > s.limit {
		s.inUse.Add(-1)
		return false
	}
	return true
}

func (s *semaphore) release() { s.inUse.Add(-1) }

// bodyMemory limits the total size of the request bodies in memory, in bytes.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// ids generates request IDs that are unique over all processes and their incarnations,
// by a random prefix.
type ids struct {
	prefix string
	last   atomic.Uint64
}

// randomIDBytes is the length of the random prefix, before its hex encoding.
const randomIDBytes = 9

func newIDs() *ids {
	var random [randomIDBytes]byte
	_, _ = rand.Read(random[:])
	return &ids{prefix: hex.EncodeToString(random[:]) + "-"}
}

func (i *ids) next() string {
	b := make([]byte, 0, len(i.prefix)+20)
	b = append(b, i.prefix...)
	return string(strconv.AppendUint(b, i.last.Add(1), 36))
}
