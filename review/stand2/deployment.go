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
	"sync/atomic"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/loopback"
	platformfake "citrontray.example/citrontray/platform/fake"
)

const (
	frontPort   = 8548
	readyPort   = 8542
	controlPort = 8544
	firstPort   = 7540
	lastPort    = 7555
	hostName    = "review.example"
	healthPath  = "/healthz"
	routePrefix = "/orders/"
	// probeInterval is the time between two probes of the balancer; after maxMisses misses in
	// a row a host gets no new connections.
	probeInterval = time.Second
	maxMisses     = 2
)

// grace is the time between SIGTERM and SIGKILL.
const grace = 6 * time.Second

// zones are the zones of the deployment, one host in each.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small deployment: a store, servers, hosts and a balancer.
type deployment struct {
	record  *record
	binary  string
	dir     string
	store   *fake.SessionStore
	stored  *http.Server
	storeAt netip.AddrPort
	servers []*server
	keyed   []*http.Server
	hosts   []*hostProcess
	runs    *runLog
	closed  chan struct{}
}

func newDeployment(r *record, binary, dir string) (*deployment, error) {
	d := &deployment{
		record: r, binary: binary, dir: dir, store: fake.NewSessionStore(), runs: &runLog{runs: make(map[string]interval)},
		closed: make(chan struct{}),
	}
	var err error
	if d.storeAt, err = loopback.Addr(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", d.storeAt.String())
	if err != nil {
		return nil, err
	}
	d.stored = &http.Server{Handler: platformfake.NewStore(d.store), ReadHeaderTimeout: idleClose}
	go d.runStore(l)
	return d, nil
}

func (d *deployment) runStore(l net.Listener) { _ = d.stored.Serve(l) }

func mustMarshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen with our own types
	}
	return body
}

// route is the only route of a configuration.
type route struct {
	kind, service string
	timeout, aim  time.Duration
}

// publish writes the configuration.
func (d *deployment) publish(r route) {
	d.store.Set("op/config", mustMarshal(map[string]any{
		"version": "00000003",
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "prefix", "kind", "timeout_ms", "target_latency_ms", "max_attempts", "priority", "service"},
			"rows":    [][]any{{"route", hostName, routePrefix, r.kind, r.timeout.Milliseconds(), r.aim.Milliseconds(), 2, 1, r.service}},
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": [][]any{{r.service, healthPath, 130}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
	d.record.add("the operator writes a configuration")
}

// addServers starts servers of a service, spread over the zones.
func (d *deployment) addServers(service string, n int, work time.Duration) error {
	for i := range n {
		s, err := newServer(d, fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], work)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	return nil
}

// hostProcess is one host and its process.
type hostProcess struct {
	d        *deployment
	name     string
	ip       netip.Addr
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
	// inRotation is whether the balancer gives new connections to the host.
	inRotation atomic.Bool
}

// startHosts starts a host in each zone, and the balancer.
func (d *deployment) startHosts() error {
	var seeds []string
	for i, zone := range zones {
		ip, err := loopback.IP()
		if err != nil {
			return err
		}
		h := &hostProcess{d: d, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip, settings: filepath.Join(d.dir, zone+".json")}
		seeds = append(seeds, h.listen(controlPort))
		d.hosts = append(d.hosts, h)
	}
	for i, h := range d.hosts {
		if err := h.writeSettings(zones[i], seeds); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		go h.loopProbes()
	}
	return nil
}

func (h *hostProcess) listen(port uint16) string { return netip.AddrPortFrom(h.ip, port).String() }

func (h *hostProcess) writeSettings(zone string, seeds []string) error {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region"
	}
	body := mustMarshal(map[string]any{
		"node": h.name, "role": "host", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": h.ip.String(), "zone": zone, "region": "region", "zones": regions,
		"listen":         map[string]string{"front": h.listen(frontPort), "ready": h.listen(readyPort), "control": h.listen(controlPort)},
		"internal_ports": []int{firstPort, lastPort}, "seeds": seeds, "bootstrap": true, "loss_counts": false,
		"limits":    map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": int(grace.Seconds()),
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "retry_budget_slack": 64, "recovery_s": 15, "hold_max_ms": 10000, "thaw_slack_ms": 300,
		},
		"grants":   "invoke",
		"provider": map[string]any{"address": h.d.storeAt.String(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	})
	return os.WriteFile(h.settings, body, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *hostProcess) start() error {
	log, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command(h.d.binary)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONTRAY_CONFIG=" + h.settings,
		"QUIC_GO_DISABLE_GSO=true", "QUIC_GO_DISABLE_ECN=true", "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go h.wait()
	h.d.record.add("%s started", h.name)
	return nil
}

func (h *hostProcess) wait() {
	err := h.cmd.Wait()
	h.d.record.add("%s ended: %v", h.name, err)
	close(h.ended)
}

// loopProbes asks the host once a second whether it is ready, as the balancer does.
func (h *hostProcess) loopProbes() {
	probe := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	misses := maxMisses
	for {
		resp, err := probe.Get("http://" + h.listen(readyPort) + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
		}
		misses++
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		}
		if in := misses < maxMisses; h.inRotation.Swap(in) != in {
			h.d.record.add("the balancer: %s in rotation: %v", h.name, in)
		}
		select {
		case <-h.d.closed:
			return
		case <-ticker.C:
		}
	}
}

// awaitReady waits until all hosts are in rotation.
func (d *deployment) awaitReady() error {
	const tries = 200
	for range tries {
		ready := 0
		for _, h := range d.hosts {
			if h.inRotation.Load() {
				ready++
			}
		}
		if ready == len(d.hosts) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}

// signal sends a signal to the process.
func (h *hostProcess) signal(s syscall.Signal) {
	select {
	case <-h.ended:
	default:
		h.d.record.add("%s gets %v", h.name, s)
		_ = h.cmd.Process.Signal(s) // fails if the process ends at this moment
	}
}

// close ends all that was started.
func (d *deployment) close() {
	close(d.closed)
	for _, h := range d.hosts {
		if h.ended == nil {
			continue
		}
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	for _, s := range d.servers {
		s.stop()
	}
	for _, s := range d.keyed {
		_ = s.Close()
	}
	_ = d.stored.Close()
}
