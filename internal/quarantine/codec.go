package quarantine

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

type wireRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Generation  uint32
	Ends        uint8
	Service     string
	Last        []wireEnd
	Age         int64 // milliseconds
	Trusted     bool
}

type wireEnd struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation uint64
}

// Encode returns records in their wire form.
func Encode(records []Record) ([]byte, error) {
	w := make([]wireRecord, 0, len(records))
	for _, r := range records {
		last := make([]wireEnd, 0, len(r.Last))
		for _, e := range r.Last {
			last = append(last, wireEnd{Target: string(e.Target), Incarnation: uint64(e.Incarnation)})
		}
		w = append(w, wireRecord{
			Fingerprint: uint64(r.Fingerprint), Generation: r.Generation, Ends: r.Ends, Service: string(r.Service),
			Last: last, Age: r.Age.Milliseconds(), Trusted: r.Trusted,
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("quarantine: encode: %w", err)
	}
	return body, nil
}

// Decode reads records that Encode wrote. It leaves out what no host can have written.
func Decode(body []byte) ([]Record, error) {
	var w []wireRecord
	if err := compat.Unmarshal(body, &w); err != nil {
		return nil, fmt.Errorf("quarantine: decode: %w", err)
	}
	out := make([]Record, 0, min(len(w), maxRecords))
	for _, each := range w {
		if len(out) == maxRecords {
			break
		}
		age := time.Duration(min(max(each.Age, 0), refusedTTL.Milliseconds())) * time.Millisecond
		r := Record{
			Fingerprint: Fingerprint(each.Fingerprint), Suspicion: Suspicion{Generation: each.Generation, Ends: each.Ends, Trusted: each.Trusted},
			Service: key.Service(each.Service), Age: age,
		}
		for _, e := range each.Last[:min(len(each.Last), maxNamedEnds)] {
			r.Last = append(r.Last, End{Target: place.Target(e.Target), Incarnation: place.Incarnation(e.Incarnation)})
		}
		if r.Fingerprint != 0 {
			out = append(out, r)
		}
	}
	return out, nil
}
