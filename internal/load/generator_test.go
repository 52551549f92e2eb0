package load_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/load"
	"citrontray.example/citrontray/internal/preset"
)

// fakeEntry is a fake entry host whose responses come from the respond function.
type fakeEntry struct {
	mu      sync.Mutex
	runs    map[string]uint32
	respond func(w http.ResponseWriter, uri string, payload []byte, run func())
}

// ServeHTTP implements http.Handler.
func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		return
	}
	payload, _ := io.ReadAll(r.Body)
	e.respond(w, r.URL.RequestURI(), payload, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.runs[r.URL.Query().Get(fake.OperationParameter)]++
	})
}

func (e *fakeEntry) runsOf(operations []string) ([]uint32, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]uint32, len(operations))
	for i, operation := range operations {
		out[i] = e.runs[operation]
	}
	return out, nil
}

func writeDone(w http.ResponseWriter, uri string, payload []byte) {
	w.Header().Set("Citrontray-Outcome", "done")
	w.Write(fake.ResponseBody(uri, payload, 0))
}

func TestGeneratorChecksResponses(t *testing.T) {
	tests := map[string]struct {
		handle func(w http.ResponseWriter, uri string, payload []byte, run func())
		want   func(s load.Summary) bool
	}{
		"done": {func(w http.ResponseWriter, uri string, payload []byte, run func()) {
			run()
			writeDone(w, uri, payload)
		}, func(s load.Summary) bool { return s.Done == s.Requests && s.FalseDone == 0 }},
		"done without a run": {func(w http.ResponseWriter, uri string, payload []byte, _ func()) {
			writeDone(w, uri, payload)
		}, func(s load.Summary) bool { return s.FalseDone == s.Requests }},
		"another request's response": {func(w http.ResponseWriter, _ string, payload []byte, run func()) {
			run()
			writeDone(w, "/balance/other", payload)
		}, func(s load.Summary) bool { return s.Wrong == s.Requests }},
		"not run": {func(w http.ResponseWriter, _ string, _ []byte, _ func()) {
			w.Header().Set("Citrontray-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(s load.Summary) bool { return s.NotRun == s.Requests && s.FalseNotRun == 0 }},
		"not run, but it ran": {func(w http.ResponseWriter, _ string, _ []byte, run func()) {
			run()
			w.Header().Set("Citrontray-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(s load.Summary) bool { return s.FalseNotRun == s.Requests }},
		"unknown": {func(w http.ResponseWriter, _ string, _ []byte, _ func()) {
			w.Header().Set("Citrontray-Outcome", "unknown")
			w.WriteHeader(http.StatusBadGateway)
		}, func(s load.Summary) bool { return s.Unknown == s.Requests }},
		"no outcome": {func(w http.ResponseWriter, _ string, _ []byte, _ func()) {
			w.WriteHeader(http.StatusBadGateway)
		}, func(s load.Summary) bool { return s.Lost == s.Requests }},
		"connection broken off": {func(http.ResponseWriter, string, []byte, func()) {
			panic(http.ErrAbortHandler)
		}, func(s load.Summary) bool { return s.Lost == s.Requests }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			entry := &fakeEntry{runs: make(map[string]uint32), respond: tt.handle}
			server := httptest.NewServer(entry)
			defer server.Close()
			addr := netip.MustParseAddrPort(server.Listener.Addr().String())
			balancer := load.NewBalancer([]load.EntryHost{{Callers: addr, Admin: addr}})
			assert.Equal(t, balancer.Refresh(context.Background()), 1)

			g := load.NewGenerator(agencyPlan(t, 0.01), balancer, "t", 1)
			runUntil(t, g, 10)
			summary, err := g.Result().Summarize(time.Now(), entry.runsOf)
			assert.NilError(t, err)
			assert.Assert(t, summary.Requests > 0)
			assert.Assert(t, tt.want(summary), "%+v", summary.Counts)
		})
	}
}

// TestProbesAreSeparateCalls guards against probes that share one operation ID: the first
// was refused, the second ran, and the refusal was counted as false. Without the race
// detector this only shows on a machine short of CPU.
func TestProbesAreSeparateCalls(t *testing.T) {
	entry := &fakeEntry{runs: make(map[string]uint32)}
	entry.respond = func(w http.ResponseWriter, _ string, _ []byte, run func()) {
		run()
		time.Sleep(2 * time.Second / 5) // the next probe starts meanwhile
		w.Header().Set("Citrontray-Outcome", "unknown")
		w.WriteHeader(http.StatusBadGateway)
	}
	server := httptest.NewServer(entry)
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	balancer := load.NewBalancer([]load.EntryHost{{Callers: addr, Admin: addr}})
	balancer.Refresh(context.Background())
	runUntil(t, load.NewGenerator(agencyPlan(t, 0.002), balancer, "t", 1), 200)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	for operation, runs := range entry.runs {
		assert.Equal(t, runs, uint32(1), "operation %s", operation)
	}
}

// runUntil runs the generator until the given number of calls has ended, without a
// timeout, as a busy machine may take long.
func runUntil(t *testing.T, g *load.Generator, requests uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	for g.Result().Counts().Requests < requests {
		time.Sleep(time.Millisecond)
	}
	cancel()
	assert.NilError(t, <-ended)
}

func agencyPlan(t *testing.T, fraction float64) load.Plan {
	t.Helper()
	p, err := preset.Get(preset.Agency)
	assert.NilError(t, err)
	s, err := p.Settings()
	assert.NilError(t, err)
	return load.NewPlan(p, s, fraction, 1)
}

func TestPlanCoversThePresets(t *testing.T) {
	for _, name := range preset.All() {
		t.Run(string(name), func(t *testing.T) {
			p, err := preset.Get(name)
			assert.NilError(t, err)
			s, err := p.Settings()
			assert.NilError(t, err)
			plan := load.NewPlan(p, s, 0.5, 2)
			rate := make(map[key.Service]float64)
			for _, stream := range plan.Streams {
				rate[stream.Service] += stream.PerSecond
			}
			for _, group := range load.TargetGroups(p, s, 2) {
				capacity := float64(group.Count*group.Slots) / group.MeanWork.Seconds()
				assert.Assert(t, rate[group.Service] > 0.49*capacity && rate[group.Service] < 0.51*capacity, "%s", group.Service)
				assert.Assert(t, group.Slots == 3 && group.Connections >= 110, "%s", group.Service)
			}
		})
	}
}
