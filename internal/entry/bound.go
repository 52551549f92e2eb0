package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// semaphore bounds how many requests are in one state at once.
type semaphore struct {
	limit int64
	inUse atomic.Int64
}

func (g *semaphore) tryAcquire() bool {
	if g.inUse.Add(1) > g.limit {
		g.inUse.Add(-1)
		return false
	}
	return true
}

func (g *semaphore) release() { g.inUse.Add(-1) }

// bodyMemory bounds the bytes of all request bodies held at once.
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

// ids makes request ids that no other process or life of it makes.
type ids struct {
	prefix string
	last   atomic.Uint64
}

// randomIDBytes is the length of the random part of request ids.
const randomIDBytes = 9

func newIDs() *ids {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	return &ids{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (i *ids) next() string {
	b := make([]byte, 0, len(i.prefix)+20)
	b = append(b, i.prefix...)
	return string(strconv.AppendUint(b, i.last.Add(1), 36))
}
