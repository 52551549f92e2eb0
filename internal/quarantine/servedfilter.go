package quarantine

import "time"

const (
	// filterBits is the number of bits of a half of a servedFilter, a power of two.
	filterBits = 1 << 19
	// filterTime is how long a half is filled.
	filterTime = time.Minute
)

// servedFilter remembers which requests were served in the last filterTime to twice that. It
// is a Bloom filter with two bits a request: it may also contain others.
type servedFilter struct {
	// halves are empty until the first request is added. The first one is filled.
	halves  [2][]uint64
	swapped time.Time
}

// rotate empties the older half if it is time to, and makes it the one that is filled.
func (s *servedFilter) rotate(now time.Time) {
	age := now.Sub(s.swapped)
	if age < filterTime {
		return
	}
	s.halves[0], s.halves[1] = s.halves[1], s.halves[0]
	clear(s.halves[0])
	if age >= 2*filterTime {
		clear(s.halves[1])
	}
	s.swapped = now
}

func (s *servedFilter) add(now time.Time, f Fingerprint) {
	if f == 0 {
		return
	}
	const wordBits = 64
	if s.halves[0] == nil {
		for i := range s.halves {
			s.halves[i] = make([]uint64, filterBits/wordBits)
		}
		s.swapped = now
	}
	s.rotate(now)
	for _, bit := range filterPositions(f) {
		s.halves[0][bit/wordBits] |= 1 << (bit % wordBits)
	}
}

func (s *servedFilter) contains(now time.Time, f Fingerprint) bool {
	if s.halves[0] == nil {
		return false
	}
	s.rotate(now)
	for _, half := range s.halves {
		found := true
		for _, bit := range filterPositions(f) {
			const wordBits = 64
			found = found && half[bit/wordBits]&(1<<(bit%wordBits)) != 0
		}
		if found {
			return true
		}
	}
	return false
}

// filterPositions returns the bits of a request: fingerprints are evenly distributed.
func filterPositions(f Fingerprint) [2]uint64 {
	const second = 32
	return [2]uint64{uint64(f) % filterBits, uint64(f) >> second % filterBits}
}
