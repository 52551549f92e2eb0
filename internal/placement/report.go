// Package placement balances the load of the targets of a cell: it decides which shards
// to move between them, and only makes moves whose gain is worth their cost.
//
// The entries measure the load: the time for which requests occupy slots of a target.
// The package does no I/O and gets the current time as an argument.
package placement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const (
	// MaxHotKeys bounds the hot keys of one report.
	MaxHotKeys = 128
	// maxReportShards bounds the shards of one report.
	maxReportShards = 1 << 16
	// busyUnit is the unit of busy times on the wire.
	busyUnit = 128 * time.Microsecond
	// maxPeriod bounds the period of a report.
	maxPeriod = time.Minute
	// maxReportBytes bounds the size of the packed shards of one report.
	maxReportBytes = 1 << 20
)

// ErrMalformed is returned for a report that can't be decoded.
var ErrMalformed = errors.New("placement: malformed report")

// Report is the load of a cell's shards in a period, as measured by one entry.
type Report struct {
	Service key.Service
	Zone    place.Zone // of the cell
	Period  time.Duration
	// Shards lists the shards with requests, sorted by Shard.
	Shards []ShardLoad
	// HotKeys lists the hottest keys that are part of hash-range shards, hottest first.
	HotKeys []HotKey
}

// ShardLoad is the load of a shard in the period of a report. Busy is the total time
// for which its requests occupied slots.
type ShardLoad struct {
	Shard    key.Shard
	Requests uint32
	Busy     time.Duration
}

// HotKey is the load of a key. Busy may be too high by up to Error.
type HotKey struct {
	Hash  key.Hash
	Busy  time.Duration
	Error time.Duration
}

type wireReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Zone     string
	PeriodMS uint32
	Shards   []byte
	HotKeys  []wireHotKey
}

type wireHotKey struct {
	_     struct{} `cbor:",toarray"`
	Hash  uint64
	Busy  uint64
	Error uint64
}

// maxNesting bounds the nesting of a report.
const maxNesting = 4

var reportDecoder = compat.NewDecoder(cbor.DecOptions{MaxArrayElements: MaxHotKeys, MaxNestedLevels: maxNesting})

// EncodeReport returns the body of a load report, with at most MaxHotKeys hot keys.
func EncodeReport(r Report) ([]byte, error) {
	w := wireReport{
		Service:  string(r.Service),
		Zone:     string(r.Zone),
		PeriodMS: uint32(min(r.Period, maxPeriod).Milliseconds()),
		Shards:   packShards(r.Shards),
	}
	for _, h := range r.HotKeys[:min(len(r.HotKeys), MaxHotKeys)] {
		w.HotKeys = append(w.HotKeys, wireHotKey{Hash: uint64(h.Hash), Busy: toUnits(h.Busy), Error: toUnits(h.Error)})
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("placement: encode report: %w", err)
	}
	return data, nil
}

// DecodeReport decodes the body of a load report.
func DecodeReport(data []byte) (Report, error) {
	var w wireReport
	if err := reportDecoder.Unmarshal(data, &w); err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	r := Report{
		Service: key.Service(w.Service),
		Zone:    place.Zone(w.Zone),
		Period:  time.Duration(w.PeriodMS) * time.Millisecond,
	}
	if r.Period <= 0 || r.Period > maxPeriod {
		return Report{}, fmt.Errorf("%w: period %v", ErrMalformed, r.Period)
	}
	shards, err := unpackShards(w.Shards)
	if err != nil {
		return Report{}, err
	}
	r.Shards = shards
	for _, h := range w.HotKeys {
		r.HotKeys = append(r.HotKeys, HotKey{Hash: key.Hash(h.Hash), Busy: fromUnits(h.Busy), Error: fromUnits(h.Error)})
	}
	return r, nil
}

// toUnits returns d in units of busyUnit, rounded to the nearest, but at least one if d
// is positive.
func toUnits(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	return max(uint64((d+busyUnit/2)/busyUnit), 1)
}

// fromUnits converts units of busyUnit to a duration. It limits them to about 38 hours,
// so that sums of reports don't overflow.
func fromUnits(units uint64) time.Duration {
	const maxUnits = 1 << 30
	return time.Duration(min(units, maxUnits)) * busyUnit
}

// packShards encodes, for each shard, the gap to the one before, the requests and the
// busy time as varints, in three or four bytes as a rule.
func packShards(shards []ShardLoad) []byte {
	var out []byte
	next := key.Shard(0)
	for _, s := range shards[:min(len(shards), maxReportShards)] {
		out = binary.AppendUvarint(out, uint64(s.Shard-next))
		out = binary.AppendUvarint(out, uint64(s.Requests))
		out = binary.AppendUvarint(out, toUnits(s.Busy))
		next = s.Shard + 1
	}
	return out
}

func unpackShards(data []byte) ([]ShardLoad, error) {
	if len(data) > maxReportBytes {
		return nil, fmt.Errorf("%w: %d bytes of shards", ErrMalformed, len(data))
	}
	var out []ShardLoad
	next := uint64(0)
	for len(data) > 0 {
		var field [3]uint64
		for i := range field {
			value, size := binary.Uvarint(data)
			if size <= 0 {
				return nil, fmt.Errorf("%w: shards are truncated", ErrMalformed)
			}
			field[i], data = value, data[size:]
		}
		shard := next + field[0]
		if field[0] > maxShard || shard > maxShard || field[1] > maxRequests || len(out) >= maxReportShards {
			return nil, fmt.Errorf("%w: shard %d is out of bounds", ErrMalformed, shard)
		}
		out = append(out, ShardLoad{Shard: key.Shard(shard), Requests: uint32(field[1]), Busy: fromUnits(field[2])})
		next = shard + 1
	}
	return out, nil
}

const (
	maxShard    = 1<<32 - 1
	maxRequests = 1<<32 - 1
)
