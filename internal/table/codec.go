package table

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/wire"
)

type wireTable struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Zone       string
	Term       uint64
	Sequence   uint64
	Leader     string
	LeaderAddr string
	Shards     uint32
	Targets    []wireTarget
	// Rows holds shard, epoch and owner of each row in turn; each shard as the
	// difference to that of the row before.
	Rows       []uint64
	SingleKeys []uint64 // hash and shard of each key in turn
}

type wireTarget struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Addr        string
	Leaving     bool
	WarmupStart int64 // start of the warm-up, Unix time in nanoseconds
}

// The numbers per entry of wireTable.Rows and wireTable.SingleKeys.
const (
	rowWidth       = 3
	singleKeyWidth = 2
)

// Encode encodes a table as the body of a document.
func Encode(t Table) ([]byte, error) {
	w := wireTable{
		Service: string(t.Service), Zone: string(t.Zone),
		Term: uint64(t.Version.Term), Sequence: t.Version.Sequence,
		Leader: string(t.Leader), LeaderAddr: wire.FormatAddr(t.LeaderAddr), Shards: uint32(t.Shards),
		Rows: make([]uint64, 0, rowWidth*len(t.Rows)),
	}
	for _, target := range t.Targets {
		w.Targets = append(w.Targets, targetToWire(target))
	}
	last := key.Shard(0)
	for _, r := range t.Rows {
		w.Rows = append(w.Rows, uint64(r.Shard-last), uint64(r.Epoch), uint64(r.Owner))
		last = r.Shard
	}
	for _, s := range t.SingleKeys {
		w.SingleKeys = append(w.SingleKeys, uint64(s.Hash), uint64(s.Shard))
	}
	data, err := cbor.Marshal(w)
	return data, oops.Wrapf(err, "encode table")
}

// Decode decodes the output of Encode and returns an error for malformed data.
// The owners in a decoded table are NoOwner or valid indexes into its targets.
func Decode(data []byte) (Table, error) {
	var w wireTable
	if err := compat.Unmarshal(data, &w); err != nil {
		return Table{}, oops.Wrapf(err, "decode table")
	}
	if len(w.Rows)%rowWidth != 0 || len(w.SingleKeys)%singleKeyWidth != 0 {
		return Table{}, oops.Errorf("decode table: incomplete rows or keys")
	}
	t := Table{
		Service: key.Service(w.Service), Zone: place.Zone(w.Zone),
		Version: Version{Term: grant.Term(w.Term), Sequence: w.Sequence},
		Leader:  place.Host(w.Leader), LeaderAddr: wire.ParseAddr(w.LeaderAddr), Shards: key.ShardCount(w.Shards),
	}
	for _, target := range w.Targets {
		t.Targets = append(t.Targets, targetFromWire(target))
	}
	for i := 0; i < len(w.SingleKeys); i += singleKeyWidth {
		t.SingleKeys = append(t.SingleKeys, SingleKey{Hash: key.Hash(w.SingleKeys[i]), Shard: key.Shard(w.SingleKeys[i+1])})
	}
	return t, t.rowsFromWire(w.Rows)
}

func (t *Table) rowsFromWire(rows []uint64) error {
	last := key.Shard(0)
	for i := 0; i < len(rows); i += rowWidth {
		last += key.Shard(rows[i])
		owner := TargetIndex(rows[i+2])
		if rows[i+2] > uint64(NoOwner) || owner != NoOwner && int(owner) >= len(t.Targets) {
			return oops.Errorf("decode table: owner of shard %d is not in the list of targets", last)
		}
		t.Rows = append(t.Rows, Row{Shard: last, Epoch: grant.Epoch(rows[i+1]), Owner: owner})
	}
	return nil
}

func targetToWire(t Target) wireTarget {
	return wireTarget{
		Name: string(t.Name), Addr: wire.FormatAddr(t.Addr),
		Leaving: t.Leaving, WarmupStart: wire.UnixNano(t.WarmupStart),
	}
}

func targetFromWire(w wireTarget) Target {
	return Target{
		Name: place.Target(w.Name), Addr: wire.ParseAddr(w.Addr),
		Leaving: w.Leaving, WarmupStart: wire.Time(w.WarmupStart),
	}
}
