package host

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/quarantine"
)

// The paths of the store about requests that end targets.
const (
	// requestsPrefix is the prefix of all of them.
	requestsPrefix platform.Path = "requests/"
	// fingerprintKeyPath is the path of the key of all fingerprints.
	fingerprintKeyPath = requestsPrefix + "key"
	// quarantinePrefix is followed by the fingerprint of a request that is refused.
	quarantinePrefix = requestsPrefix + "quarantined/"
)

const (
	// docRequests is the document with what the store has below requestsPrefix.
	docRequests docsync.Name = "requests"
	// docSuspects is followed by the name of a host. The document has the records of
	// requests that this host has changed last.
	docSuspects docsync.Name = "suspects/"
)

const (
	// maxOwnRecords bounds the records in a document of a host.
	maxOwnRecords = 512
	// publishDelay is how long a change waits for others, to be published with them: the
	// requests that were on one target are cut within a few milliseconds.
	publishDelay = 5 * time.Millisecond
)

// quarantiner finds out under which requests targets end, and which requests are refused
// because of that. Safe for concurrent use.
type quarantiner struct {
	host  *Host
	table *quarantine.Table
	// hasher is nil until the key of the deployment is known.
	hasher atomic.Pointer[quarantine.Hasher]
	// changed gets a token when this host has changed a record.
	changed chan struct{}
	saver   *quarantineSaver
}

func newQuarantiner(h *Host, hold time.Duration) *quarantiner {
	q := &quarantiner{host: h, table: quarantine.New(hold), changed: make(chan struct{}, 1)}
	q.saver = newQuarantineSaver(q)
	return q
}

// fingerprint returns the fingerprint of a request for a key, zero while the key of all
// fingerprints is not known.
func (q *quarantiner) fingerprint(r *forward.Request, point string) quarantine.Fingerprint {
	h := q.hasher.Load()
	if h == nil {
		return 0
	}
	return h.Sum(r.Body, r.Method, r.Host, r.URI, point, r.Header.Get("Authorization"), r.Header.Get("Cookie"))
}

// wireRequests is the encoding of docRequests.
type wireRequests struct {
	_   struct{} `cbor:",toarray"`
	Key []byte
	// Records are encoded by package quarantine, one in each.
	Records [][]byte
}

// requestsDocument returns the body of docRequests for the store's entries.
func requestsDocument(entries []platform.Entry) ([]byte, error) {
	var w wireRequests
	for _, e := range entries {
		switch {
		case e.Path == fingerprintKeyPath:
			w.Key = e.Value
		case strings.HasPrefix(string(e.Path), string(quarantinePrefix)):
			w.Records = append(w.Records, e.Value)
		}
	}
	return cbor.Marshal(w)
}

func decodeRequests(body []byte) (wireRequests, error) {
	var w wireRequests
	err := compat.Unmarshal(body, &w)
	return w, err
}

// loop applies the documents about requests until ctx ends.
func (q *quarantiner) loop(ctx context.Context) error {
	requests, suspects := q.host.replica.Subscribe(docRequests), q.host.replica.Subscribe(docSuspects)
	applied := make(map[docsync.Name]docsync.Version)
	for {
		docs := append(q.host.replica.List(docRequests), q.host.replica.List(docSuspects)...)
		for _, doc := range docs {
			if applied[doc.Name].Less(doc.Version) {
				applied[doc.Name] = doc.Version
				q.host.guard("quarantine", func() { q.apply(time.Now(), doc) })
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-requests:
		case <-suspects:
		}
	}
}

// apply applies a document about requests.
func (q *quarantiner) apply(now time.Time, doc docsync.Document) {
	if doc.Name != docRequests {
		q.merge(now, doc.Name, doc.Body, q.table.Merge)
		return
	}
	w, err := decodeRequests(doc.Body)
	if err != nil {
		q.host.log.Warn("Document about requests not decodable, keeping the last one.", slog.Any("error", err))
		return
	}
	q.setKey(w.Key)
	for _, body := range w.Records {
		q.merge(now, doc.Name, body, q.table.MergeSaved)
	}
}

// merge adds records of other hosts or of the store.
func (q *quarantiner) merge(now time.Time, name docsync.Name, body []byte, add func(time.Time, quarantine.Record) bool) {
	records, err := quarantine.Decode(body)
	if err != nil {
		q.host.log.Warn("Records of requests not decodable, left out.", slog.String("document", string(name)), slog.Any("error", err))
		return
	}
	for _, r := range records {
		if add(now, r) {
			q.logRefused(r)
		}
	}
}

// logRefused logs and counts a request that is refused from now on.
func (q *quarantiner) logRefused(r quarantine.Record) {
	if !r.IsRefused() {
		return
	}
	q.host.metrics.countQuarantined(r.Service)
	q.host.log.Warn("Request is quarantined, targets have ended under it.", slog.String("fingerprint", r.Fingerprint.String()),
		slog.String("service", string(r.Service)), slog.Int("ends", int(r.Ends)), slog.Any("targets", targetNames(r.Last)))
}

func targetNames(ends []quarantine.End) []place.Target {
	out := make([]place.Target, len(ends))
	for i, e := range ends {
		out[i] = e.Target
	}
	return out
}

// loopPublish publishes the records that this host changes until ctx ends.
func (q *quarantiner) loopPublish(ctx context.Context) error {
	name := docSuspects + docsync.Name(q.host.site.Host)
	version := docsync.Version{Major: uint64(q.host.incarnation)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.changed:
		}
		sleep(ctx, publishDelay)
		body, err := quarantine.Encode(q.table.Own(time.Now(), maxOwnRecords))
		if err != nil {
			q.host.log.Error("Records of requests not encoded.", slog.Any("error", err))
			continue
		}
		// The document of an earlier process may have a later version, if the clock was
		// set back meanwhile.
		if last, ok := q.host.replica.Get(name); ok && last.Version.Major > version.Major {
			version.Major = last.Version.Major + 1
		}
		version.Minor++
		q.host.replica.Publish(docsync.Document{Name: name, Version: version, Body: body})
	}
}

