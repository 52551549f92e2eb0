package settings

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/platform"
)

// maxHistory and maxHistoryBytes bound the history in the document, in writes and in bytes.
const (
	maxHistory      = 200
	maxHistoryBytes = 4 << 20
)

// maxAttempts bounds the compare-and-swap attempts of one commit.
const maxAttempts = 64

// immediateAttempts is the number of attempts without backoff after losing
// against another writer.
const immediateAttempts = 4

// maxReads bounds how often a read of the document is tried.
const maxReads = 2

// meanBackoff is the mean delay before another attempt.
const meanBackoff = 20 * time.Millisecond

// ErrNotAccepted is returned if the store is unavailable and the write has
// certainly not taken effect.
var ErrNotAccepted = errors.New("settings: not accepted, the store is unavailable")

// ErrUnresolved is returned if the response to the write was lost and the store
// could not be read since. The write may have taken effect. The same Request,
// with the same ID, may be sent again at any time.
var ErrUnresolved = errors.New("settings: outcome unknown, the write may have taken effect")

// ErrNewer is returned by Commit if the document has fields that this release
// does not know, since writing would drop them.
var ErrNewer = errors.New("settings: document was written by a later release, use that release to write")

// ConflictError is returned if another write changed a path of the request after the
// revision that the writer expects.
type ConflictError struct {
	// Path is a path of the request that another write changed. If the history does
	// not go back far enough to exclude a conflict, it is the request's first path.
	Path Path
	// Winner is the newest accepted write of that path, or the newest write of all if
	// the history does not go back far enough.
	Winner Write
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings: %s was changed at revision %d by %s", e.Path, e.Winner.Number, e.Winner.By)
}

// Request is one write: a set of changes that is accepted or rejected as a whole.
type Request struct {
	// ID identifies the write; a repeated ID is applied once. Commit generates
	// one if it is empty.
	ID      string
	Changes []Change
	// Rollback, if not zero, replaces Changes by the changes that restore the
	// values of the revision with that number.
	Rollback uint64
	// Below, if set, limits a rollback to this path and the paths below it.
	Below Path
	// Expect is the number of the settings that the writer has seen. The write
	// conflicts if one of its paths was changed since. Zero skips the check.
	Expect uint64
	// By names the writer. Permit, if set, replaces it.
	By     string
	Reason string
	// DryRun validates the write and returns the resulting settings only.
	DryRun bool
	// Permit authorizes the changes against the current settings, on each attempt.
	// It returns the name of the writer, or an error to deny the write.
	Permit func(current *Settings, changes []Change) (by string, err error)
}

// CommitResult is the result of an accepted request.
type CommitResult struct {
	// Settings includes the write and possibly later ones.
	Settings *Settings
	Write    Write
	// Differences lists the changes that the write made, or would make in a dry run.
	Differences []Difference
}

// Committer writes settings to the platform's service. It is safe for concurrent use.
type Committer struct {
	store platform.Store
	// writeSem admits one write at a time, so that the writers of one process
	// do not compete for the store's revision.
	writeSem chan struct{}
	// backoff waits before another attempt or until ctx is done.
	backoff func(ctx context.Context)
}

// NewCommitter returns a committer on store.
func NewCommitter(store platform.Store) *Committer {
	return &Committer{store: store, writeSem: make(chan struct{}, 1), backoff: backoff}
}

