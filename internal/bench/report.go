package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/load"
)

// maxDrainWork is how long a drained target may continue to get new requests.
const maxDrainWork = 3 * time.Second

// Reasons that callers get for requests that were broken off.
const (
	reasonAnswerCut = "answer-cut"
	reasonSendCut   = "send-cut"
)

// Report is the result of a run.
type Report struct {
	Metrics []Metric
	load.Summary
	// Violations describes the violated invariants.
	Violations []string
}

// Metric is a measured value.
type Metric struct {
	Name  string
	Value float64
	Unit  string
}

// snapshot holds all counts at one time.
type snapshot struct {
	at       time.Time
	platform fake.PlatformCounts
	ledger   fake.LedgerCounts
	served   map[key.Service][]uint64
	usage    map[Process]map[string]Usage
}

func (r *Run) snapshot() snapshot {
	s := snapshot{
		at:       time.Now(),
		platform: r.platform.Counts(),
		ledger:   r.targets.Ledger.Counts(),
		served:   r.targets.Served(),
		usage:    map[Process]map[string]Usage{LeadProcess: {}, EntryProcess: {}},
	}
	for _, host := range r.Hosts {
		for process, usage := range s.usage {
			if u, err := readUsage(r.pidFile(host.Name, process)); err == nil {
				usage[string(host.Name)] = u
			}
		}
	}
	return s
}

// report computes the metrics between two snapshots.
func (r *Run) report(before, after snapshot, summary load.Summary) Report {
	span := after.at.Sub(before.at)
	perSecond := func(n uint64) float64 { return float64(n) / span.Seconds() }
	report := Report{Summary: summary}
	add := report.add
	report.addLoad(summary)
	add("imbalance", imbalance(before.served, after.served), "ratio")
	add("moves", float64(after.ledger.Moves-before.ledger.Moves), "1")
	add("doubled_owner", float64(after.ledger.DuplicateOwners), "1")
	add("doubled_run", float64(after.ledger.DuplicateRuns), "1")
	add("sheds", float64(after.ledger.Sheds-before.ledger.Sheds), "1")
	add("misrouted", float64(after.ledger.Misrouted-before.ledger.Misrouted), "1")
	add("refused_connections", float64(after.ledger.RefusedConns-before.ledger.RefusedConns), "1")
	add("store_reads_s", perSecond(after.platform.Reads-before.platform.Reads), "1/s")
	add("store_writes_s", perSecond(after.platform.Writes-before.platform.Writes), "1/s")
	r.addUsage(add, before, after, span)
	report.Violations = r.violations(after, summary)
	r.addDrained(&report)
	r.addSettings(&report)
	return report
}

// addDrained adds how long a drained target continued to get new requests.
func (r *Run) addDrained(report *Report) {
	if r.drained.target == nil {
		return
	}
	late := max(0, r.drained.target.LastStart().Sub(r.drained.since))
	report.add("leaving_work_ms", millis(late), "ms")
	if late > maxDrainWork {
		report.Violations = append(report.Violations, fmt.Sprintf("a drained target got new requests for %s", late))
	}
}

// addSettings adds how long accepted settings took to be in force at all daemons.
func (r *Run) addSettings(report *Report) {
	if !r.Scenario.MeasureConvergence {
		return
	}
	f := r.convergence.Result()
	report.add("settings_revisions", float64(f.Revisions), "1")
	report.add("settings_in_force_ms", millis(f.Longest), "ms")
	report.add("settings_missing", float64(f.Missing), "1")
	report.add("settings_reverted", float64(f.Reverted), "1")
	if f.Missing > 0 || f.Reverted > 0 {
		report.Violations = append(report.Violations, fmt.Sprintf("settings: %d revisions not in force at all daemons, %d reverts to an earlier one", f.Missing, f.Reverted))
	}
}

// add adds a metric.
func (r *Report) add(name string, number float64, unit string) {
	r.Metrics = append(r.Metrics, Metric{Name: name, Value: number, Unit: unit})
}

// addLoad adds the metrics of the load, as measured at the callers.
func (r *Report) addLoad(s load.Summary) {
	r.add("requests", float64(s.Requests), "1")
	r.add("done", float64(s.Done), "1")
	r.add("done_s", s.PerSecond, "1/s")
	r.add("p50_ms", millis(s.P50), "ms")
	r.add("p99_ms", millis(s.P99), "ms")
	for _, class := range slices.Sorted(maps.Keys(s.Classes)) {
		r.add("p99_"+string(class)+"_ms", millis(s.Classes[class].P99), "ms")
	}
	r.add("unavailable_sum_ms", millis(s.OutageSum), "ms")
	r.add("unavailable_max_ms", millis(s.OutageMax), "ms")
	r.add("unavailable_shards", float64(s.OutageShards), "1")
	r.add("not_run", float64(s.NotRun), "1")
	r.add("unknown", float64(s.Unknown), "1")
	r.add("lost_answer", float64(s.Lost+s.FalseDone), "1")
	r.add("wrong_answer", float64(s.Wrong), "1")
	r.add("false_not_run", float64(s.FalseNotRun), "1")
	r.add("dropped", float64(s.Dropped), "1")
}

