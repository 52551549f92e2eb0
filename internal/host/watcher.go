package host

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fleet"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/traffic"
)

// The documents that watchers read from the store and hosts pass on.
const (
	docTraffic docsync.Name = "traffic"
	docTargets docsync.Name = "targets"
	docMembers docsync.Name = "members"
	// docRanges and docOwners are followed by the name of a service: the table
	// that its lead published, and what the store holds.
	docRanges docsync.Name = "ranges/"
	docOwners docsync.Name = "owners/"
)

const (
	// pollInterval is the time between two reads of the store, by whichever
	// watcher comes first. Settings and departures have two seconds to get
	// everywhere.
	pollInterval = 700 * time.Millisecond
	// minPollInterval is the least time between two reads where something was written
	// that others wait for.
	minPollInterval = 300 * time.Millisecond
	// pollJitter is the longest that a watcher waits for another one on top.
	pollJitter = 300 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 1200 * time.Millisecond
	// minReadBackoff and retryMost bound the pause after a failed read.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = 700 * time.Millisecond
	// firstStartReadDelay is how long a host waits for what the seeds have read when the
	// whole deployment starts for the first time: there are no clients yet. What
	// is drawn on top of it is up to as long.
	firstStartReadDelay = 1500 * time.Millisecond
	// restartReadDelay is the same for any other start: seeds that run answer sooner, and
	// clients wait.
	restartReadDelay = 100 * time.Millisecond
	// roleSettleTime is how long it takes at most until a process that knows the
	// hosts no longer watches, unless it is one of those that should.
	roleSettleTime = 500 * time.Millisecond
	// unsureTime is how long after a failed read the list of targets counts as
	// unsure: entries lapse while the store is away, and are back within two
	// seconds.
	unsureTime = 3 * time.Second
)

// watcher reads the store for a zone and publishes what it finds.
//
// It reads all of it, in one call, again and again. A watch would say sooner
// what changed, but may hear nothing for seconds without an error, and the
// reads that make up for that are as many.
type watcher struct {
	store        platform.SessionStore
	replica      *docsync.MemoryReplica
	log          *slog.Logger
	decodeTarget func(place.Target, []byte) (place.TargetRow, error)
	// configVersion reads the version of a configuration, if it is readable.
	configVersion func([]byte) (traffic.Version, bool)
	// broadcast says to the other watchers what this one has read.
	broadcast func(digest)

	// firstReadDelay is how long the first read waits for what others have read.
	firstReadDelay time.Duration

	// triggered gets a token when something was written.
	triggered chan struct{}

	// runMu lets one run end before the next one begins.
	runMu sync.Mutex

	mu         sync.Mutex
	peerDigest digest // by another watcher
	// triggeredAt is when something was last written that others wait for.
	triggeredAt time.Time

	// readAt is when this watcher last read, stagger its wait after that or
	// after another's reading.
	readAt time.Time
	jitter time.Duration

	failures int
	// failedAt is when the store last failed to answer, answersSince when it
	// first answered after that.
	failedAt, healthySince time.Time
	// rejected are the entries that were not readable, or are older than what was accepted,
	// by revision.
	rejected map[platform.Path]platform.Revision
}

// run reads until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	w.runMu.Lock()
	defer w.runMu.Unlock()
	w.rejected = make(map[platform.Path]platform.Revision)
	w.healthySince = time.Time{} // nothing is known of the time before
	w.awaitSeeds(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		if rest := w.untilNextRead(now); rest > 0 {
			w.sleep(ctx, rest)
			continue
		}
		if err := w.read(ctx); err != nil && ctx.Err() == nil {
			w.backOff(ctx, err)
			continue
		}
		if w.failures > 0 {
			w.log.Info("Store answers again.", slog.Int("failures", w.failures))
		}
		w.failures = 0
		w.readAt, w.jitter = now, rand.N(pollJitter)
		if !w.unsure(time.Now()) {
			// Others read for themselves meanwhile: the store may have turned
			// away this watcher alone.
			w.broadcast(w.digest())
		}
	}
	return nil
}

// sleep waits for d, or until something was written.
func (w *watcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.triggered:
	}
}

// awaitSeeds gives the seeds time to tell which hosts there are, once: every process
// that knows none would watch, and hundreds start at the same moment.
func (w *watcher) awaitSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.firstReadDelay)
	defer cancel()
	w.firstReadDelay = 0
	heard := w.replica.Subscribe(docMembers)
	for ctx.Err() == nil && !w.knowsHosts() {
		select {
		case <-ctx.Done():
			return
		case <-heard:
		}
	}
	sleep(ctx, roleSettleTime)
}

func (w *watcher) knowsHosts() bool {
	doc, ok := w.replica.Get(docMembers)
	if !ok {
		return false
	}
	list, err := member.DecodeList(doc.Body)
	return err == nil && len(list.Hosts) > 0
}

// untilNextRead returns how long this watcher need not read: another one has read a
// moment ago, and what it found is here.
func (w *watcher) untilNextRead(now time.Time) time.Duration {
	last := w.readAt
	if at := w.coveredAt(); at.After(last) {
		last = at
	}
	w.mu.Lock()
	stirred := w.triggeredAt.After(last)
	w.mu.Unlock()
	if stirred {
		return last.Add(minPollInterval).Sub(now)
	}
	return last.Add(pollInterval + w.jitter).Sub(now)
}

// trigger makes the next read come soon: what was written tells, for instance, that a
// lead's host has started again.
func (w *watcher) trigger(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.triggeredAt = now
	select {
	case w.triggered <- struct{}{}:
	default: // a token is waiting already
	}
}