// backoff waits for about meanBackoff or until ctx is done. The delay has jitter,
// so that writers on several hosts do not collide again.
func backoff(ctx context.Context) {
	timer := time.NewTimer(meanBackoff/2 + rand.N(meanBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Load returns the newest accepted settings, or empty settings if the store has none.
func (c *Committer) Load(ctx context.Context) (*Settings, error) {
	entry, err := c.get(ctx)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return &Settings{}, nil
	case err != nil:
		if errors.Is(err, platform.ErrUnavailable) {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return decodeEntry(entry)
}

// get reads the document. A failed read is repeated, since it may only have lost
// its response.
func (c *Committer) get(ctx context.Context) (entry platform.Entry, err error) {
	for range maxReads {
		entry, err = c.store.Get(ctx, StorePath)
		if !errors.Is(err, platform.ErrUnavailable) {
			break
		}
	}
	return entry, err
}

// pendingCommit is the state of one Commit call.
type pendingCommit struct {
	*Committer
	Request
	// inDoubt is set while an earlier write of this request may still take effect.
	inDoubt bool
	// base and next are the settings before and after the prepared write.
	base, next *Settings
	body       []byte // next, encoded
}

// Commit commits the request by one compare-and-swap. It returns *finding.Error,
// *ConflictError, ErrNotAccepted, ErrUnresolved, ErrNewer, ErrTooLarge, or the
// error of Permit. now is the time of the write in the history.
func (c *Committer) Commit(ctx context.Context, now time.Time, req Request) (CommitResult, error) {
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	a := &pendingCommit{Committer: c, Request: req}
	select {
	case c.writeSem <- struct{}{}:
		defer func() { <-c.writeSem }()
	case <-ctx.Done():
		return CommitResult{}, a.storeError(ctx.Err())
	}
	for i := range maxAttempts {
		if i >= immediateAttempts {
			a.backoff(ctx)
		}
		done, err := a.tryOnce(ctx, now)
		if err != nil {
			return CommitResult{}, err
		}
		if done != nil {
			return done.commitResult(a.ID), nil
		}
	}
	return CommitResult{}, a.storeError(errors.New("the store keeps returning stale values"))
}

// commitResult returns the result of the write with the given ID, which s includes.
func (s *Settings) commitResult(id string) CommitResult {
	out := CommitResult{Settings: s, Write: Write{Number: s.Number}}
	for _, w := range s.History {
		if w.ID == id {
			out.Write = w
		}
	}
	after := itemsByPath(s)
	for i, p := range out.Write.Paths {
		d := Difference{Path: p, Before: out.Write.Before[i]}
		if item, ok := after[p]; ok {
			d.After = Format([]Item{item})
		}
		if d.Before != d.After {
			out.Differences = append(out.Differences, d)
		}
	}
	return out
}

// tryOnce attempts one compare-and-swap. It returns nil, nil if Commit should try
// again.
func (a *pendingCommit) tryOnce(ctx context.Context, now time.Time) (*Settings, error) {
	current, err := a.Load(ctx)
	if errors.Is(err, platform.ErrUnavailable) {
		return nil, a.retryOrFail(ctx, err)
	}
	if err != nil {
		return nil, err
	}
	if slices.ContainsFunc(current.History, func(w Write) bool { return w.ID == a.ID }) {
		return current, nil
	}
	// A write in doubt can only take effect at the revision that it expects. Once
	// there is another revision, it can no longer take effect. At the same revision
	// it is sent again with the same ID: the store accepts only one of the two.
	if a.inDoubt && current.Revision == a.base.Revision {
		return a.write(ctx)
	}
	if a.inDoubt && current.Revision < a.base.Revision {
		return nil, a.retryOrFail(ctx, errors.New("the store returned a stale value"))
	}
	if a.inDoubt && !current.historyIncludes(a.base.Number+1) {
		return nil, a.storeError(errors.New("the history no longer includes the write"))
	}
	a.inDoubt = false
	if err := a.prepare(now, current); err != nil {
		return nil, err
	}
	if a.DryRun {
		return a.next, nil
	}
	return a.write(ctx)
}

// prepare builds and encodes the next settings from the current ones.
func (a *pendingCommit) prepare(now time.Time, current *Settings) error {
	if current.unknownFields {
		return ErrNewer
	}
	changes := a.Changes
	if a.Rollback > 0 {
		var err error
		if changes, err = current.rollback(a.Rollback, a.Below); err != nil {
			return err
		}
	}
	if a.Permit != nil {
		by, err := a.Permit(current, changes)
		if err != nil {
			return err
		}
		a.By = by
	}
	if err := current.checkConflict(changes, a.Expect); err != nil {
		return err
	}
	next, err := current.With(changes)
	if err != nil {
		return err
	}
	// A request without differences is written as well: current may be stale, and
	// only the compare-and-swap detects that.
	differences := Diff(current, next)
	next.Number = current.Number + 1
	next.History = current.appendHistory(now, a.Request, differences)
	if a.body = Encode(next); len(a.body) > MaxDocumentBytes {
		return ErrTooLarge
	}
	a.base, a.next = current, next
	return nil
}

// write attempts the compare-and-swap with the prepared document.
func (a *pendingCommit) write(ctx context.Context) (*Settings, error) {
	revision, err := a.store.Write(ctx, StorePath, a.body, a.base.Revision)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		a.next.Revision = revision
		return a.next, nil
	case errors.As(err, &conflict):
		return nil, nil
	case errors.Is(err, platform.ErrUnavailable):
		return nil, a.retryOrFail(ctx, err)
	default:
		a.inDoubt = true
		return nil, a.retryOrFail(ctx, err)
	}
}

// retryOrFail waits before another attempt. It fails if no write is in doubt or
// ctx is done.
func (a *pendingCommit) retryOrFail(ctx context.Context, cause error) error {
	if !a.inDoubt {
		return a.storeError(cause)
	}
	a.backoff(ctx)
	if ctx.Err() != nil {
		return a.storeError(cause)
	}
	return nil
}

// storeError wraps cause in ErrUnresolved if a write is in doubt, and in
// ErrNotAccepted otherwise.
func (a *pendingCommit) storeError(cause error) error {
	if a.inDoubt {
		return fmt.Errorf("%w (write %s): %w", ErrUnresolved, a.ID, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

// checkConflict returns a *ConflictError if a changed path was written after expect.
func (s *Settings) checkConflict(changes []Change, expect uint64) error {
	if expect == 0 || expect >= s.Number || len(changes) == 0 {
		return nil
	}
	for _, w := range slices.Backward(s.History) {
		if w.Number <= expect {
			return nil
		}
		for _, c := range changes {
			if slices.Contains(w.Paths, c.Path) {
				return &ConflictError{Path: c.Path, Winner: w}
			}
		}
	}
	if s.historyIncludes(expect + 1) {
		return nil
	}
	// The history does not go back far enough to exclude a conflict.
	newest := Write{Number: s.Number}
	if len(s.History) > 0 {
		newest = s.History[len(s.History)-1]
	}
	return &ConflictError{Path: changes[0].Path, Winner: newest}
}

// historyIncludes reports whether the history includes the write of that number.
func (s *Settings) historyIncludes(number uint64) bool {
	return len(s.History) > 0 && s.History[0].Number <= number
}

// appendHistory returns the history with the request added, within its limits.
func (s *Settings) appendHistory(now time.Time, req Request, differences []Difference) []Write {
	w := Write{ID: req.ID, Number: s.Number + 1, At: now, By: req.By, Reason: req.Reason}
	for _, d := range differences {
		w.Paths = append(w.Paths, d.Path)
		w.Before = append(w.Before, d.Before)
	}
	history := append(slices.Clone(s.History), w)
	size := 0
	for i, w := range slices.Backward(history) {
		size += w.approxBytes()
		if len(history)-i > maxHistory || size > maxHistoryBytes && i < len(history)-1 {
			return history[i+1:]
		}
	}
	return history
}

// approxBytes estimates the encoded size of a write.
func (w Write) approxBytes() int {
	n := len(w.ID) + len(w.By) + len(w.Reason)
	for i, p := range w.Paths {
		n += len(p) + len(w.Before[i])
	}
	return n
}

// rollback returns the changes that restore the values at number, limited to the
// paths that below covers.
func (s *Settings) rollback(number uint64, below Path) ([]Change, error) {
	var found finding.List
	if number >= s.Number {
		found.Addf("revision", "%d is not before the one in force, %d", number, s.Number)
		return nil, found.Err()
	}
	if !s.historyIncludes(number + 1) {
		found.Addf("revision", "%d is older than the kept history", number)
		return nil, found.Err()
	}
	former := make(map[Path]string)
	for _, w := range slices.Backward(s.History) {
		if w.Number <= number {
			break
		}
		for i, p := range w.Paths {
			if below.Covers(p) {
				former[p] = w.Before[i]
			}
		}
	}
	return s.restoreChanges(former)
}

// restoreChanges returns the changes that restore the former text of each path.
func (s *Settings) restoreChanges(former map[Path]string) ([]Change, error) {
	present := itemsByPath(s)
	var changes []Change
	for path, text := range former {
		item, ok := present[path]
		if text == "" {
			if ok {
				changes = append(changes, Change{Item: Item{Path: path}, Delete: true})
			}
			continue
		}
		if ok && Format([]Item{item}) == text {
			continue
		}
		back, err := Parse([]byte(text))
		if err != nil {
			return nil, err
		}
		changes = append(changes, back...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareNames(string(a.Path), string(b.Path)) })
	return changes, nil
}
