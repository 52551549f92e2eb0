package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/quarantine"
)

const (
	// saveTimeout limits one write, saveRetryDelay is the time until a failed one is
	// repeated.
	saveTimeout    = time.Second
	saveRetryDelay = 500 * time.Millisecond
	// maxPendingSaves bounds the records that wait to be written.
	maxPendingSaves = 256
	// expireInterval is the time between two checks for records that are too old, or that
	// the store need not keep.
	expireInterval = 10 * time.Second
	// watcherTimeout is how long after its last read of the store a host still counts as
	// one of its watchers, which remove records from it.
	watcherTimeout = 5 * time.Second
)

// quarantineSaver writes the records of requests under which targets have ended to the
// store, from which hosts learn of them that start when no other one is up. The watchers
// remove those that no longer count. Safe for concurrent use.
type quarantineSaver struct {
	*quarantiner

	mu      sync.Mutex
	pending map[quarantine.Fingerprint]struct{}
	// woken gets a token when a record was added to pending.
	woken chan struct{}
}

func newQuarantineSaver(q *quarantiner) *quarantineSaver {
	return &quarantineSaver{quarantiner: q, pending: make(map[quarantine.Fingerprint]struct{}), woken: make(chan struct{}, 1)}
}

// save makes loop write the record of a request, or remove it if it no longer counts.
func (s *quarantineSaver) save(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPendingSaves {
		s.host.log.Warn("Record of a request not written to the store, too many are waiting.", slog.String("fingerprint", f.String()))
		return
	}
	s.pending[f] = struct{}{}
	select {
	case s.woken <- struct{}{}:
	default: // a token is pending already
	}
}

// loop writes records until ctx ends.
func (s *quarantineSaver) loop(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.expire(now)
		case <-s.woken:
		}
		for ctx.Err() == nil && !s.writePending(ctx) {
			sleep(ctx, saveRetryDelay)
		}
	}
}

// expire drops records that are too old. If this host is a watcher, it removes from the
// store what need not be there any more.
func (s *quarantineSaver) expire(now time.Time) {
	unsaved := s.table.Expire(now)
	if now.Sub(s.host.watcher.ownReadAt()) > watcherTimeout {
		return
	}
	for _, f := range unsaved {
		s.save(f)
	}
}

// writePending writes the pending records. It reports whether none is left.
func (s *quarantineSaver) writePending(ctx context.Context) bool {
	s.mu.Lock()
	var batch []quarantine.Fingerprint
	for f := range s.pending {
		if len(batch) < maxEntriesPerTxn {
			batch = append(batch, f)
		}
	}
	s.mu.Unlock()
	if len(batch) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := s.write(ctx, batch); err != nil {
		s.host.log.Warn("Records of requests not written to the store.", slog.Int("records", len(batch)), slog.Any("error", err))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range batch {
		delete(s.pending, f)
	}
	return len(s.pending) == 0
}

func (s *quarantineSaver) write(ctx context.Context, batch []quarantine.Fingerprint) error {
	var txn platform.Txn
	for _, f := range batch {
		path := quarantinePrefix + platform.Path(f.String())
		r := s.table.Record(time.Now(), f)
		if r.Ends == 0 {
			txn.Remove = append(txn.Remove, path)
			continue
		}
		body, err := quarantine.Encode([]quarantine.Record{r})
		if err != nil {
			return err
		}
		txn.Put = append(txn.Put, platform.Put{Path: path, Value: body})
	}
	_, err := s.host.env.Store.Commit(ctx, txn)
	return err
}
