package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/table"
	"citrontray.example/citrontray/internal/target"
)

// fakeReplica is a docsync.Replica that keeps the decoded settings and tables. The body of
// a table document is an ID.
type fakeReplica struct {
	mu          sync.Mutex
	docs        map[docsync.Name]docsync.Document
	subscribers []chan struct{}
	settings    *settings.Settings
	tables      map[string]*table.Table
	lastVersion int
}

func newFakeReplica() *fakeReplica {
	return &fakeReplica{docs: map[docsync.Name]docsync.Document{}, tables: map[string]*table.Table{}}
}

func (r *fakeReplica) Publish(doc docsync.Document) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.docs[doc.Name] = doc
	for _, c := range r.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	return true
}

func (r *fakeReplica) Get(name docsync.Name) (docsync.Document, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.docs[name]
	return d, ok
}

func (r *fakeReplica) Subscribe(docsync.Name) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan struct{}, 1)
	r.subscribers = append(r.subscribers, c)
	return c
}

func (r *fakeReplica) List(prefix docsync.Name) []docsync.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []docsync.Document
	for name, d := range r.docs {
		if strings.HasPrefix(string(name), string(prefix)) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(x, y docsync.Document) int { return strings.Compare(string(x.Name), string(y.Name)) })
	return out
}

// putSettings publishes new settings.
func (r *fakeReplica) putSettings(s *settings.Settings) {
	r.mu.Lock()
	r.settings = s
	r.lastVersion++
	v := docsync.Version{Major: uint64(r.lastVersion)}
	r.mu.Unlock()
	r.Publish(docsync.Document{Name: docsync.Settings, Version: v})
}

// putTable publishes a new routing table.
func (r *fakeReplica) putTable(t *table.Table) {
	r.mu.Lock()
	r.lastVersion++
	id := fmt.Sprint(r.lastVersion)
	r.tables[id] = t
	v := docsync.Version{Major: uint64(r.lastVersion)}
	r.mu.Unlock()
	name := docsync.TablePrefix + docsync.Name(string(t.Service)+"/"+string(t.Zone))
	r.Publish(docsync.Document{Name: name, Version: v, Body: []byte(id)})
}

func (r *fakeReplica) decodeSettings([]byte) (*settings.Settings, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settings, nil
}

func (r *fakeReplica) decodeTable(body []byte) (table.Table, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.tables[string(body)], nil
}

// The services of the fixture, the credentials of its callers, and the body limit of its
// services in bytes.
const (
	balance          key.Service = "balance"
	plan             key.Service = "plan"
	clerkCredential              = "clerk-credential"
	officeCredential             = "office-credential"
	maxBodyBytes                 = 1000
)

// testSettings returns settings with an idempotent route to balance and one to plan that
// is not.
func testSettings() *settings.Settings {
	callers := []settings.Caller{"clerk", "office"}
	return &settings.Settings{
		Services: []settings.Service{
			{Name: balance, Shards: 4, Slots: 3, Connections: 60, BodyBytes: maxBodyBytes},
			{Name: plan, Shards: 4, Slots: 3, Connections: 60, BodyBytes: maxBodyBytes},
		},
		Routes: []settings.Route{
			{Name: "look", Service: balance, Callers: callers, Methods: []string{"GET"}, Path: "/balance/{key}", KeySource: settings.KeyInPath, Class: settings.Interactive, Idempotent: true, Timeout: 20 * time.Second},
			{Name: "plan", Service: plan, Callers: callers, Methods: []string{"POST"}, Path: "/plan/{key}", KeySource: settings.KeyInPath, Class: settings.Registering, Timeout: 20 * time.Second},
		},
		Callers: []settings.CallerRow{
			{Name: "clerk", Tenant: "agency", CredentialHash: sha256.Sum256([]byte(clerkCredential))},
			{Name: "office", Tenant: "agency", CredentialHash: sha256.Sum256([]byte(officeCredential))},
		},
	}
}

