package load

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
)

// slowResponse is the latency from which a response counts as an outage of its shard, as
// the request probably waited for an owner.
const slowResponse = 500 * time.Millisecond

// shardID identifies a shard of a service.
type shardID struct {
	service key.Service
	shard   key.Shard
}

// Outages measures how long each shard was not served. An outage lasts from the sending of
// the first request that failed or was slow, until the response to a request that was sent
// at that time or later.
type Outages struct {
	open map[shardID]time.Time
	sum  map[shardID]time.Duration
	max  map[shardID]time.Duration
}

// NewOutages returns an empty record.
func NewOutages() *Outages {
	return &Outages{
		open: make(map[shardID]time.Time),
		sum:  make(map[shardID]time.Duration),
		max:  make(map[shardID]time.Duration),
	}
}

// Failed records a request sent at the given time that was not served.
func (o *Outages) Failed(service key.Service, shard key.Shard, sent time.Time) {
	at := shardID{service: service, shard: shard}
	if start, ok := o.open[at]; !ok || sent.Before(start) {
		o.open[at] = sent
	}
}

// Served records a request sent at sent and served at now.
func (o *Outages) Served(service key.Service, shard key.Shard, sent, now time.Time) {
	at := shardID{service: service, shard: shard}
	if now.Sub(sent) >= slowResponse {
		o.Failed(service, shard, sent)
	}
	start, ok := o.open[at]
	if !ok || sent.Before(start) {
		return
	}
	delete(o.open, at)
	o.add(at, now.Sub(start))
}

// Finish ends the measurement at now, and with it the outages that have not ended.
func (o *Outages) Finish(now time.Time) {
	for at, start := range o.open {
		o.add(at, now.Sub(start))
	}
	clear(o.open)
}

func (o *Outages) add(at shardID, d time.Duration) {
	o.sum[at] += d
	o.max[at] = max(o.max[at], d)
}

// Totals returns the sum of all outages, the longest one and the number of shards that
// had any.
func (o *Outages) Totals() (sum, longest time.Duration, shards int) {
	for _, d := range o.sum {
		sum += d
	}
	for _, d := range o.max {
		longest = max(longest, d)
	}
	return sum, longest, len(o.sum)
}

// Worst returns the n shards with the longest outages.
func (o *Outages) Worst(n int) []Outage {
	out := make([]Outage, 0, len(o.max))
	for at, d := range o.max {
		out = append(out, Outage{Service: at.service, Shard: at.shard, Longest: d})
	}
	slices.SortFunc(out, func(a, b Outage) int {
		return cmp.Or(cmp.Compare(b.Longest, a.Longest), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return out[:min(n, len(out))]
}

// Outage is the longest outage of a shard.
type Outage struct {
	Service key.Service
	Shard   key.Shard
	Longest time.Duration
}
