package table

import (
	"net/netip"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/key"
)

func TestCodec(t *testing.T) {
	full := Table{
		Service: "balance", Zone: "a", Version: Version{Term: 3, Sequence: 9}, Leader: "h1",
		LeaderAddr: netip.MustParseAddrPort("127.0.0.1:4000"), Shards: 4,
		Targets:    []Target{{Name: "t1", Addr: netip.MustParseAddrPort("127.0.0.1:5000"), Leaving: true, WarmupStart: time.Unix(7, 0).UTC()}, {}},
		Rows:       []Row{{Shard: 0, Epoch: 4, Owner: 1}, {Shard: 3, Epoch: 1 << 40, Owner: NoOwner}, {Shard: 900, Epoch: 1}},
		SingleKeys: []SingleKey{{Hash: key.HashOf("k"), Shard: 900}},
	}
	tests := map[string]Table{"empty": {}, "whole": full}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := Encode(want)
			assert.NilError(t, err)
			got, err := Decode(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
		})
	}
}

func TestDecodeCorrupted(t *testing.T) {
	full, err := Encode(Table{Targets: []Target{{Name: "t"}}, Rows: []Row{{Shard: 1}, {Shard: 2, Owner: NoOwner}}})
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{}, full...)
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		decoded, err := Decode(data)
		if err != nil {
			return
		}
		for _, r := range decoded.Rows {
			if r.Owner != NoOwner && int(r.Owner) >= len(decoded.Targets) {
				t.Fatalf("owner of row %v is not in the list of targets", r)
			}
		}
	})
}
