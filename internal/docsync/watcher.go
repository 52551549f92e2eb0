package docsync

import (
	"bytes"
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

const (
	fleetInterval = time.Second
	// watchTimeout is longer than the store's own limit on the wait of a watch.
	watchTimeout    = 40 * time.Second
	readTimeout     = 10 * time.Second
	minStoreBackoff = 100 * time.Millisecond
	// outageLogThreshold is how many reads in a row have to fail before an
	// outage is logged.
	outageLogThreshold = 3
	maxStoreBackoff    = 2 * time.Second
)

// Watcher reads the store and publishes its documents. While the store is down
// or slow, the replica keeps those that it has.
type Watcher struct {
	store   platform.Store
	replica *MemoryReplica
	log     *slog.Logger
	// lastFleet is the encoded fleet list of the last read.
	lastFleet []byte
}

// NewWatcher returns a watcher that publishes to local.
func NewWatcher(store platform.Store, local *MemoryReplica, log *slog.Logger) *Watcher {
	return &Watcher{store: store, replica: local, log: log}
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range feeds() {
		group.Go(func() error { return w.loopFeed(ctx, f) })
	}
	group.Go(func() error { return w.loopFleet(ctx) })
	return group.Wait()
}

// feed is a prefix of the store whose values are documents.
type feed struct {
	prefix platform.Path
	name   Name // replaces the prefix
}

// feeds returns the feeds that a watcher reads in addition to the fleet list.
func feeds() []feed {
	return []feed{
		{prefix: settings.StorePath, name: Settings},
		{prefix: platform.Path(CustodyPrefix), name: CustodyPrefix},
	}
}

// loopFeed reads the feed once, then watches it.
func (w *Watcher) loopFeed(ctx context.Context, f feed) error {
	var from platform.Revision
	failures, started := 0, false
	for ctx.Err() == nil {
		next, err := w.step(ctx, f, from, started)
		if err != nil {
			w.log.Debug("Read or watch of the store failed.", slog.String("prefix", string(f.prefix)), slog.Any("error", err))
			sleep(ctx, storeBackoff(failures))
			failures++
			continue
		}
		failures, started = 0, true
		from = next
	}
	return nil
}

// step reads the feed until that has succeeded once, as started reports; then
// it waits for changes after the revision from. An empty store is at revision
// 0, so that its first write, at revision 1, is a change.
func (w *Watcher) step(ctx context.Context, f feed, from platform.Revision, started bool) (platform.Revision, error) {
	if !started {
		return w.readAll(ctx, f)
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	changes, next, err := w.store.Watch(ctx, f.prefix, from)
	if err != nil {
		return from, err
	}
	for _, change := range changes {
		if !change.Deleted {
			w.publish(f, change.Entry)
		}
	}
	return max(from, next), nil
}

// readAll publishes all values of the feed and returns the revision to watch
// from.
func (w *Watcher) readAll(ctx context.Context, f feed) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, revision, err := w.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		w.publish(f, entry)
	}
	return revision, nil
}

// publish publishes one value; the replica refuses an older revision.
func (w *Watcher) publish(f feed, entry platform.Entry) {
	suffix, ok := strings.CutPrefix(string(entry.Path), string(f.prefix))
	if !ok {
		return
	}
	doc := Document{
		Name:    f.name + Name(suffix),
		Version: Version{Major: uint64(entry.Revision)},
		Body:    entry.Value,
	}
	if w.replica.offer(doc, originStore) {
		w.log.Info("Document read from the store.",
			slog.String("name", string(doc.Name)), slog.Uint64("revision", uint64(entry.Revision)))
	}
}

// loopFleet reads the list of hosts and targets at random intervals of
// fleetInterval on average.
func (w *Watcher) loopFleet(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := w.readFleet(ctx); err != nil {
			w.logOutage(failures, err)
			sleep(ctx, storeBackoff(failures))
			failures++
			continue
		}
		if failures >= outageLogThreshold {
			w.log.Info("Store is available again.")
		}
		failures = 0
		sleep(ctx, fleetInterval/2+rand.N(fleetInterval))
	}
	return nil
}

// logOutage logs an outage of the store, once for each outage.
func (w *Watcher) logOutage(failures int, err error) {
	if failures+1 == outageLogThreshold {
		w.log.Warn("Store is unavailable, this host goes on with the documents that it and its peers have. Check --platform if it was never available.",
			slog.Any("error", err))
	}
}

func (w *Watcher) readFleet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fleet, err := w.store.Fleet(ctx)
	if err != nil {
		return err
	}
	sortFleet(&fleet)
	body, err := EncodeFleet(fleet)
	if err != nil {
		return err
	}
	w.publishFleet(time.Now(), body)
	return nil
}

// publishFleet publishes a list only where it differs from this watcher's last
// read. Otherwise two watchers whose reads lag differently would replace each
// other's list once a second.
func (w *Watcher) publishFleet(now time.Time, body []byte) {
	changed := !bytes.Equal(w.lastFleet, body)
	w.lastFleet = body
	last, _ := w.replica.Get(Fleet)
	if !changed || bytes.Equal(last.Body, body) {
		return
	}
	major := max(uint64(now.UnixMilli()), last.Version.Major+1) //nolint:forbidigo // rises with each version, whatever the clock
	w.replica.offer(Document{Name: Fleet, Version: Version{Major: major}, Body: body}, originStore)
}

// sortFleet sorts a list, so that equal lists have equal encodings.
func sortFleet(fleet *platform.Fleet) {
	slices.SortFunc(fleet.Hosts, func(a, b place.HostRow) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(fleet.Targets, func(a, b place.TargetRow) int { return cmp.Compare(a.Target, b.Target) })
}

// storeBackoff returns the time before the next attempt to read the store:
// exponential with jitter.
func storeBackoff(failures int) time.Duration {
	const maxDoublings = 8
	full := min(minStoreBackoff<<min(failures, maxDoublings), maxStoreBackoff)
	return full/2 + rand.N(full/2)
}

// sleep waits for d or the end of ctx. It creates no timer for a time that has
// passed: under the race detector, such timers of several goroutines in one
// synctest bubble crash the detector (the runtime runs them at once, each on
// its own thread but all with the bubble's one race context).
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