// testTable returns a table in which one target owns all shards of a service.
func testTable(name key.Service, addr netip.AddrPort) *table.Table {
	t := &table.Table{
		Service: name, Zone: "zone-a", Shards: 4,
		Targets: []table.Target{{Name: place.Target("target-" + addr.String()), Addr: addr}},
	}
	for s := range key.Shard(4) {
		t.Rows = append(t.Rows, table.Row{Shard: s, Epoch: 7, Owner: 0})
	}
	return t
}

// fixture is an entry behind an HTTP server, with a replica that the test controls.
type fixture struct {
	*testing.T
	replica *fakeReplica
	entry   *entry.Entry
	server  *httptest.Server
}

func newFixture(t *testing.T, change func(*entry.Config)) *fixture {
	t.Helper()
	r := newFakeReplica()
	r.putSettings(testSettings())
	cfg := entry.Config{
		Replica: r, DecodeSettings: r.decodeSettings, DecodeTable: r.decodeTable,
		Log: logging.Nop(), Registry: metric.New("test"), Hosts: 1, Queue: queue.DefaultConfig(),
		ParkTimeout: time.Second, MaxParked: 100, BodyMemory: 1 << 20, TickInterval: time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	f := &fixture{T: t, replica: r, entry: entry.New(cfg)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.entry.Run(ctx)
	}()
	f.server = httptest.NewServer(f.entry)
	t.Cleanup(func() {
		f.server.Close()
		cancel()
		<-done
		f.entry.Close()
	})
	return f
}

// setOwner makes a target the owner of all shards of both services.
func (f *fixture) setOwner(addr netip.AddrPort) {
	f.replica.putTable(testTable(balance, addr))
	f.replica.putTable(testTable(plan, addr))
}

// response is the response to a caller.
type response struct {
	status  int
	outcome outcome.Outcome
	reason  outcome.Reason
	header  http.Header
	body    string
}

// call sends one request of the caller clerk, with pairs of header names and values.
func (f *fixture) call(method, path, body string, header ...string) response {
	f.Helper()
	req, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	assert.NilError(f, err)
	return f.send(req, header...)
}

func (f *fixture) send(req *http.Request, header ...string) response {
	f.Helper()
	req.Header.Set("Authorization", "Bearer "+clerkCredential)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(f, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(f, err)
	return response{
		status: resp.StatusCode, header: resp.Header, body: string(text),
		outcome: outcome.Outcome(resp.Header.Get(outcome.Header)),
		reason:  outcome.Reason(resp.Header.Get(outcome.HeaderReason)),
	}
}

// fakeTarget is a target whose responses a test controls.
type fakeTarget struct {
	listener net.Listener
	respond  func(c net.Conn, r *http.Request, id string) bool

	mu   sync.Mutex
	runs map[string]int // by method, path and body
	ids  map[string]int // runs by request ID
}

// newFakeTarget starts a target. handler handles one request and reports whether the
// connection stays open. If it is nil, the target sends complete responses.
func newFakeTarget(t *testing.T, handler func(net.Conn, *http.Request, string) bool) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{listener: l, respond: handler, runs: map[string]int{}, ids: map[string]int{}}
	t.Cleanup(func() { _ = l.Close() })
	go f.acceptLoop()
	return f
}

func (f *fakeTarget) addr() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (f *fakeTarget) acceptLoop() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serveConn(c)
	}
}

func (f *fakeTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(target.HeaderRequest)
		f.count(r.Method+" "+r.URL.Path+" "+string(body), id)
		if f.respond == nil {
			writeResponse(c, id, "ran "+r.URL.Path+" "+string(body))
			continue
		}
		if !f.respond(c, r, id) {
			return
		}
	}
}

func (f *fakeTarget) count(request, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[request]++
	f.ids[id]++
}

func (f *fakeTarget) totalRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.ids {
		n += c
	}
	return n
}

// writeResponse writes a complete response.
func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", target.HeaderRequest, id, len(body), body)
}

// writeRefusal writes a refusal, which guarantees that the request did not run.
func writeRefusal(c net.Conn, id string, reason target.Refusal) {
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		target.HeaderRequest, id, target.HeaderNotRun, reason)
}

type entryConfig = entry.Config
