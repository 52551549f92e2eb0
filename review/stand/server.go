package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	allKeys   = 65536
)

// server is a sound server of the platform.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	sharded bool
	work    time.Duration
	addr    string
	born    int64
	http    *http.Server
	slots   chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	waiting  int
	fences   [allKeys]uint64
	active   []holding
	// past are the holdings that have ended.
	past []holding
	// working are the keys of the requests that run.
	working map[int]int
	ended   *sync.Cond
}

// holding is a range of keys that a server holds from one time to another.
type holding struct {
	from, to   int
	start, end time.Time
}

// newServer starts a server and writes its entry.
func newServer(d *deployment, id, service, zone string, sharded bool) (*server, error) {
	addr, err := loopback.Addr()
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: id, service: service, zone: zone, sharded: sharded, work: 30 * time.Millisecond, addr: addr.String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, serverSlots), stopped: make(chan struct{}), state: "ready", working: make(map[int]int),
	}
	s.ended = sync.NewCond(&s.mu)
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
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "warmup_left_ms": 0},
	}
	s.mu.Unlock()
	s.d.writeEntry(s.id, entry)
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
	if expect := r.Header.Get("X-Citrontray-Expect-Instance"); expect != "" && expect != s.id {
		s.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant":
		s.serveGrant(w, r)
	case "/release":
		s.serveRelease(w, r)
	case "/healthz":
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

type order struct {
	From     int    `json:"from"`
	To       int    `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldMS   int64  `json:"hold_ms"`
	Handover string `json:"handover"`
}

func readOrder(r *http.Request) (order, bool) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	return o, err == nil && o.From >= 0 && o.From <= o.To && o.To < allKeys
}

func (s *server) serveGrant(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	o, ok := readOrder(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if s.fences[k] > o.Fence {
			s.d.record.add("%s refuses grant %d-%d fence %d", s.id, o.From, o.To, o.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for k := o.From; k <= o.To; k++ {
		s.fences[k] = o.Fence
	}
	start, isNew := now, true
	for _, h := range s.active {
		if h.from <= o.From && h.to >= o.To && now.Before(h.end) {
			start, isNew = h.start, false
		}
	}
	s.cut(o.From, o.To, now)
	s.active = append(s.active, holding{o.From, o.To, start, now.Add(time.Duration(o.HoldMS) * time.Millisecond)})
	if isNew {
		s.d.record.add("%s takes %d-%d fence %d", s.id, o.From, o.To, o.Fence)
	}
	w.WriteHeader(http.StatusOK)
}

// cut ends the holding of a range. The caller holds mu.
func (s *server) cut(from, to int, now time.Time) {
	var next []holding
	for _, h := range s.active {
		if h.end.Before(now) {
			s.past = append(s.past, h)
			continue
		}
		if h.to < from || h.from > to {
			next = append(next, h)
			continue
		}
		if h.from < from {
			next = append(next, holding{h.from, from - 1, h.start, h.end})
		}
		if h.to > to {
			next = append(next, holding{to + 1, h.to, h.start, h.end})
		}
		s.past = append(s.past, holding{max(h.from, from), min(h.to, to), h.start, now})
	}
	s.active = next
}

func (s *server) serveRelease(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut(o.From, o.To, time.Now())
	s.d.record.add("%s releases %d-%d fence %d", s.id, o.From, o.To, o.Fence)
	for s.busy(o.From, o.To) {
		s.ended.Wait()
	}
	w.Header().Set("X-Citrontray-Handover", fmt.Sprintf("%s-%d-%d", s.id, o.From, o.Fence))
	w.WriteHeader(http.StatusOK)
}

// busy reports whether a request for a key of the range runs. The caller holds mu.
func (s *server) busy(from, to int) bool {
	for k, n := range s.working {
		if n > 0 && k >= from && k <= to {
			return true
		}
	}
	return false
}

// holds reports whether the server holds a key. The caller holds mu.
func (s *server) holds(k int, now time.Time) bool {
	for _, h := range s.active {
		if h.from <= k && k <= h.to && now.Before(h.end) {
			return true
		}
	}
	return false
}

// serveRequest runs a request.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Citrontray-Request-Id")
	k, status := s.admit(r)
	if status != 0 {
		s.refuse(w, r, status)
		return
	}
	defer s.leave(k)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.d.record.add("%s runs %s key %d", s.id, id, k)
	s.d.ran(s, id, k)
	if !s.d.runWork(s, id, r) {
		panic(http.ErrAbortHandler) // resets the connection
	}
	w.Header().Set("X-Citrontray-Request-Id", id)
	w.Header().Set("X-Citrontray-Response-Stamp", s.id+"."+id)
	s.d.extendHeader(s, w.Header())
	_, _ = fmt.Fprintf(w, "%s %s %d", s.id, id, len(body))
}

// admit admits a request to the queue. It returns the key and, if the request is refused,
// the status.
func (s *server) admit(r *http.Request) (k, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k = -1
	if s.sharded {
		var err error
		k, err = strconv.Atoi(r.Header.Get("X-Citrontray-Shard-Key"))
		if err != nil || !s.holds(k, time.Now()) {
			return k, http.StatusMisdirectedRequest
		}
	}
	if s.waiting >= serverSlots+serverQueue {
		return k, http.StatusServiceUnavailable
	}
	s.waiting++
	s.working[k]++
	return k, 0
}

func (s *server) leave(k int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if s.working[k]--; s.working[k] == 0 {
		delete(s.working, k)
	}
	s.ended.Broadcast()
}

// holdings returns all holdings until now.
func (s *server) holdings(now time.Time) []holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := append([]holding(nil), s.past...)
	for _, h := range s.active {
		if h.end.After(now) {
			h.end = now
		}
		out = append(out, h)
	}
	return out
}

func entryPath(id string) platform.Path { return platform.Path("servers/" + id) }
