package host

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
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

// Documents that watchers read from the store and that are replicated to all hosts.
const (
	docTraffic docsync.Name = "traffic"
	docTargets docsync.Name = "targets"
	docMembers docsync.Name = "members"
	// docRanges and docOwners are followed by the name of a service. The documents are
	// the routing table published by its leader, and its ownership document in the
	// store.
	docRanges docsync.Name = "ranges/"
	docOwners docsync.Name = "owners/"
)

const (
	// pollInterval is the time between two reads of the store by any watcher. Settings
	// and leaving targets must reach all hosts within two seconds.
	pollInterval = 700 * time.Millisecond
	// minPollInterval is the shortest time between two reads, used after a write that
	// others wait for.
	minPollInterval = 300 * time.Millisecond
	// pollJitter is the maximum of the random delay added to pollInterval, so that one
	// watcher reads before the others.
	pollJitter  = 300 * time.Millisecond
	readTimeout = 1200 * time.Millisecond
	// minReadBackoff and maxReadBackoff limit the backoff after a failed read.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = 700 * time.Millisecond
	// firstStartReadDelay is the minimum wait for documents from the seeds when the
	// whole deployment starts for the first time and has no clients yet. A random delay
	// of up to the same length is added.
	firstStartReadDelay = 1500 * time.Millisecond
	// restartReadDelay is the same for any other start. It is shorter because running
	// seeds respond faster and clients are waiting.
	restartReadDelay = 100 * time.Millisecond
	// roleSettleTime is the longest time until a process that knows the hosts stops
	// watching, unless it is one of the watchers.
	roleSettleTime = 500 * time.Millisecond
	// recentOutageTime is how long after a failed read the list of targets counts as read
	// during an outage. Entries expire while the store is unavailable and are back
	// within two seconds.
	recentOutageTime = 3 * time.Second
)

// watcher reads the store for a zone and publishes the documents.
//
// It polls the whole store with one call. A watch would report changes sooner, but may
// be silent for seconds without an error, and the reads needed to detect that are as
// many.
type watcher struct {
	store        platform.SessionStore
	replica      *docsync.MemoryReplica
	log          *slog.Logger
	decodeTarget func(place.Target, []byte) (place.TargetRow, error)
	// configVersion decodes the version of a configuration.
	configVersion func([]byte) (traffic.Version, bool)
	// evacuates reports whether the deployment evacuates zones; nil if it does not.
	evacuates func() bool
	// broadcast sends a digest to the other watchers.
	broadcast func(digest)

	// firstReadDelay is how long the first read waits for documents of other watchers.
	firstReadDelay time.Duration

	// triggered receives a token when the next read should come soon.
	triggered chan struct{}

	// runMu serializes calls of run.
	runMu sync.Mutex

	mu         sync.Mutex
	peerDigest digest // last digest received from another watcher
	// readAt is the time of this watcher's last read.
	readAt time.Time
	// triggeredAt is the last time that a read was requested by trigger.
	triggeredAt time.Time

	// jitter is the random delay added to pollInterval after the last read.
	jitter time.Duration

	failures int
	// failedAt is the time of the last failed read, healthySince the time of the first
	// successful one after it.
	failedAt, healthySince time.Time
	// rejected maps the paths of undecodable or outdated entries to their revisions, so
	// that each is logged once.
	rejected map[platform.Path]platform.Revision
}

// run reads the store until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	w.runMu.Lock()
	defer w.runMu.Unlock()
	w.rejected = make(map[platform.Path]platform.Revision)
	w.healthySince = time.Time{} // reads of an earlier run don't show that the store is available now
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
			w.log.Info("Store is available again.", slog.Int("failures", w.failures))
		}
		w.failures = 0
		w.setReadAt(now)
		w.jitter = rand.N(pollJitter)
		if !w.recentOutage(time.Now()) {
			// No digest is sent after a recent failure, so that the other watchers read
			// the store themselves: it may have refused only this watcher.
			w.broadcast(w.digest())
		}
	}
	return nil
}

// sleep waits for d or for a trigger.
func (w *watcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.triggered:
	}
}

