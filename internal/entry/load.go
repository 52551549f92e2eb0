package entry

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/placement"
	"citrontray.example/citrontray/internal/placement/topk"
)

const (
	// reportInterval is the time between two load reports to a leader.
	reportInterval = time.Second
	// reportTimeout limits the sending of a report. A lost report is not sent again.
	reportTimeout = time.Second
	// trackedHotKeys is the number of keys of a service that the sketch tracks.
	trackedHotKeys = 2 * placement.MaxHotKeys
)

// loadCounters counts the load of this entry host by service. It is safe for concurrent
// use.
type loadCounters struct {
	mu       sync.Mutex
	services map[key.Service]*serviceLoad
}

// serviceLoad counts the requests and the busy time of each shard since the last report,
// and finds the keys with the most busy time.
type serviceLoad struct {
	count       key.ShardCount
	rangeShards []shardLoad // hash-range shards, by number

	mu              sync.Mutex
	singleKeyShards map[key.Shard]*shardLoad
	hotKeys         *topk.Sketch
}

type shardLoad struct {
	requests atomic.Uint32
	busy     atomic.Int64 // total time of the attempts, in nanoseconds
}

func newLoadCounters() *loadCounters {
	return &loadCounters{services: make(map[key.Service]*serviceLoad)}
}

// service returns the counters of a service. They are created by the first call, and
// again if the shard count changed.
func (l *loadCounters) service(name key.Service, count key.ShardCount) *serviceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || s.count != count {
		s = &serviceLoad{
			count:           count,
			rangeShards:     make([]shardLoad, count),
			singleKeyShards: make(map[key.Shard]*shardLoad),
			hotKeys:         topk.New(trackedHotKeys),
		}
		l.services[name] = s
	}
	return s
}

// add records one attempt.
func (s *serviceLoad) add(shard key.Shard, h key.Hash, busy time.Duration) {
	counters := s.shard(shard)
	counters.requests.Add(1)
	counters.busy.Add(int64(busy))
	s.mu.Lock()
	s.hotKeys.Add(h, uint64(busy.Microseconds())+1)
	s.mu.Unlock()
}

func (s *serviceLoad) shard(shard key.Shard) *shardLoad {
	if int(shard) < len(s.rangeShards) {
		return &s.rangeShards[shard]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.singleKeyShards[shard]
	if counters == nil {
		counters = &shardLoad{}
		s.singleKeyShards[shard] = counters
	}
	return counters
}

// take returns the counts since the last call, sorted by shard, and the hot keys. It
// resets both.
func (s *serviceLoad) take() ([]placement.ShardLoad, []topk.Item) {
	var out []placement.ShardLoad
	for i := range s.rangeShards {
		if n := s.rangeShards[i].requests.Swap(0); n > 0 {
			out = append(out, placement.ShardLoad{Shard: key.Shard(i), Requests: n, Busy: time.Duration(s.rangeShards[i].busy.Swap(0))})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard, counters := range s.singleKeyShards {
		out = append(out, placement.ShardLoad{Shard: shard, Requests: counters.requests.Load(), Busy: time.Duration(counters.busy.Load())})
	}
	clear(s.singleKeyShards)
	slices.SortFunc(out, func(a, b placement.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	hot := s.hotKeys.Top(placement.MaxHotKeys)
	s.hotKeys.Reset()
	return out, hot
}

// cellReport is a load report and the address of the cell's leader.
type cellReport struct {
	placement.Report
	leaderAddr netip.AddrPort
}

// buildReports returns one report for each cell with load since the last call.
func (e *Entry) buildReports(period time.Duration) []cellReport {
	v := e.view.Load()
	var out []cellReport
	for name, s := range v.services {
		shards, hot := s.load.take()
		cells := make(map[place.Zone]*placement.Report)
		for _, counts := range shards {
			if r := reportOf(cells, s.shardOwner(counts.Shard)); r != nil {
				r.Shards = append(r.Shards, counts)
			}
		}
		for _, item := range hot {
			s.addHotKey(cells, item)
		}
		for _, t := range v.tables {
			if r := cells[t.Zone]; r != nil && t.Service == name {
				r.Service, r.Zone, r.Period = name, t.Zone, period
				out = append(out, cellReport{*r, t.LeaderAddr})
			}
		}
	}
	return out
}

// addHotKey adds a key to the report of its cell, unless it already has a single-key
// shard.
func (s *service) addHotKey(cells map[place.Zone]*placement.Report, item topk.Item) {
	if _, ok := s.singleKeys[item.Hash]; ok {
		return
	}
	_, o := s.find(item.Hash)
	if r := reportOf(cells, o); r != nil {
		r.HotKeys = append(r.HotKeys, placement.HotKey{
			Hash:  item.Hash,
			Busy:  time.Duration(item.Weight) * time.Microsecond,
			Error: time.Duration(item.Error) * time.Microsecond,
		})
	}
}

// shardOwner returns the owner of a shard.
func (s *service) shardOwner(shard key.Shard) owner {
	if int(shard) < len(s.rangeOwners) {
		return s.rangeOwners[shard]
	}
	return s.singleKeyOwners[shard]
}

// reportOf returns the report of the owner's cell, and creates it if necessary. It
// returns nil if there is no owner.
func reportOf(cells map[place.Zone]*placement.Report, o owner) *placement.Report {
	if o.target == nil {
		return nil
	}
	r := cells[o.target.zone]
	if r == nil {
		r = &placement.Report{}
		cells[o.target.zone] = r
	}
	return r
}

// loopReports sends load reports to the leaders of the cells.
func (e *Entry) loopReports(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, r := range e.buildReports(now.Sub(last)) {
				go r.send(ctx, e)
			}
			last = now
		}
	}
}

// send sends the report once. Later reports make up for a lost one.
func (r cellReport) send(ctx context.Context, e *Entry) {
	body, err := placement.EncodeReport(r.Report)
	if err != nil || !r.leaderAddr.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := e.cfg.Transport.Call(ctx, r.leaderAddr, peer.KindLoad, body); err != nil {
		e.log.Debug("Load report not delivered.", "service", string(r.Service), "zone", string(r.Zone), "error", err)
	}
}
