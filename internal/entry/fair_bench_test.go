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

// stream is the requests of one caller at a rate, whatever comes back.
type stream struct {
	credential, method, path string
	rate                     float64
	latency                  *hdrhistogram.Histogram
	ends                     map[outcome.Outcome]int
}

func newStream(credential, method, path string, rate float64) *stream {
	return &stream{
		credential: credential, method: method, path: path, rate: rate,
		latency: hdrhistogram.New(1, 60_000_000, 3), ends: map[outcome.Outcome]int{},
	}
}

// run sends for d and waits for the answers.
func (s *stream) run(c *cluster, d time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := rand.New(rand.NewPCG(1, uint64(len(s.path))))
	start := time.Now()
	for next := start; time.Since(start) < d; {
		next = next.Add(time.Duration(r.ExpFloat64() / s.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		url := fmt.Sprintf("%s%s%d", c.servers[r.IntN(len(c.servers))].URL, s.path, r.IntN(100_000))
		at := next
		wg.Go(func() {
			end := c.ask(s.method, url, s.credential)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			s.ends[end]++
			if end == outcome.Done {
				_ = s.latency.RecordValue(took.Microseconds())
			}
		})
	}
	wg.Wait()
}

func (s *stream) p99() float64 { return float64(s.latency.ValueAtQuantile(99)) / 1000 }

// BenchmarkFair measures what a reminder run of one caller at twice the
// capacity does to the look-ups of another at a quarter of it.
func BenchmarkFair(b *testing.B) {
	c := newCluster(b, 3, way{entry.ShareMixed, false, benchTimeout})
	capacity := benchTargets * benchSlots / benchWork.Seconds()
	for range b.N {
		alone := newStream(clerk, http.MethodGet, "/balance/k", capacity/4)
		alone.run(c, *benchTime)
		look := newStream(clerk, http.MethodGet, "/balance/k", capacity/4)
		bulk := newStream(office, http.MethodPost, "/remind/k", 2*capacity)
		var wg sync.WaitGroup
		wg.Go(func() { bulk.run(c, *benchTime) })
		look.run(c, *benchTime)
		wg.Wait()
		b.ReportMetric(alone.p99(), "alone_p99_ms")
		b.ReportMetric(look.p99(), "beside_p99_ms")
		b.ReportMetric(look.p99()/alone.p99(), "ratio")
		b.ReportMetric(float64(look.ends[outcome.NotRun]), "looks_notrun")
		b.ReportMetric(float64(bulk.ends[outcome.Done])/benchTime.Seconds(), "bulk_done_s")
		b.ReportMetric(float64(bulk.ends[outcome.NotRun])/benchTime.Seconds(), "bulk_notrun_s")
	}
}
