package fake_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// newStore returns a client of a fake platform over a real socket.
func newStore(t *testing.T) (*fake.Platform, *platform.Client) {
	t.Helper()
	p := fake.NewPlatform()
	server := httptest.NewServer(platform.NewHandler(p))
	client := platform.NewClient(platform.ClientConfig{
		Addrs:   []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())},
		Timeout: 5 * time.Second,
		Host:    "host-1", Zone: "zone-a",
	})
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return p, client
}

func TestPlatformCompareAndSwap(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	first, err := store.Write(ctx, "a/1", []byte("one"), 0)
	assert.NilError(t, err)

	_, err = store.Write(ctx, "a/1", []byte("other"), 0)
	var conflict *platform.ConflictError
	assert.Assert(t, asConflict(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Current, first)

	entry, err := store.Get(ctx, "a/1")
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "one")

	assert.NilError(t, store.Delete(ctx, "a/1", first))
	_, err = store.Get(ctx, "a/1")
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

func TestPlatformWatchSeesEveryChangeAfterARevision(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	first, err := store.Write(ctx, "a/1", []byte("one"), 0)
	assert.NilError(t, err)
	second, err := store.Write(ctx, "a/1", []byte("two"), first)
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(ctx, "a/1", second))

	changes, revision, err := store.Watch(ctx, "a/", first)
	assert.NilError(t, err)
	assert.Equal(t, revision, second+1)
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, string(changes[0].Value), "two")
	assert.Assert(t, changes[1].Deleted)
}

func TestPlatformLeaseHasOneHolder(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	lease, err := store.Acquire(ctx, "lease/a", "host-1", time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, lease.Held)
	lease, err = store.Acquire(ctx, "lease/a", "host-2", time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, !lease.Held)
	assert.Equal(t, lease.Holder, "host-1")
	assert.NilError(t, store.Release(ctx, "lease/a", "host-2"))
	assert.NilError(t, store.Release(ctx, "lease/a", "host-1"))
	lease, err = store.Acquire(ctx, "lease/a", "host-2", time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, lease.Held)
}

func TestPlatformFaults(t *testing.T) {
	tests := map[string]struct {
		faults fake.PlatformFaults
		err    error
		wrote  bool
	}{
		"none":                   {wrote: true},
		"down":                   {faults: fake.PlatformFaults{Down: true}, err: platform.ErrUnavailable},
		"response lost":          {faults: fake.PlatformFaults{LoseResponses: 1}, err: platform.ErrOutcomeUnknown, wrote: true},
		"host partitioned":       {faults: fake.PlatformFaults{PartitionedHosts: []place.Host{"host-1"}}, err: platform.ErrUnavailable},
		"other host partitioned": {faults: fake.PlatformFaults{PartitionedHosts: []place.Host{"host-2"}}, wrote: true},
		"zone partitioned":       {faults: fake.PlatformFaults{PartitionedZones: []place.Zone{"zone-a"}}, err: platform.ErrUnavailable},
		"slow but successful":    {faults: fake.PlatformFaults{SlowMin: time.Millisecond, SlowMax: 2 * time.Millisecond}, wrote: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, store := newStore(t)
			ctx := context.Background()
			p.SetFaults(tt.faults)
			_, err := store.Write(ctx, "a/1", []byte("one"), 0)
			if tt.err == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, tt.err)
			}
			p.SetFaults(fake.PlatformFaults{})
			_, err = store.Get(ctx, "a/1")
			assert.Equal(t, err == nil, tt.wrote)
		})
	}
}

func TestPlatformDownEndsWatches(t *testing.T) {
	p, store := newStore(t)
	ended := make(chan error, 1)
	go func() {
		_, _, err := store.Watch(context.Background(), "a/", 0)
		ended <- err
	}()
	for p.Counts().Reads == 0 { // until the watch has started
		time.Sleep(time.Millisecond)
	}
	p.SetFaults(fake.PlatformFaults{Down: true})
	assert.ErrorIs(t, <-ended, platform.ErrUnavailable)
}

func TestPlatformStaleReads(t *testing.T) {
	p, store := newStore(t)
	ctx := context.Background()
	first, err := store.Write(ctx, "a/1", []byte("one"), 0)
	assert.NilError(t, err)
	_, err = store.Write(ctx, "a/1", []byte("two"), first)
	assert.NilError(t, err)
	p.SetFaults(fake.PlatformFaults{StaleReads: true})
	entry, err := store.Get(ctx, "a/1")
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "one")
}

func TestPlatformFleetLags(t *testing.T) {
	p, store := newStore(t)
	ctx := context.Background()
	p.SetFleetLag(0)
	p.SetHost(time.Now(), place.HostRow{Host: "host-1", Zone: "zone-a"})
	p.SetFleetLag(time.Hour)
	p.SetHost(time.Now(), place.HostRow{Host: "host-1", Zone: "zone-a", State: place.Leaving})
	p.SetHost(time.Now(), place.HostRow{Host: "host-2", Zone: "zone-a"})
	fleet, err := store.Fleet(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.Hosts), 1)
	assert.Equal(t, fleet.Hosts[0].State, place.Live)
}