// WriteSummary prints the metrics of a load, one per line.
func WriteSummary(out io.Writer, s load.Summary) {
	report := Report{Summary: s}
	report.addLoad(s)
	report.Write(out)
}

// addUsage adds the mean CPU and the maximum memory usage of lead and entry processes. The
// mean excludes processes that started or ended between the snapshots.
func (r *Run) addUsage(add func(string, float64, string), before, after snapshot, span time.Duration) {
	names := map[Process]string{LeadProcess: "control", EntryProcess: "entry"}
	for _, process := range []Process{LeadProcess, EntryProcess} {
		var cpu time.Duration
		var rss, bytes uint64
		n := 0
		for host, then := range before.usage[process] {
			now, ok := after.usage[process][host]
			if ok && now.CPU >= then.CPU {
				cpu += now.CPU - then.CPU
				rss = max(rss, now.RSSBytes)
				bytes += now.IOBytes - then.IOBytes
				n++
			}
		}
		if n == 0 {
			continue
		}
		add(names[process]+"_cpu", 100*cpu.Seconds()/span.Seconds()/float64(n), "%")
		if process == LeadProcess {
			add("rss_mb", float64(rss)/(1<<20), "MiB")
			add("control_bytes_s", float64(bytes)/span.Seconds()/float64(n), "B/s")
		} else {
			add("entry_rss_mb", float64(rss)/(1<<20), "MiB")
		}
	}
}

// violations describes the violated invariants.
func (r *Run) violations(after snapshot, s load.Summary) []string {
	var out []string
	check := func(n uint64, text string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, text))
		}
	}
	check(after.ledger.DuplicateOwners, "duplicate owners")
	check(after.ledger.DuplicateRuns, "duplicate runs")
	check(s.FalseNotRun, "responses not-run for operations that ran")
	check(s.FalseDone, "responses done for operations that did not run")
	check(s.Lost, "requests without a response")
	check(s.Wrong, "responses incomplete or for another request")
	if r.Scenario.NoFailures {
		check(s.Reasons[reasonAnswerCut]+s.Reasons[reasonSendCut], "requests broken off without a fault")
	}
	if s.Done == 0 && r.Scenario.Load > 0 {
		out = append(out, "no requests were done")
	}
	return append(out, r.targets.Ledger.Violations()...)
}

// imbalance returns the load of the busiest target relative to the mean, of the service
// for which it is highest.
func imbalance(before, after map[key.Service][]uint64) float64 {
	worst := 0.0
	for service, counts := range after {
		var sum, most uint64
		for i, n := range counts {
			served := n - before[service][i]
			sum += served
			most = max(most, served)
		}
		if sum > 0 {
			worst = max(worst, float64(most)*float64(len(counts))/float64(sum))
		}
	}
	return worst
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Write prints the metrics, one per line, then the violations and examples.
func (r Report) Write(out io.Writer) {
	for _, v := range r.Metrics {
		fmt.Fprintf(out, "%s %s %s\n", v.Name, number(v.Value), v.Unit)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(out, "reason_%s %d 1\n", reason, r.Reasons[reason])
	}
	for _, text := range r.Violations {
		fmt.Fprintf(out, "broken: %s\n", text)
	}
	for _, text := range r.Examples {
		fmt.Fprintf(out, "example: %s\n", text)
	}
}

// number formats n, without decimals if it is whole.
func number(n float64) string {
	if n == float64(int64(n)) {
		return fmt.Sprintf("%d", int64(n))
	}
	return fmt.Sprintf("%.2f", n)
}

// DemoLine returns the last line of the demo's output.
func (r Report) DemoLine() string {
	var doubled, lost uint64
	for _, v := range r.Metrics {
		switch v.Name {
		case "doubled_owner", "doubled_run":
			doubled += uint64(v.Value)
		case "lost_answer":
			lost += uint64(v.Value)
		}
	}
	return fmt.Sprintf("demo: %d requests, %d doubled, %d lost, p99 %.1f ms", r.Requests, doubled, lost, millis(r.P99))
}
