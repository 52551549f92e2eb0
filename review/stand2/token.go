package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/loopback"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	internalplatform "citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/platform"
	platformfake "citrontray.example/citrontray/platform/fake"
)

const (
	keyedService = "span"
	// lastTerm is the term of the leader that was lost, tokensPerTerm the number of fencing
	// tokens between two terms.
	lastTerm      = 7
	tokensPerTerm = 1 << 20
	// usedTokens is how many tokens that leader has used beyond those of its term.
	usedTokens = 20_000
	grantHold  = 2500 * time.Millisecond
)

// tokenLedger holds the highest fencing token with which each server has taken each key. It is
// safe for concurrent use.
type tokenLedger struct {
	mu     sync.Mutex
	tokens map[string]*[key.Points]uint64
}

// lower returns a key of a grant that another server has had with a higher token, the server and
// that token; an empty name if there is none. It records the grant.
func (l *tokenLedger) lower(server string, g grantOrder) (other string, k int, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, tokens := range l.tokens {
		for p := g.From; name != server && p <= g.To; p++ {
			if tokens[p] >= g.Fence {
				other, k, token = name, p, tokens[p]
			}
		}
	}
	own := l.tokens[server]
	if own == nil {
		own = new([key.Points]uint64)
		l.tokens[server] = own
	}
	for p := g.From; p <= g.To; p++ {
		own[p] = max(own[p], g.Fence)
	}
	return other, k, token
}

type grantOrder struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Fence  uint64 `json:"fence"`
	HoldMS int64  `json:"hold_ms"`
}

// keyedServer is the project's own stand-in of a server that holds keys. It records the grants
// that the stand-in accepts.
type keyedServer struct {
	*platformfake.Server

	d      *deployment
	zone   string
	born   int64
	ledger *tokenLedger
	broken *brokenFlag
}

// brokenFlag is set once a rule was broken. It is safe for concurrent use.
type brokenFlag struct {
	mu  sync.Mutex
	set bool
}

func (b *brokenFlag) raise() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set = true
}

func (b *brokenFlag) raised() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter

	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *keyedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/grant" {
		s.Server.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var g grantOrder
	if err := json.Unmarshal(body, &g); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	sw := &statusWriter{w, http.StatusOK}
	s.Server.ServeHTTP(sw, r)
	name := string(s.Name)
	s.d.record.add("%s answers %d to a grant of %d-%d with token %d", name, sw.status, g.From, g.To, g.Fence)
	if sw.status != http.StatusOK {
		return
	}
	if other, k, token := s.ledger.lower(name, g); other != "" {
		s.broken.raise()
		s.d.record.add("BROKEN: %s takes key %d with token %d, %s had it with token %d", name, k, g.Fence, other, token)
	}
}

// tokenSpace plays the loss of a leader that has used more fencing tokens than its term has. The
// loss itself is not played: the servers and the store begin with what that leader left. Without
// trouble the leader has used fewer tokens.
func tokenSpace(d *deployment, trouble bool) (bool, error) {
	const servers, length = 6, 70 * time.Second
	ledger, broken := &tokenLedger{tokens: make(map[string]*[key.Points]uint64)}, &brokenFlag{}
	d.publishKeyed()
	doc := owner.Doc{Service: keyedService, Term: lastTerm, Leader: "edge-zone-a-9", LeaderIncarnation: 1, WriteID: 1}
	first := uint64(lastTerm*tokensPerTerm + usedTokens)
	if trouble {
		first += tokensPerTerm
	}
	for i := range servers {
		s, err := d.startKeyed(fmt.Sprintf("i-span-%d", i), zones[i%len(zones)], ledger, broken)
		if err != nil {
			return false, err
		}
		span := key.Range{First: key.Point(i * key.Points / servers), Last: key.Point((i+1)*key.Points/servers - 1)}
		doc.Rows = append(doc.Rows, owner.Row{Range: span, Target: s.Name, Incarnation: place.Incarnation(s.born), Addr: s.Addr})
		g := grantOrder{int(span.First), int(span.Last), first + uint64(i), grantHold.Milliseconds()}
		resp, err := http.Post("http://"+s.Addr.String()+"/grant", "application/json", bytes.NewReader(mustMarshal(g)))
		if err != nil {
			return false, err
		}
		_ = resp.Body.Close()
	}
	value, err := doc.Encode()
	if err != nil {
		return false, err
	}
	d.store.Set("citrontray/ranges/"+keyedService, value)
	d.record.add("the leader of term %d is lost", lastTerm)
	time.Sleep(grantHold)
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(length)
	return broken.raised(), nil
}

// publishKeyed writes a configuration with a service that is divided by key.
func (d *deployment) publishKeyed() {
	d.store.Set("op/config", mustMarshal(map[string]any{
		"version": "00000003",
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "prefix", "kind", "timeout_ms", "target_latency_ms", "max_attempts", "priority", "service"},
			"rows":    [][]any{{"route", hostName, "/keys/", "safe", 1200, 300, 2, 1, keyedService}},
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "sharded", "warm_s"}, "rows": [][]any{{keyedService, healthPath, 130, true, 2}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
}

// startKeyed starts a server that holds keys and writes its entry.
func (d *deployment) startKeyed(id, zone string, ledger *tokenLedger, broken *brokenFlag) (*keyedServer, error) {
	addr, err := loopback.Addr()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	t := fake.NewRangeTarget(place.Target(id), addr, serverSlots, platform.HeaderNames(), fake.NewRunCounter())
	s := &keyedServer{platformfake.NewServer(t), d, zone, time.Now().UnixMilli(), ledger, broken}
	h := &http.Server{Handler: s, IdleTimeout: idleClose, ReadHeaderTimeout: idleClose}
	d.keyed = append(d.keyed, h)
	go s.run(h, l)
	s.writeEntry(0)
	go s.loopHeartbeat()
	return s, nil
}

// loopHeartbeat writes the server's entry until the deployment is closed.
func (s *keyedServer) loopHeartbeat() {
	for sequence := 1; ; sequence++ {
		select {
		case <-s.d.closed:
			return
		case <-time.After(heartbeat):
			s.writeEntry(sequence)
		}
	}
}

func (s *keyedServer) writeEntry(sequence int) {
	s.d.store.Set(internalplatform.Path("servers/"+string(s.Name)), mustMarshal(map[string]any{
		"address": s.Addr.String(), "born": s.born,
		"info":   map[string]any{"service": keyedService, "version": "v1", "zone": s.zone, "slots": serverSlots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "warmup_left_ms": 0},
	}))
}

func (s *keyedServer) run(h *http.Server, l net.Listener) { _ = h.Serve(l) }
