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

// maxHistory and maxHistoryBytes bound the writes kept in the document.
const (
	maxHistory      = 200
	maxHistoryBytes = 4 << 20
)

// maxAttempts bounds the compare-and-swaps of one commit.
const maxAttempts = 64

// immediateAttempts are made without a pause where another writer was faster.
const immediateAttempts = 4

// maxReads bounds the reads of the document until one is answered.
const maxReads = 2

// meanBackoff is the mean wait before another attempt.
const meanBackoff = 20 * time.Millisecond

// ErrNotAccepted is returned where the store is out and the write has
// certainly not taken effect.
var ErrNotAccepted = errors.New("settings: not accepted, the store is unavailable")

// ErrUnresolved is returned where the answer of the write was lost and the
// store could not be read since: the write may have taken effect. The same
// Request, with the same ID, may be sent again at any time.
var ErrUnresolved = errors.New("settings: outcome unknown, the write may have taken effect")

// ErrNewer is returned by Commit for a document with fields that this release
// does not know: writing would drop them.
var ErrNewer = errors.New("settings: written by a later release, use that one to write")

// ConflictError tells the loser of a race who won.
type ConflictError struct {
	// Path is the first path of the request that another write changed.
	Path Path
	// Winner is the newest accepted write that did.
	Winner Write
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("settings: %s was changed at revision %d by %s", e.Path, e.Winner.Number, e.Winner.By)
}

// Request is one write: a set of changes, accepted whole or not at all.
type Request struct {
	// ID tells the write from all others; a repeated ID is applied once.
	// Commit makes one where it is empty.
	ID      string
	Changes []Change
	// Rollback, where above zero, asks for the values that were in force
	// after that number, in place of Changes.
	Rollback uint64
	// Below, if set, limits a rollback to this path and those below it.
	Below Path
	// Expect is the number of the settings that the writer saw. The write
	// conflicts where one of its paths changed since. Zero: whatever is there.
	Expect uint64
	// By names the writer; Permit may name it instead.
	By     string
	Reason string
	// DryRun checks and returns the settings as they would be.
	DryRun bool
	// Permit is asked on each attempt with the settings in force and the
	// changes; it names the writer, or its error refuses the write.
	Permit func(current *Settings, changes []Change) (by string, err error)
}

// CommitResult is the outcome of a request.
type CommitResult struct {
	// Settings hold the write, and perhaps later ones.
	Settings *Settings
	Write    Write
	// Differences is what the write changed, or would in a dry run.
	Differences []Difference
}

// Committer writes settings to the platform's service. Safe for concurrent use.
type Committer struct {
	store platform.Store
	// writeSem is taken by the one write under way: writers of one process wait
	// for each other here and don't fight over the store's revision.
	writeSem chan struct{}
	// backoff waits before another try; it ends early with ctx.
	backoff func(ctx context.Context)
}

// NewCommitter returns a committer on store.
func NewCommitter(store platform.Store) *Committer {
	return &Committer{store: store, writeSem: make(chan struct{}, 1), backoff: backoff}
}

// backoff waits for about retryPause or the end of ctx. The length is random, so
// that writers on several hosts don't meet again.
func backoff(ctx context.Context) {
	timer := time.NewTimer(meanBackoff/2 + rand.N(meanBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Load returns the settings in force; a store without any gives empty ones.
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

// get reads the document. A lost answer to a read costs one more read.
func (c *Committer) get(ctx context.Context) (entry platform.Entry, err error) {
	for range maxReads {
		entry, err = c.store.Get(ctx, StorePath)
		if !errors.Is(err, platform.ErrUnavailable) {
			break
		}
	}
	return entry, err
}

// pendingCommit is one commit under way.
type pendingCommit struct {
	*Committer
	Request
	// inDoubt is set while a write of this request may still take effect.
	inDoubt bool
	// base and next are of the compare-and-swap in doubt.
	base, next *Settings
	body       []byte // next, encoded
}

// Commit makes the request accepted by one compare-and-swap. Errors: *finding.Error, *ConflictError, ErrNotAccepted,
// ErrUnresolved, ErrNewer, ErrTooLarge, and that of Permit. The present time
// goes into the history.
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
	return CommitResult{}, a.storeError(errors.New("the store keeps answering with old values"))
}

// commitResult returns the outcome of the write of that id, which s holds.
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

// tryOnce makes one compare-and-swap; nil and nil stand for another try.
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
	// A write in doubt can only win at the revision it expects: once another
	// revision is there, it has lost for good. At the same one it is sent
	// again, with the same id, and one of both wins.
	if a.inDoubt && current.Revision == a.base.Revision {
		return a.write(ctx)
	}
	if a.inDoubt && current.Revision < a.base.Revision {
		return nil, a.retryOrFail(ctx, errors.New("the store answers with an old value"))
	}
	if a.inDoubt && !current.historyIncludes(a.base.Number+1) {
		return nil, a.storeError(errors.New("the history does not reach back to it"))
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

// prepare makes the next settings out of the current ones.
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
	// A request that differs in nothing is written all the same: current may be
	// an old value, and only the compare-and-swap tells.
	differences := Diff(current, next)
	next.Number = current.Number + 1
	next.History = current.appendHistory(now, a.Request, differences)
	if a.body = Encode(next); len(a.body) > MaxDocumentBytes {
		return ErrTooLarge
	}
	a.base, a.next = current, next
	return nil
}

// write sends the prepared document.
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

// retryOrFail waits before another try, or gives up where nothing is in doubt.
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

// storeError tells certain failure from an unknown outcome.
func (a *pendingCommit) storeError(cause error) error {
	if a.inDoubt {
		return fmt.Errorf("%w (write %s): %w", ErrUnresolved, a.ID, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

// checkConflict reports whether one of the changed paths was written after expect.
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
	// The history does not reach back that far: nobody can tell.
	newest := Write{Number: s.Number}
	if len(s.History) > 0 {
		newest = s.History[len(s.History)-1]
	}
	return &ConflictError{Path: changes[0].Path, Winner: newest}
}

// historyIncludes reports whether the history holds the write of that number.
func (s *Settings) historyIncludes(number uint64) bool {
	return len(s.History) > 0 && s.History[0].Number <= number
}

// appendHistory returns the history with the request added, within bounds.
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

// approxBytes estimates the size of a write in the document.
func (w Write) approxBytes() int {
	n := len(w.ID) + len(w.By) + len(w.Reason)
	for i, p := range w.Paths {
		n += len(p) + len(w.Before[i])
	}
	return n
}

// rollback returns the changes that lead back to the values after number, of
// the paths at and below the one given.
func (s *Settings) rollback(number uint64, below Path) ([]Change, error) {
	var found finding.List
	if number >= s.Number {
		found.Addf("revision", "%d is not before the one in force, %d", number, s.Number)
		return nil, found.Err()
	}
	if !s.historyIncludes(number + 1) {
		found.Addf("revision", "%d is past the kept history", number)
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

// restoreChanges returns the changes that give each path its former text.
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
