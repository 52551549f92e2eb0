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

// randomOptions returns the options of a run, drawn from its seed.
func randomOptions(seed uint64) options {
	r := rand.New(rand.NewPCG(seed, 3))
	o := options{
		seed: seed, hosts: 1 + r.IntN(6), targets: 3 + r.IntN(3), noTermCheck: r.IntN(5) == 0,
		faultRate: 0.2 + 1.5*r.Float64(), storeRate: 1.5 * r.Float64(), linkRate: r.Float64(),
	}
	o.hideTerms = o.noTermCheck && r.IntN(2) == 0
	if r.IntN(6) == 0 {
		o.renewLimit = 5 * time.Second
	}
	return o
}

func envInt(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

// stats counts the events of a run, to show what it covered. samples counts the shards
// in custody ten times a second, served those of them that a running target held.
type stats struct {
	moves, terms, activated, deputies, splits, ceded, uncertain, declared, rosterChanges, merges, evicted int
	served, samples                                                                                       int
}

func (s *stats) add(o stats) {
	s.moves += o.moves
	s.terms += o.terms
	s.activated += o.activated
	s.deputies += o.deputies
	s.splits += o.splits
	s.ceded += o.ceded
	s.uncertain += o.uncertain
	s.declared += o.declared
	s.rosterChanges += o.rosterChanges
	s.merges += o.merges
	s.evicted += o.evicted
	s.served += o.served
	s.samples += o.samples
}

// runReport is the result of many runs.
type runReport struct {
	mu     sync.Mutex
	failed []string
	total  stats
}

func (r *runReport) add(seed uint64, failure string, s stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failure != "" {
		r.failed = append(r.failed, fmt.Sprintf("seed %d: %s", seed, failure))
	}
	r.total.add(s)
}

// runSeeds runs count seeds from first on, three at a time.
func runSeeds(first, count int, change func(*options)) *runReport {
	out := &runReport{}
	var group errgroup.Group
	group.SetLimit(3)
	for seed := first; seed < first+count; seed++ {
		group.Go(func() error {
			o := randomOptions(uint64(seed))
			if change != nil {
				change(&o)
			}
			w := newSim(o)
			out.add(uint64(seed), w.run(), w.stats)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// TestRandomRuns simulates hosts, targets and a store with faults of all kinds.
// CELL_SEED and CELL_RUNS choose other seeds. CELL_TRACE prints the trace of one run.
func TestRandomRuns(t *testing.T) {
	count := 800
	if testing.Short() {
		count = 60
	}
	first := envInt("CELL_SEED", 1)
	count = envInt("CELL_RUNS", count)
	if os.Getenv("CELL_TRACE") != "" {
		w := newSim(randomOptions(uint64(first)))
		failure := w.run()
		t.Logf("%+v\n%s\n%s", w.options, strings.Join(w.trace, "\n"), failure)
		assert.Equal(t, failure, "")
		return
	}
	start := time.Now()
	r := runSeeds(first, count, nil)
	t.Logf("seeds %d to %d in %v: %d failed, %+v", first, first+count-1, time.Since(start).Round(time.Second), len(r.failed), r.total)
	for _, f := range r.failed[:min(len(r.failed), 10)] {
		t.Error(f)
	}
}

// TestRegressionSeeds repeats the runs that found a bug, each with the grant duration
// that was in use then.
func TestRegressionSeeds(t *testing.T) {
	const longer, current = 2800 * time.Millisecond, 2500 * time.Millisecond
	tests := map[string]struct {
		seed  uint64
		grant time.Duration
	}{
		"stale leader acquires the expired lease":                   {3574, longer},
		"promise of a lost host outlives the declaration":           {41097, longer},
		"grants of a lost host outlive the declaration":             {1551, longer},
		"target responds although it is declared lost":              {106553, longer},
		"standby granted again after the renew limit":               {2002020, longer},
		"stale leader grants to a restarted target":                 {435, longer},
		"a pause between two effects reorders published tables":     {1660, longer},
		"two hosts wait for each other with documents of two terms": {4314, current},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := randomOptions(tt.seed)
			o.grantDuration = tt.grant
			assert.Equal(t, newSim(o).run(), "")
		})
	}
}

// TestRulesNeeded disables one rule after the other and logs how many runs fail
// without it. It takes minutes. CELL_BREAK is the number of runs per rule, CELL_RULE the
// name of the only rule to run.
func TestRulesNeeded(t *testing.T) {
	count := envInt("CELL_BREAK", 0)
	if count == 0 {
		t.Skip("CELL_BREAK is not set")
	}
	for _, rule := range ruleMutations {
		if only := os.Getenv("CELL_RULE"); only != "" && only != rule.name {
			continue
		}
		r := runSeeds(envInt("CELL_SEED", 1), count, rule.mutate)
		first := ""
		if len(r.failed) > 0 {
			first = r.failed[0]
		}
		t.Logf("%-34s %5d of %d runs fail; %s", rule.name, len(r.failed), count, first)
	}
}

// ruleMutations lists the rules of ownership, each with the mutation that disables it.
// CELL_RULE selects them by name.
var ruleMutations = []struct {
	name   string
	mutate func(*options)
}{
	{"anchored grants", func(o *options) { o.anchorAtArrival = true }},
	{"extend is not grant", func(o *options) { o.mutations.alwaysGrant = true }},
	{"inventory at take-over", func(o *options) { o.mutations.skipInventory = true }},
	{"at most one unaccounted", func(o *options) { o.mutations.ignoreRenewers = true }},
	{"lonely lead stops", func(o *options) { o.mutations.renewWithoutRight = true }},
	{"lapse from start of promises", func(o *options) { o.mutations.expireFromAnchor = true }},
	{"exclusive promises", func(o *options) { o.mutations.sharedPromises = true }},
	{"silence of a restarted host", func(o *options) { o.mutations.skipStartupSilence = true }},
	{"read the store first", func(o *options) { o.mutations.skipStoreRead = true }},
	{"removed hosts count", func(o *options) { o.mutations.ignoreRemoved = true }},
	{"parent of a solo key ended", func(o *options) { o.mutations.skipParentCheck = true }},
	{"lost answer is not a failure", func(o *options) { o.mutations.assumeWriteFailed = true }},
	{"lease counts from sending", func(o *options) { o.mutations.leaseFromResponse = true }},
	{"lost hosts leave promises behind", func(o *options) { o.mutations.ignoreLostPromises = true }},
	{"hold counts from the lease", func(o *options) { o.mutations.limitFromContact, o.renewLimit = true, 5*time.Second }},
	{"hold ends leading", func(o *options) { o.mutations.leadPastLimit, o.renewLimit = true, 5*time.Second }},
	{"lease got back is verified", func(o *options) { o.mutations.skipLeaseCheck = true }},
}
