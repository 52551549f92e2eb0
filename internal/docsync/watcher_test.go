package docsync_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/settings"
)

// TestFirstWriteOfStore starts a watcher on an empty store. It guards against a
// first write, at revision 1, that the watcher misses until the second one.
func TestFirstWriteOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, replica := fake.NewPlatform(), docsync.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		go func() { _ = docsync.NewWatcher(store, replica, logging.Nop()).Run(ctx) }()
		synctest.Wait()
		_, err := store.Write(ctx, settings.StorePath, []byte("one"), 0)
		assert.NilError(t, err)
		synctest.Wait()
		doc, ok := replica.Get(docsync.Settings)
		assert.Assert(t, ok)
		assert.Equal(t, doc.Version.Major, uint64(1))
	})
}
