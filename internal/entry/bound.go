package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// gate bounds how many requests are in one state at once.
type gate struct {
	bound int64
	now   atomic.Int64
}

func (g *gate) enter() bool {
	if g.now.Add(1) > g.bound {
		g.now.Add(-1)
		return false
	}
	return true
}

func (g *gate) leave() { g.now.Add(-1) }

// memory bounds the bytes of all request bodies held at once.
type memory struct {
	bound int64
	used  atomic.Int64
}

func (m *memory) reserve(n int64) bool {
	if m.used.Add(n) > m.bound {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memory) release(n int64) { m.used.Add(-n) }

// ids makes request ids that no other process or life of it makes.
type ids struct {
	prefix string
	last   atomic.Uint64
}

// idBytes is the length of the random part of request ids.
const idBytes = 9

func newIDs() *ids {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return &ids{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (i *ids) next() string {
	b := make([]byte, 0, len(i.prefix)+20)
	b = append(b, i.prefix...)
	return string(strconv.AppendUint(b, i.last.Add(1), 36))
}
