package spread_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/journal"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/spread"
	"citrontray.example/citrontray/internal/standin"
)

// TestFirstWriteOfStore starts a watcher on an empty store: the very first
// write, at revision 1, was missed until the next one.
func TestFirstWriteOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, board := standin.NewPlatform(), spread.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go func() { _ = spread.NewWatcher(store, board, journal.Nop()).Run(ctx) }()
		synctest.Wait()
		_, err := store.Write(ctx, settings.StorePath, []byte("one"), 0)
		assert.NilError(t, err)
		synctest.Wait()
		doc, ok := board.Get(spread.Settings)
		assert.Assert(t, ok)
		assert.Equal(t, doc.Version.Major, uint64(1))
	})
}
