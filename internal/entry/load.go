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
	// reportInterval is the time between two load reports.
	reportInterval = time.Second
	// reportTimeout bounds the sending of one; a lost report is not repeated.
	reportTimeout = time.Second
	// trackedHotKeys is the number of keys of a service that are weighed at once.
	trackedHotKeys = 2 * placement.MaxHotKeys
)

// loadCounters counts what passes here, by service and shard.
type loadCounters struct {
	mu       sync.Mutex
	services map[key.Service]*serviceLoad
}

// serviceLoad counts the requests and the busy time of each shard since the
// last report, and weighs the keys by their busy time.
type serviceLoad struct {
	count       key.ShardCount
	rangeShards []shardLoad // hash-range shards, by index

	mu              sync.Mutex
	singleKeyShards map[key.Shard]*shardLoad
	hotKeys         *topk.Sketch
}

type shardLoad struct {
	requests atomic.Uint32
	busy     atomic.Int64
}

func newLoadCounters() *loadCounters {
	return &loadCounters{services: make(map[key.Service]*serviceLoad)}
}

// service returns the counters of a service, made on first sight and anew
// where the shard count changed.
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

func (s *serviceLoad) add(shard key.Shard, h key.Hash, busy time.Duration) {
	row := s.shard(shard)
	row.requests.Add(1)
	row.busy.Add(int64(busy))
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
	row := s.singleKeyShards[shard]
	if row == nil {
		row = &shardLoad{}
		s.singleKeyShards[shard] = row
	}
	return row
}

// take returns the counts since the last take, sorted by shard.
func (s *serviceLoad) take() ([]placement.ShardLoad, []topk.Item) {
	var out []placement.ShardLoad
	for i := range s.rangeShards {
		if n := s.rangeShards[i].requests.Swap(0); n > 0 {
			out = append(out, placement.ShardLoad{Shard: key.Shard(i), Requests: n, Busy: time.Duration(s.rangeShards[i].busy.Swap(0))})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard, row := range s.singleKeyShards {
		out = append(out, placement.ShardLoad{Shard: shard, Requests: row.requests.Load(), Busy: time.Duration(row.busy.Load())})
	}
	clear(s.singleKeyShards)
	slices.SortFunc(out, func(a, b placement.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	hot := s.hotKeys.Top(placement.MaxHotKeys)
	s.hotKeys.Reset()
	return out, hot
}

// cellReport is a load report on its way to the lead of one cell.
type cellReport struct {
	placement.Report
	leaderAddr netip.AddrPort
}

// buildReports builds one report for each cell with load, from the counts since
// the last call.
func (e *Entry) buildReports(period time.Duration) []cellReport {
	v := e.view.Load()
	var out []cellReport
	for name, s := range v.services {
		shards, hot := s.load.take()
		cells := make(map[place.Zone]*placement.Report)
		for _, row := range shards {
			if r := reportOf(cells, s.shardOwner(row.Shard)); r != nil {
				r.Shards = append(r.Shards, row)
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

// addHotKey adds a key to the report of its cell; solo keys have shards of their
// own already.
func (s *service) addHotKey(cells map[place.Zone]*placement.Report, item topk.Item) {
	if _, solo := s.singleKeys[item.Hash]; solo {
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

// loopReports sends the load of each cell to its lead.
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

// send sends one report. A lost one is made up for by the next.
func (r cellReport) send(ctx context.Context, e *Entry) {
	body, err := placement.EncodeReport(r.Report)
	if err != nil || !r.leaderAddr.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := e.cfg.Transport.Call(ctx, r.leaderAddr, peer.KindLoad, body); err != nil {
		e.log.Debug("Load report is lost.", "service", string(r.Service), "zone", string(r.Zone), "error", err)
	}
}
