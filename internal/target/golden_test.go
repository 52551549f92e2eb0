package target_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/target"
)

// TestGoldenOrder: the golden orders, written by revision 2bbdf8e, are decoded to the
// same values, and these are encoded to the same bytes. During an upgrade, leaders of
// two releases send orders to a target.
func TestGoldenOrder(t *testing.T) {
	for name, test := range map[string]struct {
		golden string
		want   grant.Order
	}{
		"all fields": {
			`{"service":"svc","zone":"z1","term":4,"incarnation":7,"anchor":5000000000,"duration":2500000000,"all":true,"digest":9223372036854775808,"inventory":true,"items":[[1,30,1],[2,9,0]],"release":[[3,31]]}`,
			grant.Order{
				Service: "svc", Zone: "z1", Term: 4, Incarnation: 7, Anchor: 5_000_000_000, Duration: 2500 * time.Millisecond,
				ExtendAll: true, Digest: 1 << 63, Inventory: true,
				Items:   []grant.Item{{Shard: 1, Epoch: 30, Kind: grant.Grant}, {Shard: 2, Epoch: 9, Kind: grant.Extend}},
				Release: []grant.ShardEpoch{{Shard: 3, Epoch: 31}},
			},
		},
		"inventory": {`{"service":"svc","zone":"z1","term":4,"inventory":true}`, grant.Order{Service: "svc", Zone: "z1", Term: 4, Inventory: true}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := target.DecodeOrder([]byte(test.golden))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want, cmpopts.EquateEmpty())
			again, err := target.EncodeOrder(test.want)
			assert.NilError(t, err)
			assert.Equal(t, string(again), test.golden)
		})
	}
}

// TestGoldenResponse is TestGoldenOrder for the targets' responses.
func TestGoldenResponse(t *testing.T) {
	for name, test := range map[string]struct {
		golden string
		want   grant.Response
	}{
		"all fields": {
			`{"target":"t1","incarnation":7,"clock":5000000000,"term":4,"accepted":true,"digest":9223372036854775808,"full":true,"held":[[1,300]],"floors":[[3,302]],"draining":true}`,
			grant.Response{
				Target: "t1", Incarnation: 7, Clock: 5_000_000_000, Term: 4, Accepted: true, Digest: 1 << 63, Full: true,
				Held: []grant.ShardEpoch{{Shard: 1, Epoch: 300}}, Floors: []grant.ShardEpoch{{Shard: 3, Epoch: 302}}, Leaving: true,
			},
		},
		"accepted": {`{"target":"t1","incarnation":7,"clock":0,"term":4,"accepted":true,"digest":0}`, grant.Response{Target: "t1", Incarnation: 7, Term: 4, Accepted: true}},
		"full":     {`{"target":"t1","incarnation":7,"clock":0,"term":4,"accepted":false,"digest":0,"full":true}`, grant.Response{Target: "t1", Incarnation: 7, Term: 4, Full: true}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := target.DecodeResponse([]byte(test.golden))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want, cmpopts.EquateEmpty())
			again, err := target.EncodeResponse(test.want)
			assert.NilError(t, err)
			assert.Equal(t, string(again), test.golden)
		})
	}
}
