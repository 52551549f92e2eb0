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
	// hotKeys is the number of keys of a service that are weighed at once.
	hotKeys = 2 * placement.MaxHotKeys
)

// load counts what passes here, by service and shard.
type load struct {
	mu       sync.Mutex
	services map[key.Service]*serviceLoad
}

// serviceLoad counts the requests and the busy time of each shard since the
// last report, and weighs the keys by their busy time.
type serviceLoad struct {
	count key.ShardCount
	dense []shardLoad // hash-range shards, by index

	mu   sync.Mutex
	solo map[key.Shard]*shardLoad
	hot  *topk.Sketch
}

type shardLoad struct {
	requests atomic.Uint32
	busy     atomic.Int64
}

func newLoad() *load {
	return &load{services: make(map[key.Service]*serviceLoad)}
}

// service returns the counters of a service, made on first sight and anew
// where the shard count changed.
func (l *load) service(name key.Service, count key.ShardCount) *serviceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || s.count != count {
		s = &serviceLoad{
			count: count,
			dense: make([]shardLoad, count),
			solo:  make(map[key.Shard]*shardLoad),
			hot:   topk.New(hotKeys),
		}
		l.services[name] = s
	}
	return s
}

func (s *serviceLoad) add(shard key.Shard, h key.Hash, busy time.Duration) {
	row := s.row(shard)
	row.requests.Add(1)
	row.busy.Add(int64(busy))
	s.mu.Lock()
	s.hot.Add(h, uint64(busy.Microseconds())+1)
	s.mu.Unlock()
}

func (s *serviceLoad) row(shard key.Shard) *shardLoad {
	if int(shard) < len(s.dense) {
		return &s.dense[shard]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.solo[shard]
	if row == nil {
		row = &shardLoad{}
		s.solo[shard] = row
	}
	return row
}

// take returns the counts since the last take, sorted by shard.
func (s *serviceLoad) take() ([]placement.ShardLoad, []topk.Item) {
	var out []placement.ShardLoad
	for i := range s.dense {
		if n := s.dense[i].requests.Swap(0); n > 0 {
			out = append(out, placement.ShardLoad{Shard: key.Shard(i), Requests: n, Busy: time.Duration(s.dense[i].busy.Swap(0))})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard, row := range s.solo {
		out = append(out, placement.ShardLoad{Shard: shard, Requests: row.requests.Load(), Busy: time.Duration(row.busy.Load())})
	}
	clear(s.solo)
	slices.SortFunc(out, func(a, b placement.ShardLoad) int { return cmp.Compare(a.Shard, b.Shard) })
	hot := s.hot.Top(placement.MaxHotKeys)
	s.hot.Reset()
	return out, hot
}

// cellReport is a load report on its way to the lead of one cell.
type cellReport struct {
	placement.Report
	lead netip.AddrPort
}

// reports builds one report for each cell with load, from the counts since
// the last call.
func (e *Entry) reports(period time.Duration) []cellReport {
	v := e.view.Load()
	var out []cellReport
	for name, s := range v.services {
		shards, hot := s.load.take()
		cells := make(map[place.Zone]*placement.Report)
		for _, row := range shards {
			if r := reportOf(cells, s.ownerOf(row.Shard)); r != nil {
				r.Shards = append(r.Shards, row)
			}
		}
		for _, item := range hot {
			s.addHot(cells, item)
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

// addHot adds a key to the report of its cell; solo keys have shards of their
// own already.
func (s *service) addHot(cells map[place.Zone]*placement.Report, item topk.Item) {
	if _, solo := s.solos[item.Hash]; solo {
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

// ownerOf returns the owner of a shard.
func (s *service) ownerOf(shard key.Shard) owner {
	if int(shard) < len(s.dense) {
		return s.dense[shard]
	}
	return s.rows[shard]
}

func reportOf(cells map[place.Zone]*placement.Report, o owner) *placement.Report {
	if o.lane == nil {
		return nil
	}
	r := cells[o.lane.zone]
	if r == nil {
		r = &placement.Report{}
		cells[o.lane.zone] = r
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
			for _, r := range e.reports(now.Sub(last)) {
				go r.run(ctx, e)
			}
			last = now
		}
	}
}

// run sends one report. A lost one is made up for by the next.
func (r cellReport) run(ctx context.Context, e *Entry) {
	body, err := placement.EncodeReport(r.Report)
	if err != nil || !r.lead.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := e.cfg.Link.Call(ctx, r.lead, peer.KindLoad, body); err != nil {
		e.log.Debug("Load report is lost.", "service", string(r.Service), "zone", string(r.Zone), "error", err)
	}
}
