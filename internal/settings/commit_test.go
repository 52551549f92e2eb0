package settings_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

var commitTime = time.Unix(1_800_000_000, 0).UTC()

// newStore returns a store that holds the agency preset as revision 1.
func newStore(t *testing.T) (*fake.Platform, *settings.Committer) {
	t.Helper()
	store := fake.NewPlatform()
	c := settings.NewCommitter(store)
	p, err := preset.Get(preset.Agency)
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, string(p.File)), By: "first"})
	assert.NilError(t, err)
	return store, c
}

func parse(t testing.TB, file string) []settings.Change {
	t.Helper()
	changes, err := settings.Parse([]byte(file))
	assert.NilError(t, err)
	return changes
}

func movesFile(service string, n int) string {
	return fmt.Sprintf("teams/agency/services/%s: {zones: [anadolu-a], moves: %d}\n", service, n)
}

// commitConcurrently runs ten commits at once and returns their errors.
func commitConcurrently(t *testing.T, c *settings.Committer, request func(i int) settings.Request) []error {
	t.Helper()
	const operators = 10
	errs := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() { _, errs[i] = c.Commit(t.Context(), commitTime, request(i)) })
	}
	group.Wait()
	return errs
}

func TestRaceOnOnePath(t *testing.T) {
	_, c := newStore(t)
	errs := commitConcurrently(t, c, func(i int) settings.Request {
		return settings.Request{Changes: parse(t, movesFile("balance", 10+i)), Expect: 1, By: fmt.Sprint(i)}
	})
	now, err := c.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, now.Number, uint64(2))
	winners := 0
	for i, err := range errs {
		var conflict *settings.ConflictError
		if err == nil {
			winners++
			assert.Equal(t, now.History[1].By, fmt.Sprint(i))
			continue
		}
		assert.Assert(t, errors.As(err, &conflict), "operator %d: %v", i, err)
		assert.Equal(t, conflict.Winner.Number, uint64(2))
		assert.Equal(t, conflict.Winner.By, now.History[1].By)
	}
	assert.Equal(t, winners, 1)
}

func TestRaceOnOverlappingSets(t *testing.T) {
	services := []string{"balance", "reminder", "plan"}
	store, c := newStore(t)
	errs := commitConcurrently(t, c, func(i int) settings.Request {
		file := movesFile(services[i%3], 10+i)
		if i%2 == 0 {
			file += movesFile(services[(i+1)%3], 30+i)
		}
		return settings.Request{Changes: parse(t, file), By: fmt.Sprint(i)}
	})
	now, err := c.Load(t.Context())
	assert.NilError(t, err)
	// Without Expect all writes are accepted, one after the other, and the last
	// writer of each path wins.
	assert.Equal(t, now.Number, uint64(11))
	for i, err := range errs {
		assert.NilError(t, err, "operator %d", i)
	}
	last := make(map[settings.Path]string)
	for _, w := range now.History[1:] {
		for _, p := range w.Paths {
			last[p] = w.By
		}
	}
	for path, by := range last {
		var i int
		_, err := fmt.Sscan(by, &i)
		assert.NilError(t, err)
		service, ok := now.Service(serviceOf(path))
		assert.Assert(t, ok)
		assert.Equal(t, service.MovesPerMinute%10, i, "%s was written last by %s", path, by)
	}
	assert.Equal(t, store.Counts().LostResponses, uint64(0))
}

func TestStoreUnavailableIsNotAccepted(t *testing.T) {
	store, c := newStore(t)
	store.SetFaults(fake.PlatformFaults{Down: true})
	_, err := c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, movesFile("plan", 7))})
	assert.ErrorIs(t, err, settings.ErrNotAccepted)
	store.SetFaults(fake.PlatformFaults{})
	now, err := c.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, now.Number, uint64(1))
}

// lossyStore loses the response to the next write, before or after the write takes
// effect, and may then become unavailable.
type lossyStore struct {
	*fake.Platform
	before, down bool
	lost         bool
}

func (s *lossyStore) Write(ctx context.Context, path platform.Path, value []byte, expect platform.Revision) (platform.Revision, error) {
	if s.lost {
		return s.Platform.Write(ctx, path, value, expect)
	}
	s.lost = true
	if !s.before {
		if _, err := s.Platform.Write(ctx, path, value, expect); err != nil {
			return 0, err
		}
	}
	s.SetFaults(fake.PlatformFaults{Down: s.down})
	return 0, platform.ErrOutcomeUnknown
}

