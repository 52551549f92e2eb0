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
	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/lead"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/status"
)

// bootstrap is the bootstrap credential in the scripts.
const bootstrap = "first-credential"

// awaitTimeout limits the waits of a script.
const awaitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"citrontray":       main,
		"citrontray-lead":  func() { os.Exit(lead.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"citrontray-entry": func() { os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"store":   setStoreFault,
			"await":   awaitSettings,
			"deploy":  deploy,
			"request": request,
		},
	})
}

// storeKey and documentsKey are the keys of a script's fake platform and of its host's
// documents.
type (
	storeKey     struct{}
	documentsKey struct{}
)

// awaitSettings is the script command that waits until the host has received settings
// from the store.
func awaitSettings(ts *testscript.TestScript, _ bool, _ []string) {
	documents, ok := ts.Value(documentsKey{}).(docsync.Replica)
	if !ok {
		ts.Fatalf("the script has no documents")
	}
	updates := documents.Subscribe(docsync.Settings)
	for {
		if _, ok := documents.Get(docsync.Settings); ok {
			return
		}
		select {
		case <-updates:
		case <-time.After(awaitTimeout):
			ts.Fatalf("the host has no settings from the store")
		}
	}
}

// setUp starts a fake platform, an operators' API and the status endpoint of one daemon
// for a script.
func setUp(env *testscript.Env) error {
	store := &faultyStore{Platform: fake.NewPlatform()}
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
	router.Handle(status.Path, status.Handler(status.SourceFunc(report)))
	statusAddr, err := serve(env, router)
	if err != nil {
		return err
	}
	api, err := serveOperators(env, client(platformAddr))
	if err != nil {
		return err
	}
	env.Setenv("CITRONTRAY_OPERATORS", api)
	env.Setenv("CITRONTRAY_CREDENTIAL", bootstrap)
	env.Setenv("CITRONTRAY_AUTHORITY", filepath.Join(env.WorkDir, "tls", certs.AuthorityFile))
	env.Setenv("CITRONTRAY_DAEMONS", statusAddr)
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

// faultyStore can lose the responses of writes that took effect.
type faultyStore struct {
	*fake.Platform
	loseResponses atomic.Int64
}

// Write implements platform.Store.
func (s *faultyStore) Write(ctx context.Context, path platform.Path, value []byte, expect platform.Revision) (platform.Revision, error) {
	revision, err := s.Platform.Write(ctx, path, value, expect)
	if err == nil && s.loseResponses.Add(-1) >= 0 {
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

// serveOperators serves the operators' API as a host does: over TLS, with a watcher that
// keeps a copy of the settings.
func serveOperators(env *testscript.Env, store platform.Store) (string, error) {
	dir := filepath.Join(env.WorkDir, "tls")
	now, loopback := time.Now(), netip.MustParseAddr("127.0.0.1")
	if err := certs.CreateAuthority(now, dir); err != nil {
		return "", err
	}
	if err := certs.IssueHost(now, dir, "entry-1", "a", []peer.Role{peer.RoleLead}, []netip.Addr{loopback}); err != nil {
		return "", err
	}
	material, err := certs.Load(now, dir, "entry-1", peer.RoleLead)
	if err != nil {
		return "", err
	}
	documents := docsync.New()
	env.Values[documentsKey{}] = documents
	listener, err := operator.Listen(netip.AddrPortFrom(loopback, 0), material.OperatorTLS(), operator.NewServer(operator.ServerConfig{
		Store: store, Replica: documents, Bootstrap: settings.HashCredential(bootstrap), Log: logging.Nop(),
	}))
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return listener.Run(ctx) })
	group.Go(func() error { return docsync.NewWatcher(store, documents, logging.Nop()).Run(ctx) })
	env.Defer(func() {
		cancel()
		_ = group.Wait()
	})
	return listener.Addr().String(), nil
}

// serve serves a handler on loopback until the end of the script.
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

// setStoreFault is the script command store on|out|old|lose: no fault, unavailable,
// stale reads, or losing the response to the next write.
func setStoreFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: store on|out|old|lose")
	}
	store, ok := ts.Value(storeKey{}).(*faultyStore)
	if !ok {
		ts.Fatalf("the script has no store")
	}
	faults, ok := map[string]fake.PlatformFaults{
		"on":   {},
		"out":  {Down: true},
		"old":  {StaleReads: true},
		"lose": {},
	}[args[0]]
	if !ok {
		ts.Fatalf("store: unknown fault %s", args[0])
	}
	store.SetFaults(faults)
	store.loseResponses.Store(0)
	if args[0] == "lose" {
		store.loseResponses.Store(1)
	}
}

// report returns the report of a lead process with one cell, for the status commands.
func report(now time.Time, q status.Query) status.Report {
	r := status.Report{
		Host: "entry-1", Zone: "anadolu-a", Role: "lead", Ready: true,
		Settings:          status.Settings{Number: 7, Revision: 90, Since: now.Add(-time.Hour)},
		LastStoreResponse: now.Add(-time.Second),
		Cells: []status.Cell{{
			Service: "balance", Zone: "anadolu-a", Leader: "entry-1", Leading: true, Term: 3,
			Shards: 342, Owned: 341, Moving: 1, SingleKeys: 2,
			Blocked: []status.BlockedShard{{
				Shard: 12, Target: "balance-3", Since: now.Add(-time.Minute),
				Reason: "balance-3 does not respond and entry-2 may still renew",
			}},
		}},
		Targets: []status.Target{{Service: "balance", Target: "balance-1", PerSecond: 120, Waiting: 2, Running: 3, P99: 8.5}},
		Callers: []status.Caller{{Caller: "portal", Class: "interactive", PerSecond: 80, P99: 7}},
	}
	if q.HasKey() && q.Service == "balance" {
		r.Key = &status.Key{
			Service: "balance", Key: q.Key, Zone: "anadolu-a", Shard: 12, Epoch: 5, Term: 3, Owner: "balance-1",
			Moves: []status.Move{{At: now.Add(-time.Hour), Shard: 12, Epoch: 5, From: "balance-3", To: "balance-1", Evidence: "lapsed"}},
		}
	}
	return r
}