func (w *watcher) backOff(ctx context.Context, err error) {
	if w.failures == 0 {
		w.log.Warn("Store does not answer, the last known state stays.", slog.Any("error", err))
	}
	w.failedAt, w.healthySince = time.Now(), time.Time{}
	w.failures++
	const maxDoublings = 4
	pause := min(minReadBackoff<<min(w.failures-1, maxDoublings), maxReadBackoff)
	sleep(ctx, pause/2+rand.N(pause))
}

// read publishes what changed since the last read.
func (w *watcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, revision, err := w.store.List(ctx, platform.PathAll)
	if err != nil {
		return err
	}
	now := time.Now()
	if w.healthySince.IsZero() {
		w.healthySince = now
	}
	var targets, members []platform.Entry
	for _, e := range entries {
		switch {
		case e.Path == platform.PathConfig:
			w.publishConfig(e)
		case strings.HasPrefix(string(e.Path), string(platform.PathTargets)):
			targets = append(targets, e)
		case strings.HasPrefix(string(e.Path), string(member.Prefix)):
			members = append(members, e)
		case strings.HasPrefix(string(e.Path), string(rangesPrefix)):
			w.publish(docOwners+docsync.Name(e.Path[len(rangesPrefix):]), e.Revision, e.Value, nil)
		}
	}
	body, err := w.encodeTargets(now, targets)
	w.publish(docTargets, revision, body, err)
	body, err = w.encodeMembers(members)
	w.publish(docMembers, revision, body, err)
	return nil
}

// unsure reports whether the store was out of reach a moment ago.
func (w *watcher) unsure(now time.Time) bool {
	return !w.failedAt.IsZero() && now.Sub(w.failedAt) < unsureTime
}

// steady reports whether the store has answered for as long as it takes entries
// to come back that lapsed while it was away.
func (w *watcher) steady(now time.Time) bool {
	return !w.healthySince.IsZero() && now.Sub(w.healthySince) >= unsureTime
}

// publish offers a document at the store's revision. One that has not changed
// is not sent round again.
func (w *watcher) publish(name docsync.Name, revision platform.Revision, body []byte, err error) {
	if err != nil {
		w.log.Error("Document not written, the last one stays.", slog.String("document", string(name)), slog.Any("error", err))
		return
	}
	if last, ok := w.replica.Get(name); ok && bytes.Equal(last.Body, body) {
		return
	}
	w.replica.PublishFromStore(docsync.Document{Name: name, Version: docsync.Version{Major: uint64(revision)}, Body: body})
}

// publishConfig offers the configuration. Its own version orders it: a store that
// comes back from a copy names an older one under a later revision. What has no
// readable version goes by the one before, so that all hosts tell that they can't
// read it.
func (w *watcher) publishConfig(e platform.Entry) {
	last, there := w.replica.Get(docTraffic)
	if there && bytes.Equal(last.Body, e.Value) {
		return
	}
	v := docsync.Version{Major: last.Version.Major, Minor: uint64(e.Revision)}
	if version, ok := w.configVersion(e.Value); ok {
		v.Major = uint64(version)
	}
	if there && v.Major < last.Version.Major {
		if w.rejected[e.Path] != e.Revision {
			w.rejected[e.Path] = e.Revision
			w.log.Warn("Older configuration in the store, the accepted one stays.",
				slog.Uint64("version", v.Major), slog.Uint64("accepted", last.Version.Major), slog.Uint64("revision", uint64(e.Revision)))
		}
		return
	}
	w.replica.PublishFromStore(docsync.Document{Name: docTraffic, Version: v, Body: e.Value})
}

func (w *watcher) encodeTargets(now time.Time, entries []platform.Entry) ([]byte, error) {
	d := fleet.List{RecentOutage: w.unsure(now), StoreStable: w.steady(now)}
	for _, e := range entries {
		name := place.Target(strings.TrimPrefix(string(e.Path), string(platform.PathTargets)))
		row, err := w.decodeTarget(name, e.Value)
		if err != nil {
			w.logUnreadable(e, err)
			continue
		}
		d.Targets = append(d.Targets, row)
	}
	return d.Encode()
}

func (w *watcher) encodeMembers(entries []platform.Entry) ([]byte, error) {
	list, errs := member.NewList(entries)
	for _, err := range errs {
		w.log.Warn("Entry of a member not readable, left out.", slog.Any("error", err))
	}
	return list.Encode()
}

// logUnreadable logs an entry that is not readable, once for each revision of it.
func (w *watcher) logUnreadable(e platform.Entry, err error) {
	if w.rejected[e.Path] == e.Revision {
		return
	}
	w.rejected[e.Path] = e.Revision
	w.log.Warn("Entry of a target not readable, left out.", slog.String("path", string(e.Path)),
		slog.Uint64("revision", uint64(e.Revision)), slog.Any("error", err))
}

// digest is what a watcher has read: the versions of its documents.
type digest struct {
	receivedAt time.Time
	versions   map[docsync.Name]uint64
}

// digest returns what stands on the board of what watchers read.
func (w *watcher) digest() digest {
	r := digest{versions: make(map[docsync.Name]uint64)}
	for _, prefix := range []docsync.Name{docTraffic, docTargets, docMembers, docOwners} {
		for _, doc := range w.replica.List(prefix) {
			r.versions[doc.Name] = doc.Version.Major
		}
	}
	return r
}

// receive takes what another watcher has read.
func (w *watcher) receive(r digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerDigest = r
}

// coveredAt returns when another watcher last read of which everything has come
// here. The owners of ranges change all the time, and nothing waits for them.
func (w *watcher) coveredAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, version := range w.peerDigest.versions {
		if strings.HasPrefix(string(name), string(docOwners)) {
			continue
		}
		if doc, ok := w.replica.Get(name); !ok || doc.Version.Major < version {
			return time.Time{}
		}
	}
	return w.peerDigest.receivedAt
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
