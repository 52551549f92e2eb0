package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/key"
)

// load counts what passes here, by service and shard.
type load struct {
	mu       sync.Mutex
	services map[key.Service]*serviceLoad
}

// serviceLoad counts the requests and the busy time of each shard since the
// last report. Solo shards share the rows past the hash-range shards.
type serviceLoad struct {
	mu    sync.Mutex
	count key.ShardCount
	rows  map[key.Shard]*shardLoad
	dense []shardLoad
	hot   HotKeys
}

type shardLoad struct {
	requests atomic.Uint32
	busy     atomic.Int64
}

// HotKeys finds the keys with the most requests.
type HotKeys interface {
	Add(h key.Hash)
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
		s = &serviceLoad{count: count, dense: make([]shardLoad, count), rows: make(map[key.Shard]*shardLoad)}
		l.services[name] = s
	}
	return s
}

func (s *serviceLoad) add(shard key.Shard, h key.Hash, busy time.Duration) {
	row := s.row(shard)
	row.requests.Add(1)
	row.busy.Add(int64(busy))
	if s.hot != nil {
		s.mu.Lock()
		s.hot.Add(h)
		s.mu.Unlock()
	}
}

func (s *serviceLoad) row(shard key.Shard) *shardLoad {
	if int(shard) < len(s.dense) {
		return &s.dense[shard]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[shard]
	if row == nil {
		row = &shardLoad{}
		s.rows[shard] = row
	}
	return row
}
