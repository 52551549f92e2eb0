package load_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/load"
)

func TestOutages(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		record  func(o *load.Outages)
		sum     time.Duration
		longest time.Duration
		shards  int
	}{
		"served at once": {record: func(o *load.Outages) {
			o.Served("balance", 1, at(0), at(10))
		}},
		"failed, then served": {record: func(o *load.Outages) {
			o.Failed("balance", 1, at(0))
			o.Failed("balance", 1, at(400))
			o.Served("balance", 1, at(900), at(1000))
		}, sum: time.Second, longest: time.Second, shards: 1},
		"a response to an earlier request does not end it": {record: func(o *load.Outages) {
			o.Failed("balance", 1, at(100))
			o.Served("balance", 1, at(90), at(110))
			o.Finish(at(600))
		}, sum: 500 * time.Millisecond, longest: 500 * time.Millisecond, shards: 1},
		"a slow request counts": {record: func(o *load.Outages) {
			o.Served("balance", 1, at(0), at(3000))
		}, sum: 3 * time.Second, longest: 3 * time.Second, shards: 1},
		"two shards, two outages of one": {record: func(o *load.Outages) {
			o.Failed("balance", 1, at(0))
			o.Served("balance", 1, at(900), at(1000))
			o.Failed("balance", 1, at(2000))
			o.Served("balance", 1, at(3900), at(4000))
			o.Failed("plan", 1, at(0))
			o.Finish(at(500))
		}, sum: 3500 * time.Millisecond, longest: 2 * time.Second, shards: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := load.NewOutages()
			tt.record(o)
			sum, longest, shards := o.Totals()
			assert.Equal(t, sum, tt.sum)
			assert.Equal(t, longest, tt.longest)
			assert.Equal(t, shards, tt.shards)
		})
	}
}