// notify makes loopPublish publish a change of this host.
func (q *quarantiner) notify() {
	select {
	case q.changed <- struct{}{}:
	default: // a token is pending already
	}
}

// served records that a target has served a request.
func (q *quarantiner) served(now time.Time, j *job) {
	ends := q.table.Served(now, j.fingerprint)
	if ends == 0 {
		return
	}
	q.host.log.Info("Request was served, earlier ends of targets no longer count.", slog.String("request", j.request.ID),
		slog.String("fingerprint", j.fingerprint.String()), slog.String("service", string(j.service.Name)), slog.Int("ends", int(ends)))
	q.notify()
}

const (
	// minSaveAge is how long a record stays as it is before the store gets it: most
	// requests are served before. maxSaveJitter is the maximum of the delay added, so that
	// one host writes before the others.
	minSaveAge    = 300 * time.Millisecond
	maxSaveJitter = 700 * time.Millisecond
)

// verdict returns the verdict on a job's request. The record of one that comes again
// after a target has ended under it goes to the store: should all hosts end at the same
// time, that end would not count.
func (q *quarantiner) verdict(now time.Time, j *job) quarantine.Verdict {
	v := q.table.Verdict(now, j.fingerprint)
	if _, watched := v.(quarantine.Watched); watched && q.table.Save(now, j.fingerprint, minSaveAge+rand.N(maxSaveJitter)) {
		q.saver.save(j.fingerprint)
	}
	return v
}

// ended records that a target ended under a request.
func (q *quarantiner) ended(now time.Time, j *job, known quarantine.Suspicion, end quarantine.End) {
	if j.fingerprint == 0 || !q.table.Ended(now, j.fingerprint, known, j.service.Name, end) {
		return
	}
	q.notify()
	if q.table.Save(now, j.fingerprint, neverUnchanged) {
		q.saver.save(j.fingerprint)
	}
	if r := q.table.Record(now, j.fingerprint); r.IsRefused() {
		q.logRefused(r)
	}
}

// neverUnchanged makes quarantine.Table.Save ignore records that wait to come again.
const neverUnchanged = math.MaxInt64

// Watch implements dispatch.Catalog.
func (d *dispatcher) Watch(now time.Time, f quarantine.Fingerprint) dispatch.Watch {
	return dispatch.WatchOf(d.verdict(now, f))
}

func (q *quarantiner) setKey(key []byte) {
	if len(key) == 0 {
		return
	}
	hasher, err := quarantine.NewHasher(key)
	if err != nil {
		q.host.log.Warn("Key of fingerprints not usable, keeping the last one.", slog.Any("error", err))
		return
	}
	q.hasher.Store(hasher)
}

// createFingerprintKey writes the key of all fingerprints to the store, unless it has one.
func createFingerprintKey(ctx context.Context, store platform.SessionStore) error {
	key := make([]byte, quarantine.KeyBytes)
	_, _ = cryptorand.Read(key) // never fails
	_, err := store.Commit(ctx, platform.Txn{
		If: []platform.Condition{{Path: fingerprintKeyPath}}, Put: []platform.Put{{Path: fingerprintKeyPath, Value: key}},
	})
	var conflict *platform.TxnConflictError
	if errors.As(err, &conflict) {
		return nil // another watcher was first
	}
	return err
}
