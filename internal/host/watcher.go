package host

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/fleet"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/spread"
	"citrontray.example/citrontray/internal/traffic"
)

// The documents that watchers read from the store and hosts pass on.
const (
	docTraffic spread.Name = "traffic"
	docTargets spread.Name = "targets"
	docMembers spread.Name = "members"
	// docRanges and docOwners are followed by the name of a service: the table
	// that its lead published, and what the store holds.
	docRanges spread.Name = "ranges/"
	docOwners spread.Name = "owners/"
)

const (
	// readInterval is the time between two reads of the store, by whichever
	// watcher comes first. Settings and departures have two seconds to get
	// everywhere.
	readInterval = 700 * time.Millisecond
	// stirInterval is the least time between two reads where something was written
	// that others wait for.
	stirInterval = 300 * time.Millisecond
	// readStagger is the longest that a watcher waits for another one on top.
	readStagger = 300 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 1200 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = 700 * time.Millisecond
	// seedsFirst is how long a host waits for what the seeds have read when the
	// whole deployment starts for the first time: there are no clients yet. What
	// is drawn on top of it is up to as long.
	seedsFirst = 1500 * time.Millisecond
	// seedsAgain is the same for any other start: seeds that run answer sooner, and
	// clients wait.
	seedsAgain = 100 * time.Millisecond
	// arrangeTime is how long it takes at most until a process that knows the
	// hosts no longer watches, unless it is one of those that should.
	arrangeTime = 500 * time.Millisecond
	// unsureFor is how long after a failed read the list of targets counts as
	// unsure: entries lapse while the store is away, and are back within two
	// seconds.
	unsureFor = 3 * time.Second
)

// watcher reads the store for a zone and publishes what it finds.
//
// It reads all of it, in one call, again and again. A watch would say sooner
// what changed, but may hear nothing for seconds without an error, and the
// reads that make up for that are as many.
type watcher struct {
	store        platform.SessionStore
	board        *spread.Memory
	log          *slog.Logger
	decodeTarget func(place.Target, []byte) (place.TargetRow, error)
	// configVersion reads the version of a configuration, if it is readable.
	configVersion func([]byte) (traffic.Version, bool)
	// tell says to the other watchers what this one has read.
	tell func(reading)

	// patience is how long the first read waits for what others have read.
	patience time.Duration

	// stirred gets a token when something was written.
	stirred chan struct{}

	// turn lets one run end before the next one begins.
	turn sync.Mutex

	mu    sync.Mutex
	heard reading // by another watcher
	// stirredAt is when something was last written that others wait for.
	stirredAt time.Time

	// readAt is when this watcher last read, stagger its wait after that or
	// after another's reading.
	readAt  time.Time
	stagger time.Duration

	failures int
	// failedAt is when the store last failed to answer, answersSince when it
	// first answered after that.
	failedAt, answersSince time.Time
	// bad are the entries that were not readable, or are older than what was accepted,
	// by revision.
	bad map[platform.Path]platform.Revision
}

// run reads until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	w.turn.Lock()
	defer w.turn.Unlock()
	w.bad = make(map[platform.Path]platform.Revision)
	w.answersSince = time.Time{} // nothing is known of the time before
	w.await(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		if rest := w.rest(now); rest > 0 {
			w.sleep(ctx, rest)
			continue
		}
		if err := w.read(ctx); err != nil && ctx.Err() == nil {
			w.fail(ctx, err)
			continue
		}
		if w.failures > 0 {
			w.log.Info("Store answers again.", slog.Int("failures", w.failures))
		}
		w.failures = 0
		w.readAt, w.stagger = now, rand.N(readStagger)
		if !w.unsure(time.Now()) {
			// Others read for themselves meanwhile: the store may have turned
			// away this watcher alone.
			w.tell(w.reading())
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
	case <-w.stirred:
	}
}

// await gives the seeds time to tell which hosts there are, once: every process
// that knows none would watch, and hundreds start at the same moment.
func (w *watcher) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.patience)
	defer cancel()
	w.patience = 0
	heard := w.board.Subscribe(docMembers)
	for ctx.Err() == nil && !w.knowsHosts() {
		select {
		case <-ctx.Done():
			return
		case <-heard:
		}
	}
	sleep(ctx, arrangeTime)
}

func (w *watcher) knowsHosts() bool {
	doc, ok := w.board.Get(docMembers)
	if !ok {
		return false
	}
	list, err := member.DecodeList(doc.Body)
	return err == nil && len(list.Hosts) > 0
}

// rest returns how long this watcher need not read: another one has read a
// moment ago, and what it found is here.
func (w *watcher) rest(now time.Time) time.Duration {
	last := w.readAt
	if at := w.covered(); at.After(last) {
		last = at
	}
	w.mu.Lock()
	stirred := w.stirredAt.After(last)
	w.mu.Unlock()
	if stirred {
		return last.Add(stirInterval).Sub(now)
	}
	return last.Add(readInterval + w.stagger).Sub(now)
}

