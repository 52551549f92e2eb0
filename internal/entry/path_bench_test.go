package entry_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/target"
)

// newEchoTarget starts a target that responds immediately, at little cost.
func newEchoTarget(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[target.HeaderRequest] = r.Header[target.HeaderRequest]
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l
}

// BenchmarkPath compares requests through an entry with requests directly to the target,
// by one caller without concurrency.
func BenchmarkPath(b *testing.B) {
	f := newBenchFixture(b)
	direct := fmt.Sprintf("http://%s/balance/k", f.target)
	b.Run("direct", func(b *testing.B) { runPath(b, direct) })
	b.Run("entry", func(b *testing.B) { runPath(b, f.url+"/balance/k") })
}

// BenchmarkHandler measures the entry's handler without an HTTP server and a caller.
func BenchmarkHandler(b *testing.B) {
	f := newBenchFixture(b)
	req, err := http.NewRequest(http.MethodGet, "/balance/k", nil)
	assert.NilError(b, err)
	req.RequestURI = "/balance/k"
	credential := []string{"Bearer " + clerkCredential}
	b.ReportAllocs()
	for b.Loop() {
		req.Header["Authorization"] = credential // the handler removes it
		w := httptest.NewRecorder()
		f.entry.ServeHTTP(w, req)
		if w.Code != http.StatusOK {
			b.Fatal(w.Body.String())
		}
	}
}

type benchFixture struct {
	entry  *entry.Entry
	url    string
	target string
}

func newBenchFixture(b *testing.B) benchFixture {
	l := newEchoTarget(b)
	s := testSettings()
	s.Services[0].Slots = 1000
	s.Services[0].Connections = 1000
	s.Callers = append(s.Callers, settings.CallerRow{Name: "x", CredentialHash: sha256.Sum256([]byte("x"))})
	t := &fixture{replica: newFakeReplica()}
	t.replica.putSettings(s)
	t.replica.putTable(testTable(balance, l.Addr().(*net.TCPAddr).AddrPort()))
	e, url := startBenchEntry(b, t.replica)
	return benchFixture{entry: e, url: url, target: l.Addr().String()}
}

// runPath sends requests over one reused connection, with little overhead of its own that
// could hide that of the path.
func runPath(b *testing.B, url string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(b, err)
	var failed atomic.Int64
	latency := hdrhistogram.New(1, 10_000_000, 3)
	c, err := net.Dial("tcp", req.URL.Host)
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	text := []byte("GET " + req.URL.Path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + clerkCredential + "\r\n\r\n")
	b.ReportAllocs()
	cpu := cpuTime()
	for b.Loop() {
		start := time.Now()
		_, err := c.Write(text)
		assert.NilError(b, err)
		resp, err := http.ReadResponse(br, req)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			failed.Add(1)
		}
		_ = latency.RecordValue(time.Since(start).Microseconds())
	}
	assert.Equal(b, failed.Load(), int64(0))
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50_us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99_us")
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N)/1000, "cpu_us/op")
}
