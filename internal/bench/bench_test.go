package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/load"
)

func TestSupervisorProtocol(t *testing.T) {
	var requests bytes.Buffer
	d := NewSupervisor(&requests, strings.NewReader("ok\nfailed\n"))
	assert.NilError(t, d.Signal("KILL", "host-1", LeadProcess))
	assert.ErrorContains(t, d.Stop("host-2", EntryProcess), "failed")
	assert.ErrorContains(t, d.StopAll(), "EOF")
	assert.Equal(t, requests.String(), "signal KILL lead host-1\nstop entry host-2\nended\n")
}

func TestReadHosts(t *testing.T) {
	good := "host-1 zone-a 127.0.0.1:1 127.0.0.1:2 127.0.0.1:3 127.0.0.1:4 127.0.0.1:5\n"
	tests := map[string]struct {
		body, finding string
	}{
		"good":       {body: good},
		"two fields": {body: good + "host-2 zone-a\n", finding: "hosts:2: has 2 fields"},
		"host name":  {body: strings.Replace(good, "127.0.0.1:3", "localhost:3", 1), finding: `hosts:1: "localhost:3" is not an address`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "hosts")
			assert.NilError(t, os.WriteFile(path, []byte(tt.body), 0o600))
			hosts, err := ReadHosts(path)
			if tt.finding != "" {
				assert.ErrorContains(t, err, tt.finding)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, hosts[0].LeadAdmin.String(), "127.0.0.1:5")
		})
	}
}

func TestProcParsing(t *testing.T) {
	ticks, err := cpuTicks("42 (a name) with) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0")
	assert.NilError(t, err)
	assert.Equal(t, ticks, uint64(300))
	_, err = cpuTicks("nothing")
	assert.ErrorContains(t, err, "unreadable")
	assert.Equal(t, procField("Name:\tx\nVmRSS:\t   2048 kB\n", "VmRSS:"), uint64(2048))
}

func TestImbalanceTakesWorstService(t *testing.T) {
	before := map[key.Service][]uint64{"balance": {100, 0}, "plan": {0, 0}}
	after := map[key.Service][]uint64{"balance": {150, 50}, "plan": {30, 10}}
	assert.Equal(t, imbalance(before, after), 1.5)
}

func TestScenarioLengths(t *testing.T) {
	const longest = 35 * time.Second // with start, warm-up and stop under 50 s
	seen := make(map[Name]bool)
	for _, s := range All() {
		assert.Assert(t, !seen[s.Name], "%s occurs twice", s.Name)
		seen[s.Name] = true
		assert.Assert(t, s.Length <= longest, "%s", s.Name)
		last := time.Duration(0)
		for _, step := range s.Steps {
			assert.Assert(t, step.At >= last && step.At < s.Length, "%s at %s", s.Name, step.At)
			last = step.At
		}
	}
}

func TestViolations(t *testing.T) {
	brokenOff := load.Summary{Counts: load.Counts{Done: 1}, Reasons: map[string]uint64{"answer-cut": 2}}
	tests := map[string]struct {
		scenario Scenario
		ledger   fake.LedgerCounts
		summary  load.Summary
		want     string
	}{
		"no violation":                {summary: load.Summary{Counts: load.Counts{Done: 1}}},
		"broken off by a fault":       {summary: brokenOff},
		"broken off without a fault":  {scenario: Scenario{NoFailures: true}, summary: brokenOff, want: "2 requests broken off without a fault"},
		"duplicate owner":             {ledger: fake.LedgerCounts{DuplicateOwners: 1}, summary: brokenOff, want: "1 duplicate owners"},
		"duplicate run":               {ledger: fake.LedgerCounts{DuplicateRuns: 1}, summary: brokenOff, want: "1 duplicate runs"},
		"false not-run":               {summary: load.Summary{FalseNotRun: 3, Counts: load.Counts{Done: 1}}, want: "3 responses not-run for operations that ran"},
		"done, never ran":             {summary: load.Summary{FalseDone: 1, Counts: load.Counts{Done: 1}}, want: "1 responses done for operations that did not run"},
		"no response":                 {summary: load.Summary{Counts: load.Counts{Done: 1, Lost: 1}}, want: "1 requests without a response"},
		"another request's response":  {summary: load.Summary{Counts: load.Counts{Done: 1, Wrong: 1}}, want: "1 responses incomplete or for another request"},
		"nothing done under any load": {scenario: Scenario{Load: 0.1}, want: "no requests were done"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Run{Config: Config{Scenario: tt.scenario}, targets: fake.NewTargetSet(nil, nil)}
			got := r.violations(snapshot{ledger: tt.ledger}, tt.summary)
			assert.Equal(t, strings.Join(got, "; "), tt.want)
		})
	}
}