// awaitSeeds waits once for the list of hosts from the seeds. Every process that knows
// no hosts would watch the store, and hundreds may start at the same time.
func (w *watcher) awaitSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.firstReadDelay)
	defer cancel()
	w.firstReadDelay = 0
	updated := w.replica.Subscribe(docMembers)
	for ctx.Err() == nil && !w.knowsHosts() {
		select {
		case <-ctx.Done():
			return
		case <-updated:
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

// untilNextRead returns the time until this watcher's next read. A read by another
// watcher counts if all documents that it found have arrived here.
func (w *watcher) untilNextRead(now time.Time) time.Duration {
	last := w.listReadAt()
	w.mu.Lock()
	triggered := w.triggeredAt.After(last)
	w.mu.Unlock()
	if triggered {
		return last.Add(minPollInterval).Sub(now)
	}
	return last.Add(pollInterval + w.jitter).Sub(now)
}

// listReadAt returns when the store was last read by this watcher, or by another one whose
// documents have arrived here.
func (w *watcher) listReadAt() time.Time {
	covered := w.coveredAt()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.readAt.After(covered) {
		return w.readAt
	}
	return covered
}

// ownReadAt returns when this watcher last read the store.
func (w *watcher) ownReadAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readAt
}

func (w *watcher) setReadAt(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAt = at
}

// trigger brings the next read forward after a write that others wait for, such as the
// entry of a restarted leader's host.
func (w *watcher) trigger(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.triggeredAt = now
	select {
	case w.triggered <- struct{}{}:
	default: // a token is pending already
	}
}

func (w *watcher) backOff(ctx context.Context, err error) {
	if w.failures == 0 {
		w.log.Warn("Store is unavailable, keeping the last known state.", slog.Any("error", err))
	}
	w.failedAt, w.healthySince = time.Now(), time.Time{}
	w.failures++
	const maxDoublings = 4
	pause := min(minReadBackoff<<min(w.failures-1, maxDoublings), maxReadBackoff)
	sleep(ctx, pause/2+rand.N(pause))
}

// read reads the whole store and publishes the changed documents.
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
	var config *platform.Entry
	var targets, members, requests, evacuations []platform.Entry
	for _, e := range entries {
		switch {
		case e.Path == platform.PathConfig:
			config = &e
		case strings.HasPrefix(string(e.Path), string(requestsPrefix)):
			requests = append(requests, e)
		case strings.HasPrefix(string(e.Path), string(platform.PathEvacuations)):
			evacuations = append(evacuations, e)
		case strings.HasPrefix(string(e.Path), string(platform.PathTargets)):
			targets = append(targets, e)
		case strings.HasPrefix(string(e.Path), string(member.Prefix)):
			members = append(members, e)
		case strings.HasPrefix(string(e.Path), string(rangesPrefix)):
			w.publish(docOwners+docsync.Name(e.Path[len(rangesPrefix):]), docsync.Version{Major: uint64(e.Revision)}, e.Value, nil)
		}
	}
	list := w.targetList(now, targets)
	body, err := list.Encode()
	w.publish(docTargets, docsync.Version{Major: uint64(revision), Minor: listTrust(&list)}, body, err)
	body, err = w.encodeMembers(members)
	w.publish(docMembers, docsync.Version{Major: uint64(revision)}, body, err)
	w.publishRequests(ctx, revision, requests)
	w.publishEvacuations(revision, evacuations)
	if config != nil {
		w.publishConfig(*config) // last: with it the host begins to serve
	}
	return nil
}

// publishRequests publishes what the store has about requests, and writes the key of their
// fingerprints where there is none.
func (w *watcher) publishRequests(ctx context.Context, revision platform.Revision, entries []platform.Entry) {
	body, err := requestsDocument(entries)
	w.publish(docRequests, docsync.Version{Major: uint64(revision)}, body, err)
	if slices.ContainsFunc(entries, func(e platform.Entry) bool { return e.Path == fingerprintKeyPath }) {
		return
	}
	if err := createFingerprintKey(ctx, w.store); err != nil {
		w.log.Info("Key of fingerprints not written to the store.", slog.Any("error", err))
		return
	}
	w.trigger(time.Now())
}

// listTrust orders the lists of several watchers at one revision of the store, by what a
// missing target means: it may have expired in an outage, or certainly not.
func listTrust(l *fleet.List) uint64 {
	switch {
	case l.RecentOutage:
		return 0
	case !l.StoreStable:
		return 1
	}
	return 2
}

