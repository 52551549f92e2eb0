package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/placement"
)

func newReport(shards int) placement.Report {
	r := placement.Report{Service: "balance", Zone: "zone-a", Period: time.Second}
	for i := range shards {
		r.Shards = append(r.Shards, placement.ShardLoad{
			Shard: key.Shard(2 * i), Requests: uint32(i + 1), Busy: time.Duration(i+1) * 1280 * time.Microsecond,
		})
	}
	r.HotKeys = []placement.HotKey{{Hash: 1 << 63, Busy: 1280 * time.Microsecond, Error: 128 * time.Microsecond}}
	return r
}

func TestReportRoundTrip(t *testing.T) {
	for name, shards := range map[string]int{"empty": 0, "one": 1, "all": 1024} {
		t.Run(name, func(t *testing.T) {
			want := newReport(shards)
			data, err := placement.EncodeReport(want)
			assert.NilError(t, err)
			got, err := placement.DecodeReport(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
			t.Logf("%d shards: %d bytes", shards, len(data))
		})
	}
}

func FuzzDecodeReport(f *testing.F) {
	for _, shards := range []int{0, 1, 20} {
		data, err := placement.EncodeReport(newReport(shards))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := placement.DecodeReport(data)
		if err != nil {
			return
		}
		again, err := placement.EncodeReport(r)
		assert.NilError(t, err)
		got, err := placement.DecodeReport(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, r)
	})
}
