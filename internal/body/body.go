// Package body reads the bodies of messages into memory, within limits.
package body

import (
	"errors"
	"io"
)

// ErrTooLarge is returned for a body beyond its limit.
var ErrTooLarge = errors.New("body: too large")

// ErrNoMemory is returned if there is no memory left for a body.
var ErrNoMemory = errors.New("body: no memory left")

// Reserve reserves memory for more bytes and reports whether it was available. A nil Reserve
// stands for memory without a limit.
type Reserve func(bytes int64) bool

func (r Reserve) take(bytes int64) bool { return r == nil || r(bytes) }

// firstPart is the memory that is reserved first, in bytes.
const firstPart = 4 << 10

// Read reads a body of the given length, -1 if it is not known, and of at most limit bytes. Memory
// is reserved before it is used, and doubled each time: a body need not be as long as it
// claims. What was reserved stays so after an error.
func Read(r io.Reader, length, limit int64, reserve Reserve) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	longest := limit + 1 // one more, to notice a longer body or the end
	if length >= 0 {
		longest = length + 1
	}
	var out []byte
	for {
		if len(out) == cap(out) {
			more := min(max(int64(len(out)), firstPart), longest-int64(len(out)))
			if !reserve.take(more) {
				return nil, ErrNoMemory
			}
			next := make([]byte, len(out), int64(len(out))+more)
			copy(next, out)
			out = next
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case int64(len(out)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		case int64(len(out)) == longest:
			return nil, ErrTooLarge // beyond the length that it claims
		}
	}
}
