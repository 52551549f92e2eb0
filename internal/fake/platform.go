// Package fake provides fakes of the platform and of the targets for tests and
// measurements. They run in one process, the targets over real sockets, inject
// faults on demand and count calls, runs and violations of invariants.
package fake

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// maxValueBytes is the platform's limit on the size of a value.
const maxValueBytes = 1 << 20

// maxChanges bounds the changes that are kept for watches. A watch from an
// older revision gets the present values that changed since.
const maxChanges = 4096

// defaultFleetLag is the delay until a change is visible in the fleet list.
const defaultFleetLag = time.Second

// Platform is a fake of the platform's store and of its fleet list. It
// implements platform.Store and injects faults into the calls. It is safe for
// concurrent use.
type Platform struct {
	mu        sync.Mutex
	revision  platform.Revision
	values    map[platform.Path]platform.Entry
	previous  map[platform.Path]platform.Entry // for stale reads
	writtenAt map[platform.Path]time.Time
	changes   []platform.Change
	changed   chan struct{} // closed at the next change
	leases    map[string]lease

	hosts   map[place.Host]delayedRow[place.HostRow]
	targets map[place.Target]delayedRow[place.TargetRow]
	lag     time.Duration

	faults PlatformFaults
	counts PlatformCounts
	calls  map[platform.Caller]uint64
	down   chan struct{} // closed at the start of an outage
}

// lease is one named lease.
type lease struct {
	holder string
	expiry time.Time
}

// delayedRow is a row whose pending state becomes visible at visibleAt.
type delayedRow[T any] struct {
	current, pending T
	listed           bool // current is in the list
	visibleAt        time.Time
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	return &Platform{
		values:    make(map[platform.Path]platform.Entry),
		previous:  make(map[platform.Path]platform.Entry),
		writtenAt: make(map[platform.Path]time.Time),
		changed:   make(chan struct{}),
		leases:    make(map[string]lease),
		hosts:     make(map[place.Host]delayedRow[place.HostRow]),
		targets:   make(map[place.Target]delayedRow[place.TargetRow]),
		lag:       defaultFleetLag,
		calls:     make(map[platform.Caller]uint64),
		down:      make(chan struct{}),
	}
}

// Get implements platform.Store.
func (p *Platform) Get(ctx context.Context, path platform.Path) (platform.Entry, error) {
	done, err := p.beginCall(ctx, readCall)
	if err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	entry, ok := p.values[path]
	if p.faults.StaleReads {
		if old, found := p.previous[path]; found {
			entry, ok = old, true
		}
	}
	p.mu.Unlock()
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, done()
}

// List implements platform.Store.
func (p *Platform) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	done, err := p.beginCall(ctx, readCall)
	if err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	entries := p.withPrefix(prefix)
	revision := p.revision
	p.mu.Unlock()
	return entries, revision, done()
}

// Write implements platform.Store.
func (p *Platform) Write(ctx context.Context, path platform.Path, value []byte, expect platform.Revision) (platform.Revision, error) {
	if len(value) > maxValueBytes {
		return 0, fmt.Errorf("%w: value has %d bytes", platform.ErrUnavailable, len(value))
	}
	return p.compareAndSwap(ctx, platform.Change{Entry: platform.Entry{Path: path, Value: slices.Clone(value)}}, expect)
}

// Delete implements platform.Store.
func (p *Platform) Delete(ctx context.Context, path platform.Path, expect platform.Revision) error {
	_, err := p.compareAndSwap(ctx, platform.Change{Entry: platform.Entry{Path: path}, Deleted: true}, expect)
	return err
}

// compareAndSwap carries out a Write or Delete.
func (p *Platform) compareAndSwap(ctx context.Context, change platform.Change, expect platform.Revision) (platform.Revision, error) {
	done, err := p.beginCall(ctx, writeCall)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	current := p.values[change.Path]
	if current.Revision != expect {
		p.counts.Conflicts++
		p.mu.Unlock()
		return 0, &platform.ConflictError{Path: change.Path, Current: current.Revision}
	}
	p.revision++
	change.Revision = p.revision
	p.apply(change, current)
	p.mu.Unlock()
	return change.Revision, done()
}

