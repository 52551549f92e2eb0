package target_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/target"
)

func newHoldings(checksTerms bool) *target.Holdings {
	return target.NewHoldings(target.HoldingsConfig{
		Target: "balance-1", Service: "balance", Incarnation: 7, ChecksTerms: checksTerms,
	})
}

func order(term grant.Term, anchor grant.Stamp, items ...grant.Item) grant.Order {
	return grant.Order{
		Service: "balance", Term: term, Incarnation: 7,
		Anchor: anchor, Duration: 100 * time.Nanosecond, Items: items,
	}
}

func granted(epoch grant.Epoch) grant.Item {
	return grant.Item{Shard: 1, Epoch: epoch, Kind: grant.Grant}
}

func TestHoldingsApply(t *testing.T) {
	tests := map[string]struct {
		checksTerms bool
		orders      []grant.Order
		at          grant.Stamp // time of the last order
		owns        bool        // whether shard 1 is owned at epoch 3 after the last order
	}{
		"grant":                          {checksTerms: true, orders: []grant.Order{order(1, 10, granted(3))}, at: 20, owns: true},
		"grant applied after its end":    {checksTerms: true, orders: []grant.Order{order(1, 10, granted(3))}, at: 110},
		"extend creates nothing":         {checksTerms: true, orders: []grant.Order{order(1, 10, grant.Item{Shard: 1, Epoch: 3})}, at: 20},
		"extend of an ended grant":       {checksTerms: true, orders: []grant.Order{order(1, 10, granted(3)), order(1, 150, grant.Item{Shard: 1, Epoch: 3})}, at: 160},
		"lower epoch after a higher one": {checksTerms: true, orders: []grant.Order{order(1, 10, granted(4)), order(1, 10, granted(3))}, at: 20},
		"lower term is rejected":         {checksTerms: true, orders: []grant.Order{order(2, 10), order(1, 10, granted(3))}, at: 20},
		"lower term without checks":      {orders: []grant.Order{order(2, 10), order(1, 10, granted(3))}, at: 20, owns: true},
		"other incarnation":              {checksTerms: true, orders: []grant.Order{{Service: "balance", Incarnation: 6, Anchor: 10, Duration: 100, Items: []grant.Item{granted(3)}}}, at: 20},
		"other service":                  {checksTerms: true, orders: []grant.Order{{Service: "plans", Incarnation: 7, Anchor: 10, Duration: 100, Items: []grant.Item{granted(3)}}}, at: 20},
		"late grant after the release": {checksTerms: true, orders: []grant.Order{
			order(1, 10, granted(3)),
			{Service: "balance", Term: 1, Incarnation: 7, Release: []grant.ShardEpoch{{Shard: 1, Epoch: 3}}},
			order(1, 10, granted(3)),
		}, at: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHoldings(tt.checksTerms)
			for i, o := range tt.orders {
				now := grant.Stamp(10)
				if i == len(tt.orders)-1 {
					now = tt.at
				}
				h.Apply(now, o)
			}
			assert.Equal(t, h.Owns(tt.at, 1, 3), tt.owns)
		})
	}
}

func TestHoldingsReleaseWaitsForWorkInFlight(t *testing.T) {
	h := newHoldings(true)
	h.Apply(10, order(1, 10, granted(3)))
	assert.Assert(t, h.Begin(11, 1, 3))
	release := grant.Order{Service: "balance", Term: 1, Incarnation: 7, Release: []grant.ShardEpoch{{Shard: 1, Epoch: 3}}}
	response := h.Apply(12, release)
	assert.Equal(t, len(response.Held), 1)
	assert.Assert(t, !h.Begin(13, 1, 3))
	h.End(1)
	response = h.Apply(14, release)
	assert.Equal(t, len(response.Held), 0)
	assert.DeepEqual(t, response.Floors, []grant.ShardEpoch{{Shard: 1, Epoch: 4}})
}

func TestHoldingsExtendAllNeedsTheDigest(t *testing.T) {
	h := newHoldings(true)
	response := h.Apply(10, order(1, 10, granted(3)))
	all := order(1, 50)
	all.ExtendAll = true
	all.Digest = response.Digest + 1
	assert.Assert(t, h.Apply(60, all).Full)
	assert.Assert(t, !h.Owns(120, 1, 3))
	all.Digest = response.Digest
	assert.Assert(t, !h.Apply(61, all).Full)
	assert.Assert(t, h.Owns(120, 1, 3))
}

func TestOrderAndResponseRoundTrip(t *testing.T) {
	sent := order(4, 99, granted(3))
	sent.Release = []grant.ShardEpoch{{Shard: 9, Epoch: 2}}
	body, err := target.EncodeOrder(sent)
	assert.NilError(t, err)
	got, err := target.DecodeOrder(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sent)

	response := newHoldings(true).Apply(10, order(1, 10, granted(3)))
	response.Held, response.Floors = []grant.ShardEpoch{{Shard: 1, Epoch: 3}}, []grant.ShardEpoch{{Shard: 1, Epoch: 3}}
	body, err = target.EncodeResponse(response)
	assert.NilError(t, err)
	decoded, err := target.DecodeResponse(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, response)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"service":"balance","items":[[1,2,3]]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = target.DecodeOrder(body)
		_, _ = target.DecodeResponse(body)
	})
}
