package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/loopback"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// serverSlots is how many requests a server runs at once, serverQueue how many wait.
	serverSlots = 3
	serverQueue = 12
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 870 * time.Millisecond
	// idleClose is how long a server keeps an idle connection.
	idleClose = 10 * time.Second
)

// server is a sound server of a service that is not divided by key.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	work    time.Duration
	addr    string
	born    int64
	http    *http.Server
	slots   chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	sequence int
	waiting  int
}

// newServer starts a server and writes its entry.
func newServer(d *deployment, id, service, zone string, work time.Duration) (*server, error) {
	addr, err := loopback.Addr()
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: id, service: service, zone: zone, work: work, addr: addr.String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, serverSlots), stopped: make(chan struct{}),
	}
	l, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: idleClose, ReadHeaderTimeout: idleClose}
	go s.runHTTP(l)
	go s.loopHeartbeat()
	return s, nil
}

func (s *server) runHTTP(l net.Listener) { _ = s.http.Serve(l) }

// loopHeartbeat writes the server's entry until it stops.
func (s *server) loopHeartbeat() {
	for {
		s.writeEntry()
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) writeEntry() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"address": s.addr, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": serverSlots},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "warmup_left_ms": 0},
	}
	s.mu.Unlock()
	s.d.store.Set(platform.Path("servers/"+s.id), mustMarshal(entry))
}

// stop ends the server.
func (s *server) stop() {
	close(s.stopped)
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Citrontray-Instance-Id", s.id)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleClose.Seconds())))
	expect := r.Header.Get("X-Citrontray-Expect-Instance")
	switch {
	case expect != "" && expect != s.id:
		s.refuse(w, r, http.StatusMisdirectedRequest)
	case r.URL.Path == healthPath:
		w.WriteHeader(http.StatusOK)
	default:
		s.serveRequest(w, r)
	}
}

// refuse answers a request that does not run.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Citrontray-Request-Id", r.Header.Get("X-Citrontray-Request-Id"))
	w.Header().Set("X-Citrontray-Not-Executed", "1")
	w.WriteHeader(status)
}

// serveRequest runs a request. One whose connection closes is dropped.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Citrontray-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.enter() {
		s.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.d.record.add("%s gets %s", s.id, id)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	done := s.d.runs.begin(id)
	s.d.record.add("%s runs %s", s.id, id)
	defer done()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.d.record.add("%s drops %s, its connection has closed", s.id, id)
		return
	}
	w.Header().Set("X-Citrontray-Request-Id", id)
	w.Header().Set("X-Citrontray-Response-Stamp", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s %s", s.id, id)
}

// enter admits a request to the queue, unless that is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= serverSlots+serverQueue {
		return false
	}
	s.waiting++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// runLog holds from when to when servers were at work on requests, by request. It is safe for
// concurrent use.
type runLog struct {
	mu   sync.Mutex
	runs map[string]interval
}

// interval is a time from start to end; end is zero while it lasts.
type interval struct{ start, end time.Time }

// begin records that a server begins to work on a request. The returned function records the
// end of that work.
func (l *runLog) begin(id string) (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := time.Now()
	l.runs[id] = interval{start: start}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs[id] = interval{start, time.Now()}
	}
}

// workedAt reports whether a server was at work on a request at a time.
func (l *runLog) workedAt(id string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.runs[id]
	return ok && run.start.Before(at) && (run.end.IsZero() || run.end.After(at))
}
