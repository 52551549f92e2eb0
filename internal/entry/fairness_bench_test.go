package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/outcome"
)

// openLoopCaller sends the requests of one caller at a mean rate per second that does not
// depend on the responses.
type openLoopCaller struct {
	credential, method, path string
	rate                     float64
	latency                  *hdrhistogram.Histogram
	outcomes                 map[outcome.Outcome]int
}

func newOpenLoopCaller(credential, method, path string, rate float64) *openLoopCaller {
	return &openLoopCaller{
		credential: credential, method: method, path: path, rate: rate,
		latency: hdrhistogram.New(1, 60_000_000, 3), outcomes: map[outcome.Outcome]int{},
	}
}

// run sends requests for d and waits for the responses.
func (s *openLoopCaller) run(c *cluster, d time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := rand.New(rand.NewPCG(1, uint64(len(s.path))))
	start := time.Now()
	for next := start; time.Since(start) < d; {
		next = next.Add(time.Duration(r.ExpFloat64() / s.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		url := fmt.Sprintf("%s%s%d", c.servers[r.IntN(len(c.servers))].URL, s.path, r.IntN(100_000))
		due := next
		wg.Go(func() {
			result := c.request(s.method, url, s.credential)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			s.outcomes[result]++
			if result == outcome.Done {
				_ = s.latency.RecordValue(took.Microseconds())
			}
		})
	}
	wg.Wait()
}

func (s *openLoopCaller) p99() float64 { return float64(s.latency.ValueAtQuantile(99)) / 1000 }

// BenchmarkFairness measures how bulk requests of one caller at twice the capacity affect
// the latency of another caller's lookups at a quarter of the capacity.
func BenchmarkFairness(b *testing.B) {
	c := newCluster(b, 3, clusterConfig{entry.ShareMixed, false, benchTimeout})
	capacity := benchTargets * benchSlots / benchServiceTime.Seconds()
	for range b.N {
		alone := newOpenLoopCaller(clerkCredential, http.MethodGet, "/balance/k", capacity/4)
		alone.run(c, *benchTime)
		lookups := newOpenLoopCaller(clerkCredential, http.MethodGet, "/balance/k", capacity/4)
		bulk := newOpenLoopCaller(officeCredential, http.MethodPost, "/remind/k", 2*capacity)
		var wg sync.WaitGroup
		wg.Go(func() { bulk.run(c, *benchTime) })
		lookups.run(c, *benchTime)
		wg.Wait()
		b.ReportMetric(alone.p99(), "alone_p99_ms")
		b.ReportMetric(lookups.p99(), "beside_p99_ms")
		b.ReportMetric(lookups.p99()/alone.p99(), "ratio")
		b.ReportMetric(float64(lookups.outcomes[outcome.NotRun]), "looks_notrun")
		b.ReportMetric(float64(bulk.outcomes[outcome.Done])/benchTime.Seconds(), "bulk_done_s")
		b.ReportMetric(float64(bulk.outcomes[outcome.NotRun])/benchTime.Seconds(), "bulk_notrun_s")
	}
}