// stir makes the next read come soon: what was written tells, for instance, that a
// lead's host has started again.
func (w *watcher) stir(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stirredAt = now
	select {
	case w.stirred <- struct{}{}:
	default: // a token is waiting already
	}
}

func (w *watcher) fail(ctx context.Context, err error) {
	if w.failures == 0 {
		w.log.Warn("Store does not answer, the last known state stays.", slog.Any("error", err))
	}
	w.failedAt, w.answersSince = time.Now(), time.Time{}
	w.failures++
	const maxDoublings = 4
	pause := min(retryFirst<<min(w.failures-1, maxDoublings), retryMost)
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
	if w.answersSince.IsZero() {
		w.answersSince = now
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
			w.publish(docOwners+spread.Name(e.Path[len(rangesPrefix):]), e.Revision, e.Value, nil)
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
	return !w.failedAt.IsZero() && now.Sub(w.failedAt) < unsureFor
}

// steady reports whether the store has answered for as long as it takes entries
// to come back that lapsed while it was away.
func (w *watcher) steady(now time.Time) bool {
	return !w.answersSince.IsZero() && now.Sub(w.answersSince) >= unsureFor
}

// publish offers a document at the store's revision. One that has not changed
// is not sent round again.
func (w *watcher) publish(name spread.Name, revision platform.Revision, body []byte, err error) {
	if err != nil {
		w.log.Error("Document not written, the last one stays.", slog.String("document", string(name)), slog.Any("error", err))
		return
	}
	if last, ok := w.board.Get(name); ok && bytes.Equal(last.Body, body) {
		return
	}
	w.board.PublishRead(spread.Document{Name: name, Version: spread.Version{Major: uint64(revision)}, Body: body})
}

// publishConfig offers the configuration. Its own version orders it: a store that
// comes back from a copy names an older one under a later revision. What has no
// readable version goes by the one before, so that all hosts tell that they can't
// read it.
func (w *watcher) publishConfig(e platform.Entry) {
	last, there := w.board.Get(docTraffic)
	if there && bytes.Equal(last.Body, e.Value) {
		return
	}
	v := spread.Version{Major: last.Version.Major, Minor: uint64(e.Revision)}
	if version, ok := w.configVersion(e.Value); ok {
		v.Major = uint64(version)
	}
	if there && v.Major < last.Version.Major {
		if w.bad[e.Path] != e.Revision {
			w.bad[e.Path] = e.Revision
			w.log.Warn("Older configuration in the store, the accepted one stays.",
				slog.Uint64("version", v.Major), slog.Uint64("accepted", last.Version.Major), slog.Uint64("revision", uint64(e.Revision)))
		}
		return
	}
	w.board.PublishRead(spread.Document{Name: docTraffic, Version: v, Body: e.Value})
}

func (w *watcher) encodeTargets(now time.Time, entries []platform.Entry) ([]byte, error) {
	d := fleet.List{RecentOutage: w.unsure(now), StoreStable: w.steady(now)}
	for _, e := range entries {
		name := place.Target(strings.TrimPrefix(string(e.Path), string(platform.PathTargets)))
		row, err := w.decodeTarget(name, e.Value)
		if err != nil {
			w.note(e, err)
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

// note logs an entry that is not readable, once for each revision of it.
func (w *watcher) note(e platform.Entry, err error) {
	if w.bad[e.Path] == e.Revision {
		return
	}
	w.bad[e.Path] = e.Revision
	w.log.Warn("Entry of a target not readable, left out.", slog.String("path", string(e.Path)),
		slog.Uint64("revision", uint64(e.Revision)), slog.Any("error", err))
}

// reading is what a watcher has read: the versions of its documents.
type reading struct {
	at       time.Time
	versions map[spread.Name]uint64
}

// reading returns what stands on the board of what watchers read.
func (w *watcher) reading() reading {
	r := reading{versions: make(map[spread.Name]uint64)}
	for _, prefix := range []spread.Name{docTraffic, docTargets, docMembers, docOwners} {
		for _, doc := range w.board.List(prefix) {
			r.versions[doc.Name] = doc.Version.Major
		}
	}
	return r
}

// hear takes what another watcher has read.
func (w *watcher) hear(r reading) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = r
}

// covered returns when another watcher last read of which everything has come
// here. The owners of ranges change all the time, and nothing waits for them.
func (w *watcher) covered() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, version := range w.heard.versions {
		if strings.HasPrefix(string(name), string(docOwners)) {
			continue
		}
		if doc, ok := w.board.Get(name); !ok || doc.Version.Major < version {
			return time.Time{}
		}
	}
	return w.heard.at
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
