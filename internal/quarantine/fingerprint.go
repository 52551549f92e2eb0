package quarantine

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"github.com/dchest/siphash"
)

// Fingerprint identifies requests that are the same to a target. Zero stands for unknown.
type Fingerprint uint64

// String returns the fingerprint as operators write it, in 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	const digits = 16
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != digits || f == 0 {
		return 0, errors.New("quarantine: a fingerprint has 16 hexadecimal digits")
	}
	return Fingerprint(f), nil
}

// KeyBytes is the length of the key of a Hasher.
const KeyBytes = 16

// Hasher computes fingerprints. All hosts of a deployment use the same key, which callers
// don't know: with it they could make up requests that look like those of others.
type Hasher struct{ first, second uint64 }

// NewHasher returns a hasher with a key of KeyBytes.
func NewHasher(key []byte) (*Hasher, error) {
	if len(key) != KeyBytes {
		return nil, fmt.Errorf("quarantine: key of %d bytes", len(key))
	}
	return &Hasher{binary.LittleEndian.Uint64(key), binary.LittleEndian.Uint64(key[KeyBytes/2:])}, nil
}

// Sum returns the fingerprint of a request with a body and other parts, such as its path and
// the headers that name the caller. It reads the body once.
func (h *Hasher) Sum(body []byte, parts ...string) Fingerprint {
	const usualBytes = 512
	var space [usualBytes]byte
	b := space[:0]
	for _, part := range parts {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	if len(body) > 0 {
		b = binary.LittleEndian.AppendUint64(b, siphash.Hash(h.first, h.second, body))
	}
	return Fingerprint(max(siphash.Hash(h.first, h.second, b), 1))
}