func TestLostResponse(t *testing.T) {
	cases := map[string]struct {
		before, down bool
		want         error
	}{
		"took effect":               {},
		"took no effect":            {before: true},
		"took effect, then down":    {down: true, want: settings.ErrUnresolved},
		"took no effect, then down": {before: true, down: true, want: settings.ErrUnresolved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store, _ := newStore(t)
			committer := settings.NewCommitter(&lossyStore{Platform: store, before: c.before, down: c.down})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			req := settings.Request{ID: "one", Changes: parse(t, movesFile("plan", 7)), Expect: 1}
			_, err := committer.Commit(ctx, commitTime, req)
			assert.ErrorIs(t, err, c.want)

			// The same write, repeated once the store is available, is applied once.
			store.SetFaults(fake.PlatformFaults{})
			done, err := committer.Commit(t.Context(), commitTime, req)
			assert.NilError(t, err)
			assert.Equal(t, done.Write.Number, uint64(2))
			now, err := committer.Load(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, now.Number, uint64(2))
		})
	}
}

func TestRollback(t *testing.T) {
	_, c := newStore(t)
	write := func(file string) {
		t.Helper()
		_, err := c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, file)})
		assert.NilError(t, err)
	}
	first, err := c.Load(t.Context())
	assert.NilError(t, err)
	write(movesFile("plan", 7) + "teams/agency/limits/portal/interactive: null\n")
	write(movesFile("balance", 8) + "platform/drains/zones/anadolu-b: {reason: test}\n")

	done, err := c.Commit(t.Context(), commitTime, settings.Request{Rollback: 1, Below: "teams/agency/services/plan"})
	assert.NilError(t, err)
	assert.Equal(t, done.Settings.Number, uint64(4))
	assert.Equal(t, len(done.Differences), 1)

	done, err = c.Commit(t.Context(), commitTime, settings.Request{Rollback: 1})
	assert.NilError(t, err)
	assert.Equal(t, done.Settings.Number, uint64(5))
	assert.Equal(t, len(settings.Diff(first, done.Settings)), 0)

	_, err = c.Commit(t.Context(), commitTime, settings.Request{Rollback: 5})
	assert.ErrorContains(t, err, "is not before the one in force")
}

func TestHistoryIsBounded(t *testing.T) {
	_, c := newStore(t)
	const writes = 220
	for i := range writes {
		_, err := c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, movesFile("plan", 1+i))})
		assert.NilError(t, err)
	}
	now, err := c.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(now.History), 200)
	assert.Equal(t, now.History[199].Number, uint64(writes+1))
	_, err = c.Commit(t.Context(), commitTime, settings.Request{Rollback: 2})
	assert.ErrorContains(t, err, "is older than the kept history")
	_, err = c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, movesFile("plan", 1)), Expect: 2})
	var conflict *settings.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "error %v", err)
}

func TestTooLarge(t *testing.T) {
	_, c := newStore(t)
	const perFile = 3000
	for part := range 4 {
		var file strings.Builder
		for i := range perFile {
			fmt.Fprintf(&file, "platform/drains/targets/t%d-%d: {reason: ", part, i)
			for _, quarter := range "abcd" {
				fmt.Fprintf(&file, "%x", settings.HashCredential(fmt.Sprint(quarter, part, i)))
			}
			file.WriteString("}\n")
		}
		_, err := c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, file.String())})
		if part > 0 && err != nil {
			assert.ErrorIs(t, err, settings.ErrTooLarge)
			now, err := c.Load(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, now.Number, uint64(1+part))
			return
		}
		assert.NilError(t, err)
	}
	t.Fatal("no settings were rejected as too large")
}

func TestStaleReadsNeverRevert(t *testing.T) {
	store, c := newStore(t)
	var applied settings.Applied
	applyStored := func() {
		entry, err := store.Get(t.Context(), settings.StorePath)
		assert.NilError(t, err)
		_, err = applied.ApplyDocument(commitTime, entry.Revision, entry.Value)
		assert.NilError(t, err)
	}
	_, err := c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, movesFile("plan", 7))})
	assert.NilError(t, err)
	applyStored()
	store.SetFaults(fake.PlatformFaults{StaleReads: true})
	applyStored()
	_, number, since := applied.InForce()
	assert.Equal(t, number, uint64(2))
	assert.Equal(t, since, commitTime)

	// A write based on a stale value fails, even without Expect.
	_, err = c.Commit(t.Context(), commitTime, settings.Request{Changes: parse(t, movesFile("plan", 9))})
	assert.ErrorIs(t, err, settings.ErrNotAccepted)
	store.SetFaults(fake.PlatformFaults{})
	now, err := c.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, now.Number, uint64(2))
}

func serviceOf(path settings.Path) (name key.Service) {
	parts := strings.Split(string(path), "/")
	return key.Service(parts[len(parts)-1])
}
