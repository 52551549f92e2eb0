package cell

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// optionsOf draws the shape of a run from its seed.
func optionsOf(seed uint64) options {
	r := rand.New(rand.NewPCG(seed, 3))
	o := options{
		seed: seed, hosts: 1 + r.IntN(4), targets: 3 + r.IntN(2),
		unfenced: r.IntN(5) == 0, faultRate: 0.3 + 2*r.Float64(), storeRate: 2 * r.Float64(),
	}
	if r.IntN(6) == 0 {
		o.hold = 5 * time.Second
	}
	return o
}

func number(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}

// report is the outcome of many runs.
type report struct {
	mu     sync.Mutex
	failed []string
	total  stats
}

func (r *report) add(seed uint64, failure string, s stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure != "" {
		r.failed = append(r.failed, fmt.Sprintf("seed %d: %s", seed, failure))
	}
	r.total.moves += s.moves
	r.total.terms += s.terms
	r.total.activated += s.activated
	r.total.deputies += s.deputies
	r.total.cuts += s.cuts
	r.total.given += s.given
	r.total.unknown += s.unknown
}

// runMany plays the seeds from first on, three at a time.
func runMany(first, count int, change func(*options)) *report {
	out := &report{}
	var group errgroup.Group
	group.SetLimit(3)
	for seed := first; seed < first+count; seed++ {
		group.Go(func() error {
			o := optionsOf(uint64(seed))
			if change != nil {
				change(&o)
			}
			w := newWorld(o)
			out.add(uint64(seed), w.run(), w.stats)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// TestRandomRuns plays hosts, targets and a store under faults of all kinds.
// CELL_SEED and CELL_RUNS choose other seeds; CELL_TRACE prints one run.
func TestRandomRuns(t *testing.T) {
	count := 400
	if testing.Short() {
		count = 60
	}
	first := number("CELL_SEED", 1)
	count = number("CELL_RUNS", count)
	if os.Getenv("CELL_TRACE") != "" {
		w := newWorld(optionsOf(uint64(first)))
		failure := w.run()
		t.Logf("%+v\n%s\n%s", w.options, strings.Join(w.trace, "\n"), failure)
		assert.Equal(t, failure, "")
		return
	}
	start := time.Now()
	r := runMany(first, count, nil)
	t.Logf("seeds %d to %d in %v: %d failed, %+v", first, first+count-1, time.Since(start).Round(time.Second), len(r.failed), r.total)
	for _, f := range r.failed[:min(len(r.failed), 10)] {
		t.Error(f)
	}
}
