package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rogpeppe/go-internal/testscript"

	"citrontray.example/citrontray/internal/journal"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/standin"
	"citrontray.example/citrontray/internal/status"
)

// bootstrap is the first operator's credential in the scripts.
const bootstrap = "first-credential"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"citrontray": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"store": storeFaults},
	})
}

// storeKey finds the stand-in platform of a script.
type storeKey struct{}

// setUp starts a stand-in platform, an operators' API on it and one daemon's
// status page for a script.
func setUp(env *testscript.Env) error {
	store := &faultyStore{Platform: standin.NewPlatform()}
	env.Values[storeKey{}] = store
	client := func(addr string) platform.Store {
		return platform.NewClient(platform.ClientConfig{
			Addrs: []netip.AddrPort{netip.MustParseAddrPort(addr)}, Timeout: time.Second,
		})
	}
	platformAddr, err := serve(env, platform.NewHandler(store))
	if err != nil {
		return err
	}
	router := mux.NewRouter()
	operator.NewServer(operator.ServerConfig{
		Store:     client(platformAddr),
		Bootstrap: settings.HashCredential(bootstrap),
		Log:       journal.Nop(),
	}).Register(router)
	router.Handle(status.Path, status.Handler(status.SourceFunc(report)))
	api, err := serve(env, router)
	if err != nil {
		return err
	}
	env.Setenv("CITRONTRAY_OPERATORS", api)
	env.Setenv("CITRONTRAY_CREDENTIAL", bootstrap)
	env.Setenv("CITRONTRAY_HOSTS", api)
	env.Setenv("PLATFORM", platformAddr)
	for _, name := range preset.All() {
		p, err := preset.Get(name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, string(name)+".yaml"), p.File, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// faultyStore loses the answers of the next writes, after they took effect.
type faultyStore struct {
	*standin.Platform
	lose atomic.Int64
}

// Write implements platform.Store.
func (s *faultyStore) Write(ctx context.Context, path platform.Path, value []byte, expect platform.Revision) (platform.Revision, error) {
	revision, err := s.Platform.Write(ctx, path, value, expect)
	if err == nil && s.lose.Add(-1) >= 0 {
		return 0, platform.ErrUnknown
	}
	return revision, err
}

// serve serves a handler on loopback until the script ends.
func serve(env *testscript.Env, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	env.Defer(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return listener.Addr().String(), nil
}

// storeFaults is the script command: store on|out|old, or store lose for the
// answer of the next write.
func storeFaults(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: store on|out|old|lose")
	}
	store, ok := ts.Value(storeKey{}).(*faultyStore)
	if !ok {
		ts.Fatalf("no store")
	}
	faults, ok := map[string]standin.PlatformFaults{
		"on":   {},
		"out":  {Down: true},
		"old":  {OldValues: true},
		"lose": {},
	}[args[0]]
	if !ok {
		ts.Fatalf("store: no fault %s", args[0])
	}
	store.SetFaults(faults)
	store.lose.Store(0)
	if args[0] == "lose" {
		store.lose.Store(1)
	}
}

// report is a lead with one cell, as the status commands show it.
func report(now time.Time, q status.Query) status.Report {
	r := status.Report{
		Host: "entry-1", Zone: "anadolu-a", Role: "lead", Ready: true,
		Settings: status.Settings{Number: 7, Revision: 90, Since: now.Add(-time.Hour)},
		Store:    now.Add(-time.Second),
		Cells: []status.Cell{{
			Service: "balance", Zone: "anadolu-a", Lead: "entry-1", Leading: true, Term: 3,
			Shards: 342, Owned: 341, Moving: 1, Solos: 2,
			Doubts: []status.Doubt{{
				Shard: 12, Target: "balance-3", Since: now.Add(-time.Minute),
				Why: "balance-3 does not answer and entry-2 may still renew",
			}},
		}},
		Targets: []status.Target{{Service: "balance", Target: "balance-1", PerSecond: 120, Waiting: 2, Running: 3, P99: 8.5}},
		Callers: []status.Caller{{Caller: "portal", Class: "interactive", PerSecond: 80, P99: 7}},
	}
	if q.Asked() && q.Service == "balance" {
		r.Key = &status.Key{
			Service: "balance", Key: q.Key, Zone: "anadolu-a", Shard: 12, Epoch: 5, Term: 3, Owner: "balance-1",
			Moves: []status.Move{{At: now.Add(-time.Hour), Shard: 12, Epoch: 5, From: "balance-3", To: "balance-1", Evidence: "lapsed"}},
		}
	}
	return r
}