// apply applies a change and wakes up the watches. The caller holds mu.
func (p *Platform) apply(change platform.Change, current platform.Entry) {
	if current.Revision != 0 {
		p.previous[change.Path] = current
	}
	if change.Deleted {
		delete(p.values, change.Path)
	} else {
		p.values[change.Path] = change.Entry
	}
	p.writtenAt[change.Path] = time.Now()
	p.changes = append(p.changes, change)
	if len(p.changes) > maxChanges {
		p.changes = slices.Clone(p.changes[len(p.changes)-maxChanges/2:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Watch implements platform.Store.
func (p *Platform) Watch(ctx context.Context, prefix platform.Path, from platform.Revision) ([]platform.Change, platform.Revision, error) {
	done, err := p.beginCall(ctx, readCall)
	if err != nil {
		return nil, from, err
	}
	timeout := time.NewTimer(platform.WatchTimeout)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		changes, revision := p.changesSince(prefix, from), p.revision
		changed, down := p.changed, p.down
		p.mu.Unlock()
		if len(changes) > 0 {
			return changes, revision, done()
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, revision, done()
		case <-down:
			return nil, from, platform.ErrUnavailable
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

// changesSince returns the changes of values with the prefix after from. The
// caller holds mu.
func (p *Platform) changesSince(prefix platform.Path, from platform.Revision) []platform.Change {
	var out []platform.Change
	if len(p.changes) > 0 && p.changes[0].Revision > from+1 {
		for _, entry := range p.withPrefix(prefix) {
			if entry.Revision > from {
				out = append(out, platform.Change{Entry: entry})
			}
		}
		return out
	}
	for _, change := range p.changes {
		if change.Revision > from && strings.HasPrefix(string(change.Path), string(prefix)) {
			out = append(out, change)
		}
	}
	return out
}

// withPrefix returns the values with the prefix, sorted by path. The caller
// holds mu.
func (p *Platform) withPrefix(prefix platform.Path) []platform.Entry {
	var out []platform.Entry
	for path, entry := range p.values {
		if strings.HasPrefix(string(path), string(prefix)) {
			out = append(out, entry)
		}
	}
	slices.SortFunc(out, func(a, b platform.Entry) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

// Acquire implements platform.Store.
func (p *Platform) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	done, err := p.beginCall(ctx, writeCall)
	if err != nil {
		return platform.Lease{}, err
	}
	now := time.Now()
	p.mu.Lock()
	current, ok := p.leases[name]
	if !ok || current.holder == holder || !now.Before(current.expiry) {
		current = lease{holder: holder, expiry: now.Add(ttl)}
		p.leases[name] = current
	}
	p.mu.Unlock()
	return platform.Lease{
		Holder: current.holder,
		Held:   current.holder == holder,
		TTL:    current.expiry.Sub(now),
	}, done()
}

// Release implements platform.Store.
func (p *Platform) Release(ctx context.Context, name, holder string) error {
	done, err := p.beginCall(ctx, writeCall)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.leases[name].holder == holder {
		delete(p.leases, name)
	}
	p.mu.Unlock()
	return done()
}

// Fleet implements platform.Store.
func (p *Platform) Fleet(ctx context.Context) (platform.Fleet, error) {
	done, err := p.beginCall(ctx, readCall)
	if err != nil {
		return platform.Fleet{}, err
	}
	now := time.Now()
	var fleet platform.Fleet
	p.mu.Lock()
	for _, row := range p.hosts {
		if host, ok := row.visible(now); ok && host.State != place.Absent {
			fleet.Hosts = append(fleet.Hosts, host)
		}
	}
	for _, row := range p.targets {
		if target, ok := row.visible(now); ok && target.State != place.Absent {
			fleet.Targets = append(fleet.Targets, target)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(fleet.Hosts, func(a, b place.HostRow) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(fleet.Targets, func(a, b place.TargetRow) int { return cmp.Compare(a.Target, b.Target) })
	return fleet, done()
}

// SetHost changes a row of the fleet list; the change is visible after the lag.
func (p *Platform) SetHost(now time.Time, row place.HostRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[row.Host] = p.hosts[row.Host].withPending(row, now, p.lag)
}

// SetTarget changes a row of the fleet list; the change is visible after the
// lag.
func (p *Platform) SetTarget(now time.Time, row place.TargetRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[row.Target] = p.targets[row.Target].withPending(row, now, p.lag)
}

// SetFleetLag sets the delay until later changes are visible.
func (p *Platform) SetFleetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// withPending returns the row with a new state that is visible after lag.
func (l delayedRow[T]) withPending(row T, now time.Time, lag time.Duration) delayedRow[T] {
	old, known := l.visible(now)
	return delayedRow[T]{current: old, listed: known, pending: row, visibleAt: now.Add(lag)}
}

// visible returns the state that is visible at the time now, and false where
// the list doesn't contain the row.
func (l delayedRow[T]) visible(now time.Time) (T, bool) {
	if !l.visibleAt.IsZero() && !now.Before(l.visibleAt) {
		return l.pending, true
	}
	return l.current, l.listed
}

// LastHolder returns the last holder of a lease, even after the lease has
// expired. It returns "" for a lease that was released or never held.
func (p *Platform) LastHolder(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases[name].holder
}

// RevisionOf returns the revision of a value and the time of its last change.
func (p *Platform) RevisionOf(path platform.Path) (platform.Revision, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[path].Revision, p.writtenAt[path]
}
