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
	frontPort   = 8548
	readyPort   = 8542
	controlPort = 8544
	firstPort   = 7540
	lastPort    = 7555
	hostName    = "review.example"
)

// zones are the zones of the deployment, one host in each.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small deployment: a store, servers and hosts.
type deployment struct {
	record  *record
	binary  string
	dir     string
	store   *fake.SessionStore
	stored  *http.Server
	storeAt netip.AddrPort
	servers []*server
	hosts   []*hostProcess

	// onWork, where set, does the work of a request; it reports whether the request is
	// answered. onHeader, where set, changes the header of an answer.
	onWork   func(s *server, id string, r *http.Request) bool
	onHeader func(s *server, h http.Header)

	mu sync.Mutex
	// runs are the runs by request.
	runs map[string][]ranAt
}

// ranAt is one run of a request.
type ranAt struct {
	server string
	key    int
	at     time.Time
}

func newDeployment(r *record, binary, dir string) (*deployment, error) {
	d := &deployment{record: r, binary: binary, dir: dir, store: fake.NewSessionStore(), runs: make(map[string][]ranAt)}
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

// writeEntry writes the entry of a server.
func (d *deployment) writeEntry(id string, entry map[string]any) {
	d.store.Set(entryPath(id), mustMarshal(entry))
}

func mustMarshal(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen with our own types
	}
	return body
}

// ran records a run.
func (d *deployment) ran(s *server, id string, k int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id] = append(d.runs[id], ranAt{s.id, k, time.Now()})
}

func (d *deployment) runWork(s *server, id string, r *http.Request) bool {
	if d.onWork != nil {
		return d.onWork(s, id, r)
	}
	time.Sleep(s.work)
	return true
}

func (d *deployment) extendHeader(s *server, h http.Header) {
	if d.onHeader != nil {
		d.onHeader(s, h)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, maxAttempts      int
}

// publish writes the configuration.
func (d *deployment) publish(version int, routes []route, services [][]any) {
	rows := make([][]any, 0, len(routes))
	for _, r := range routes {
		rows = append(rows, []any{r.name, hostName, r.prefix, r.kind, r.timeoutMS, r.timeoutMS / 3, r.maxAttempts, 1, r.service})
	}
	d.store.Set("op/config", mustMarshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "prefix", "kind", "timeout_ms", "target_latency_ms", "max_attempts", "priority", "service"}, "rows": rows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "sharded", "warm_s"}, "rows": services},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 8000},
	}))
	d.record.add("the operator writes configuration %d", version)
}

// addServers starts servers of a service, spread over the zones.
func (d *deployment) addServers(service string, n int, sharded bool) error {
	for i := range n {
		s, err := newServer(d, fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], sharded)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	return nil
}

// hostProcess is one host and its present process.
type hostProcess struct {
	d        *deployment
	name     string
	ip       netip.Addr
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// startHosts starts a host in each zone.
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
		if err := h.writeSettings(zones[i], seeds, true); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		// All starts after the first one find settings without bootstrap.
		if err := h.writeSettings(zones[i], seeds, i < 0); err != nil {
			return err
		}
	}
	return nil
}

func (h *hostProcess) listen(port uint16) string { return netip.AddrPortFrom(h.ip, port).String() }

func (h *hostProcess) writeSettings(zone string, seeds []string, bootstrap bool) error {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region"
	}
	body := mustMarshal(map[string]any{
		"node": h.name, "role": "host", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": h.ip.String(), "zone": zone, "region": "region", "zones": regions,
		"listen":         map[string]string{"front": h.listen(frontPort), "ready": h.listen(readyPort), "control": h.listen(controlPort)},
		"internal_ports": []int{firstPort, lastPort}, "seeds": seeds, "bootstrap": bootstrap, "loss_counts": false,
		"limits":    map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "own", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "retry_budget_slack": 64, "recovery_s": 15, "hold_max_ms": 10000, "thaw_slack_ms": 300,
		},
		"grants":   "invoke",
		"provider": map[string]any{"address": h.d.storeAt.String(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	})
	return os.WriteFile(h.settings, body, 0o600)
}

// start starts the process with the command of the deploy file. It waits until the process
// has read its settings.
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
	go h.wait(h.cmd, h.ended)
	h.d.record.add("%s started", h.name)
	return h.awaitListening()
}

// awaitListening waits until the process listens, which is after it has read its settings.
func (h *hostProcess) awaitListening() error {
	for range 100 {
		c, err := net.DialTimeout("tcp4", h.listen(readyPort), time.Second)
		if err == nil {
			return c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

func (h *hostProcess) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	h.d.record.add("%s ended: %v", h.name, err)
	close(ended)
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
	for _, h := range d.hosts {
		if h.cmd == nil || h.ended == nil {
			continue
		}
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	for _, s := range d.servers {
		select {
		case <-s.stopped:
		default:
			s.stop()
		}
	}
	_ = d.stored.Close()
}
