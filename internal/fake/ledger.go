package fake

import (
	"fmt"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// maxViolations bounds the violations whose descriptions are kept.
const maxViolations = 32

// maxRuns bounds the operations, and the idempotency keys, whose runs are
// counted.
const maxRuns = 4 << 20

// Ledger records the owners and the runs of all targets of a process and
// detects violations of invariants. It detects that two targets hold a shard at
// the same time when the second one gets or extends its grant. It is safe for
// concurrent use.
type Ledger struct {
	mu         sync.Mutex
	owners     map[serviceShard]map[place.Target]ownership
	runs       map[string]uint32 // by the caller's own ID of the operation
	keyed      map[string]uint32 // by idempotency key
	counts     LedgerCounts
	violations []string
}

// LedgerCounts counts the events at all targets since the start.
type LedgerCounts struct {
	// DuplicateOwners counts the times that a shard was found with two owners
	// at once.
	DuplicateOwners uint64
	// DuplicateRuns counts the runs after the first one for the same
	// idempotency key.
	DuplicateRuns uint64
	// Moves counts the changes of a shard's owner.
	Moves uint64
	// Runs counts all runs. Sheds, Misrouted and DeadlineExceeded count refused
	// requests.
	Runs, Sheds, Misrouted, DeadlineExceeded uint64
	// RefusedConns counts connections beyond a target's limit.
	RefusedConns uint64
}

// serviceShard identifies a shard of a service.
type serviceShard struct {
	service key.Service
	shard   key.Shard
}

// ownership is a target's grant of a shard until its expiry.
type ownership struct {
	epoch  grant.Epoch
	expiry time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		owners: make(map[serviceShard]map[place.Target]ownership),
		runs:   make(map[string]uint32),
		keyed:  make(map[string]uint32),
	}
}

// recordHold records that target holds the shard at the epoch until end.
func (l *Ledger) recordHold(now time.Time, service key.Service, target place.Target, held grant.ShardEpoch, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := serviceShard{service: service, shard: held.Shard}
	row := l.owners[id]
	if row == nil {
		row = make(map[place.Target]ownership)
		l.owners[id] = row
	}
	for other, o := range row {
		if other != target && now.Before(o.expiry) {
			l.counts.DuplicateOwners++
			l.addViolation("duplicate owner: %s shard %d: %s at epoch %d for another %s, and %s at epoch %d",
				service, held.Shard, other, o.epoch, o.expiry.Sub(now), target, held.Epoch)
		}
	}
	if _, known := row[target]; !known {
		if len(row) > 0 {
			l.counts.Moves++
		}
		clear(row)
	}
	row[target] = ownership{epoch: held.Epoch, expiry: end}
}

// recordRelease records that target no longer holds the shard.
func (l *Ledger) recordRelease(now time.Time, service key.Service, target place.Target, shard key.Shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.owners[serviceShard{service: service, shard: shard}]
	if o, ok := row[target]; ok && now.Before(o.expiry) {
		o.expiry = now
		row[target] = o
	}
}

// recordRun records the start of a run. operation is the caller's own ID of it;
// idempotency may be empty.
func (l *Ledger) recordRun(operation, idempotency string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Runs++
	if operation != "" && (len(l.runs) < maxRuns || l.runs[operation] > 0) {
		l.runs[operation]++
	}
	if idempotency == "" || (len(l.keyed) >= maxRuns && l.keyed[idempotency] == 0) {
		return
	}
	l.keyed[idempotency]++
	if l.keyed[idempotency] > 1 {
		l.counts.DuplicateRuns++
		l.addViolation("duplicate run: idempotency key %s ran %d times", idempotency, l.keyed[idempotency])
	}
}

// count changes the counts with mu held.
func (l *Ledger) count(change func(*LedgerCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// Counts returns the counts so far.
func (l *Ledger) Counts() LedgerCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Violations describes the first maxViolations violations.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// RunsOf returns how often each of the operations ran, in the same order.
func (l *Ledger) RunsOf(operations []string) []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]uint32, len(operations))
	for i, operation := range operations {
		out[i] = l.runs[operation]
	}
	return out
}

// addViolation adds the description of a violation. The caller holds mu.
func (l *Ledger) addViolation(format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// Owned returns how many shards of the service have an owner at the time now.
func (l *Ledger) Owned(now time.Time, service key.Service) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for id, row := range l.owners {
		if id.service == service && anyOwner(now, row) {
			n++
		}
	}
	return n
}

func anyOwner(now time.Time, row map[place.Target]ownership) bool {
	for _, o := range row {
		if now.Before(o.expiry) {
			return true
		}
	}
	return false
}
