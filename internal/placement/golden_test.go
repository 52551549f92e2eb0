package placement_test

import (
	"encoding/base64"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/placement"
)

// TestGolden: the golden report, written by revision 2bbdf8e, is decoded to the same
// value, and this is encoded to the same bytes. During an upgrade, entries of one
// release report to leaders of another.
func TestGolden(t *testing.T) {
	const golden = "hWNzdmNiejEZBdxJA6wCCvsHAegHgYMbgAAAAAAAAAAYMgE="
	want := placement.Report{
		Service: "svc", Zone: "z1", Period: 1500 * time.Millisecond,
		Shards: []placement.ShardLoad{
			{Shard: 3, Requests: 300, Busy: 1280 * time.Microsecond},
			{Shard: 1023, Requests: 1, Busy: 128 * time.Millisecond},
		},
		HotKeys: []placement.HotKey{{Hash: 1 << 63, Busy: 6400 * time.Microsecond, Error: 128 * time.Microsecond}},
	}
	body, err := base64.StdEncoding.DecodeString(golden)
	assert.NilError(t, err)
	got, err := placement.DecodeReport(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	again, err := placement.EncodeReport(want)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, body)
}
