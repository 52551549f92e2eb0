package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/loopback"
	platformfake "citrontray.example/citrontray/platform/fake"
)

const (
	frontPort    = 8100
	readyPort    = 8101
	internalPort = 8200
	// memoryMB is the memory of a machine on the users' small deployments.
	memoryMB = 284
	graceS   = 6
	// rangedService is a service with keys, plainService one without.
	rangedService = "span"
	plainService  = "desk"
	zoneCount     = 3
)

// record writes what happens to the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cluster is a small deployment: a store, the servers that a case adds, and host processes.
type cluster struct {
	record *record
	dir    string
	store  *fake.SessionStore
	// storeAddr is the address of the store.
	storeAddr netip.AddrPort
	hosts     []*host
	listeners []net.Listener
	runs      *fake.RunCounter
	// work is how long servers work on a request.
	work time.Duration

	mu      sync.Mutex
	servers []*server
	// listedAt is when a process last read the store.
	listedAt time.Time
}

func newCluster(r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, dir: dir, store: fake.NewSessionStore(), runs: fake.NewRunCounter(), work: 20 * time.Millisecond}
	handler := platformfake.NewStore(c.store)
	c.storeAddr, err = c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-range" && r.URL.Query().Get("after") == "" {
			c.mu.Lock()
			c.listedAt = time.Now()
			c.mu.Unlock()
		}
		handler.ServeHTTP(w, r)
	}))
	return c, err
}

// serve serves a handler on an address of its own.
func (c *cluster) serve(handler http.Handler) (netip.AddrPort, error) {
	addr, err := loopback.Addr()
	if err != nil {
		return addr, err
	}
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return addr, err
	}
	c.listeners = append(c.listeners, l)
	go func() { _ = http.Serve(l, handler) }()
	return addr, nil
}

// sinceListed returns how long ago a process read the store.
func (c *cluster) sinceListed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.listedAt)
}

// configure writes the configuration: a service with keys, and one without.
func (c *cluster) configure() error {
	body, err := json.Marshal(map[string]any{
		"version": "00000003",
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "prefix", "kind", "timeout_ms", "target_latency_ms", "max_attempts", "priority", "service"},
			"rows": [][]any{
				{"look-up", "a.example", "/keys/", "safe", 1200, 300, 2, 2, rangedService},
				{"send", "a.example", "/send/", "unsafe", 1500, 400, 2, 1, plainService},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "sharded", "warm_s"},
			"rows":    [][]any{{rangedService, "/healthz", 130, true, 2.0}, {plainService, "/healthz", 130, nil, nil}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	c.store.Set("op/config", body)
	return nil
}

// close ends all processes that the case has started, and removes its folder.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.http.Close()
	}
	for _, l := range c.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// keepLogs copies the logs of the processes to a folder.
func (c *cluster) keepLogs(dir string) {
	for _, h := range c.hosts {
		if body, err := os.ReadFile(h.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(dir, h.name+".log"), body, 0o600)
		}
	}
}

// startHosts writes the configuration, starts a host in each zone, and waits until all are
// ready.
func (c *cluster) startHosts() error {
	if err := c.configure(); err != nil {
		return err
	}
	for i := range zoneCount {
		h, err := c.addHost(i)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	for _, h := range c.hosts {
		const limit = 15 * time.Second
		if !h.awaitReady(limit) {
			return fmt.Errorf("%w: %s is not ready", errNotRun, h.name)
		}
	}
	return nil
}

// host is a machine with a host process.
type host struct {
	c        *cluster
	name     string
	ip       netip.Addr
	settings string
	log      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (c *cluster) addHost(i int) (*host, error) {
	ip, err := loopback.IP()
	if err != nil {
		return nil, err
	}
	h := &host{c: c, name: fmt.Sprintf("edge-z%d-1", i), ip: ip, settings: filepath.Join(c.dir, fmt.Sprintf("node-%d.json", i))}
	if h.log, err = os.Create(filepath.Join(c.dir, h.name+".log")); err != nil {
		return nil, err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	zones := map[string]string{"z0": "r", "z1": "r", "z2": "r"}
	body, err := json.Marshal(map[string]any{
		"node": h.name, "role": "host", "machine_class": "edge", "ip": ip.String(), "zone": fmt.Sprintf("z%d", i), "region": "r", "zones": zones,
		"serves": []string{"edge", "control_plane"}, "bootstrap": true, "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"},
		"listen": map[string]string{"front": at(frontPort), "ready": at(readyPort)}, "internal_ports": []int{internalPort, internalPort + 15},
		"limits": map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0}, "heartbeat_ms": 870,
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": graceS, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 64,
			"recovery_s": 15, "hold_max_ms": 10000, "thaw_slack_ms": 300,
		},
		"provider": map[string]any{
			"address": c.storeAddr.String(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, h)
	return h, os.WriteFile(h.settings, body, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command("target/citrontray-host")
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONTRAY_CONFIG=" + h.settings,
		"QUIC_GO_DISABLE_GSO=true", "QUIC_GO_DISABLE_ECN=true", "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	h.c.record.printf("%s starts, process %d", h.name, h.cmd.Process.Pid)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		h.c.record.printf("%s, process %d, has ended: %v", h.name, cmd.Process.Pid, err)
		close(ended)
	}(h.cmd, h.ended)
	return nil
}

// signal sends a signal to the process, which this case has started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(s) // fails if the process ends at this moment
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	if h.ended != nil {
		<-h.ended
	}
}

func (h *host) front() string { return netip.AddrPortFrom(h.ip, frontPort).String() }

// awaitReady waits until the host reports that it is ready.
func (h *host) awaitReady(limit time.Duration) bool {
	url := "http://" + netip.AddrPortFrom(h.ip, readyPort).String() + "/readyz"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
