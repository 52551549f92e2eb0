package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/loopback"
	"citrontray.example/citrontray/internal/place"
	internalplatform "citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/platform"
	platformfake "citrontray.example/citrontray/platform/fake"
)

const serverSlots = 3

// server is one life of a server. Its requests and orders are served by the project's own
// stand-in.
type server struct {
	*platformfake.Server

	c       *cluster
	service string
	zone    string
	addr    netip.AddrPort
	born    int64
	http    *http.Server

	mu        sync.Mutex
	up        bool
	grantedAt time.Time
	// running counts the requests in progress by key.
	running map[key.Point]int
}

// addServer starts a server and registers it.
func (c *cluster) addServer(name, service string, i int, addr netip.AddrPort) (*server, error) {
	s, err := c.startServer(name, service, fmt.Sprintf("z%d", i%zoneCount), addr)
	if err != nil {
		return nil, err
	}
	return s, s.register("ready")
}

// ranged returns all lives of servers with keys.
func (c *cluster) ranged() []*server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.servers), func(s *server) bool { return s.service != rangedService })
}

func (s *server) String() string { return fmt.Sprintf("%s at %s", s.Name, s.addr) }

// startServer starts a server at an address, a new one if none is given. It is not registered
// yet.
func (c *cluster) startServer(name, service, zone string, addr netip.AddrPort) (*server, error) {
	if !addr.IsValid() {
		var err error
		if addr, err = loopback.Addr(); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	r := fake.NewRangeTarget(place.Target(name), addr, serverSlots, platform.HeaderNames(), c.runs)
	r.Keyless = service != rangedService
	r.SetFaults(fake.RangeTargetFaults{Work: c.work})
	r.OnRun = func(req *http.Request) {
		c.record.printf("%s at %s runs %s", name, addr, req.Header.Get(platform.HeaderNames().Request))
	}
	s := &server{Server: platformfake.NewServer(r), c: c, service: service, zone: zone, addr: addr, born: time.Now().UnixMilli(), up: true, running: make(map[key.Point]int)}
	s.OnGrant = func(span key.Range) {
		s.mu.Lock()
		s.grantedAt = time.Now()
		s.mu.Unlock()
		c.record.printf("%s at %s holds %s", name, addr, span)
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	c.record.printf("%s of %s starts at %s", name, service, addr)
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	return s, nil
}

// serve serves a request or an order. A release is answered once the work on its keys has ended.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/release" {
		point, _ := strconv.ParseUint(r.Header.Get(platform.HeaderNames().Key), 10, 16)
		s.count(key.Point(point), 1)
		defer s.count(key.Point(point), -1)
		s.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		From key.Point `json:"from"`
		To   key.Point `json:"to"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	released := httptest.NewRecorder()
	s.ServeHTTP(released, r)
	for s.works(in.From, in.To) {
		time.Sleep(time.Millisecond)
	}
	maps.Copy(w.Header(), released.Header())
	w.WriteHeader(released.Code)
}

func (s *server) count(p key.Point, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[p] += n; s.running[p] == 0 {
		delete(s.running, p)
	}
}

// works reports whether the server works on a request for a key of a range.
func (s *server) works(first, last key.Point) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.running {
		if first <= p && p <= last {
			return true
		}
	}
	return false
}

// register writes the server's entry to the store.
func (s *server) register(state string) error {
	body, err := json.Marshal(map[string]any{
		"address": s.addr.String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "1", "zone": s.zone, "slots": serverSlots},
		"status": map[string]any{"state": state, "sequence": 1, "warmup_left_ms": 0},
	})
	if err != nil {
		return err
	}
	s.c.store.Set(internalplatform.Path("servers/"+string(s.Name)), body)
	s.c.record.printf("%s at %s is %s in the store", s.Name, s.addr, state)
	return nil
}

// crash ends the server: it holds nothing any more, and its connections are closed.
func (s *server) crash() {
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	_ = s.http.Close()
	s.c.record.printf("%s at %s has ended", s.Name, s.addr)
}

// leave ends a server that has drained.
func (s *server) leave() {
	s.c.store.Remove(internalplatform.Path("servers/" + string(s.Name)))
	s.crash()
}

// holdsNow reports whether the server is up and holds a point.
func (s *server) holdsNow(now time.Time, p key.Point) bool {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	return up && s.Holds(now, p)
}

// lastGrant returns when the server last took a grant.
func (s *server) lastGrant() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantedAt
}
