package docsync

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/table"
)

// encodedTable returns the encoded routing table of a cell with 20 targets,
// with random epochs and owners, after some moves.
func encodedTable(tb testing.TB, rows, moves int) []byte {
	tb.Helper()
	const targets = 20
	t := table.Table{Service: "balance", Zone: "zone-a", Shards: key.ShardCount(rows), Version: table.Version{Term: 3, Sequence: uint64(moves)}}
	for i := range targets {
		t.Targets = append(t.Targets, table.Target{
			Name:        place.Target(fmt.Sprintf("balance-%02d", i)),
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8000),
			WarmupStart: time.Unix(1_700_000_000, 0),
		})
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range rows {
		t.Rows = append(t.Rows, table.Row{Shard: key.Shard(i), Epoch: grant.Epoch(random.IntN(40) + 1), Owner: table.TargetIndex(random.IntN(targets))})
	}
	for i := range moves {
		row := &t.Rows[i*104729%rows]
		row.Epoch++
		row.Owner = table.TargetIndex((int(row.Owner) + 1) % targets)
	}
	data, err := table.Encode(t)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// BenchmarkDelta measures the delta of a table's update against its full
// encoding, by the number of rows and of moves.
func BenchmarkDelta(b *testing.B) {
	for _, rows := range []int{256, 1024, 4096} {
		for _, moves := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("rows=%d/moves=%d", rows, moves), func(b *testing.B) {
				base, next := encodedTable(b, rows, 0), encodedTable(b, rows, moves)
				full := encodeFull(Document{Body: next})
				var delta []byte
				for b.Loop() {
					delta = deltaOf(b, next, base)
				}
				b.ReportMetric(float64(len(next)), "body_B")
				b.ReportMetric(float64(len(full.payload)), "packed_B")
				b.ReportMetric(float64(len(delta)), "delta_B")
			})
		}
	}
}

func BenchmarkDecodeDelta(b *testing.B) {
	base, next := encodedTable(b, 1024, 0), encodedTable(b, 1024, 10)
	delta := deltaOf(b, next, base)
	for b.Loop() {
		if _, err := decompress(delta, base); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
}

func deltaOf(t testing.TB, body, base []byte) []byte {
	t.Helper()
	delta, err := compressDelta(body, base)
	assert.NilError(t, err)
	return delta
}