// recentOutage reports whether a read failed recently.
func (w *watcher) recentOutage(now time.Time) bool {
	return !w.failedAt.IsZero() && now.Sub(w.failedAt) < recentOutageTime
}

// storeStable reports whether reads have succeeded for so long that entries which expired
// during an outage are back.
func (w *watcher) storeStable(now time.Time) bool {
	return !w.healthySince.IsZero() && now.Sub(w.healthySince) >= recentOutageTime
}

// publish publishes a version of a document. An unchanged document is not replicated
// again.
func (w *watcher) publish(name docsync.Name, version docsync.Version, body []byte, err error) {
	if err != nil {
		w.log.Error("Document not encoded, keeping the last one.", slog.String("document", string(name)), slog.Any("error", err))
		return
	}
	if last, ok := w.replica.Get(name); ok && bytes.Equal(last.Body, body) {
		return
	}
	w.replica.PublishFromStore(docsync.Document{Name: name, Version: version, Body: body})
}

// publishConfig publishes the configuration, ordered by its own version: a store that
// was restored from an older snapshot has an older configuration at a later revision. A
// configuration whose version can't be decoded takes the version of the one before, so
// that it reaches all hosts and each logs that it can't decode it.
func (w *watcher) publishConfig(e platform.Entry) {
	last, exists := w.replica.Get(docTraffic)
	if exists && bytes.Equal(last.Body, e.Value) {
		return
	}
	v := docsync.Version{Major: last.Version.Major, Minor: uint64(e.Revision)}
	if version, ok := w.configVersion(e.Value); ok {
		v.Major = uint64(version)
	}
	if exists && v.Major < last.Version.Major {
		if w.rejected[e.Path] != e.Revision {
			w.rejected[e.Path] = e.Revision
			w.log.Warn("Older configuration in the store, keeping the accepted one.",
				slog.Uint64("version", v.Major), slog.Uint64("accepted", last.Version.Major), slog.Uint64("revision", uint64(e.Revision)))
		}
		return
	}
	w.replica.PublishFromStore(docsync.Document{Name: docTraffic, Version: v, Body: e.Value})
}

func (w *watcher) targetList(now time.Time, entries []platform.Entry) fleet.List {
	list := fleet.List{RecentOutage: w.recentOutage(now), StoreStable: w.storeStable(now)}
	for _, e := range entries {
		name := place.Target(strings.TrimPrefix(string(e.Path), string(platform.PathTargets)))
		row, err := w.decodeTarget(name, e.Value)
		if err != nil {
			w.logUndecodable(e, err)
			continue
		}
		list.Targets = append(list.Targets, row)
	}
	return list
}

func (w *watcher) encodeMembers(entries []platform.Entry) ([]byte, error) {
	list, errs := member.NewList(entries)
	for _, err := range errs {
		w.log.Warn("Host entry not decodable, left out.", slog.Any("error", err))
	}
	return list.Encode()
}

// logUndecodable logs an undecodable target entry once per revision.
func (w *watcher) logUndecodable(e platform.Entry, err error) {
	if w.rejected[e.Path] == e.Revision {
		return
	}
	w.rejected[e.Path] = e.Revision
	w.log.Warn("Target entry not decodable, left out.", slog.String("path", string(e.Path)),
		slog.Uint64("revision", uint64(e.Revision)), slog.Any("error", err))
}

// digest holds the versions of the documents that a watcher has read.
type digest struct {
	receivedAt time.Time
	versions   map[docsync.Name]uint64
}

// digest returns the versions of the replica's store documents.
func (w *watcher) digest() digest {
	d := digest{versions: make(map[docsync.Name]uint64)}
	for _, prefix := range []docsync.Name{docTraffic, docTargets, docMembers, docRequests, docEvacuations, docOwners} {
		for _, doc := range w.replica.List(prefix) {
			d.versions[doc.Name] = doc.Version.Major
		}
	}
	return d
}

// receive stores the digest of another watcher.
func (w *watcher) receive(d digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerDigest = d
}

// coveredAt returns when the last digest of another watcher arrived, if all documents
// in it other than ownership documents have arrived here too, otherwise zero. Ownership
// documents change all the time, and nothing waits for them.
func (w *watcher) coveredAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lacksEvacuations(&w.peerDigest) {
		return time.Time{}
	}
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
