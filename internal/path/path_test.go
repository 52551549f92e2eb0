package path

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
)

func row(n int) place.TargetRow {
	return place.TargetRow{Target: place.Target(fmt.Sprint("t", n)), Service: "s", Incarnation: 1}
}

func rows(n int) []place.TargetRow {
	out := make([]place.TargetRow, n)
	for i := range out {
		out[i] = row(i)
	}
	return out
}

// TestServiceLost checks which failures make all paths to a service count as lost.
func TestServiceLost(t *testing.T) {
	type step struct {
		target int
		event  Event
	}
	tests := map[string]struct {
		targets int
		steps   []step
		lost    int // of all targets
	}{
		"no failure":              {targets: 5},
		"two of five":             {5, []step{{0, Unreachable}, {1, Unreachable}}, 2},
		"one target twice":        {5, []step{{0, Unreachable}, {0, Unreachable}, {0, Unreachable}}, 1},
		"three of five":           {5, []step{{0, Unreachable}, {1, Unreachable}, {2, Unreachable}}, 5},
		"the only target":         {1, []step{{0, Unreachable}}, 1},
		"one responds in between": {5, []step{{0, Unreachable}, {1, Unreachable}, {4, Responded}, {2, Unreachable}}, 3},
		"one responds after":      {5, []step{{0, Unreachable}, {1, Unreachable}, {2, Unreachable}, {4, Responded}}, 3},
		"no response is no proof": {5, []step{{0, Silent}, {1, Silent}, {2, Silent}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New()
			for _, s := range test.steps {
				now = now.Add(time.Millisecond)
				table.Record(now.Add(time.Millisecond), now, row(s.target), s.event)
				now = now.Add(time.Millisecond)
			}
			assert.Equal(t, len(table.LostTargets(rows(test.targets))), test.lost)
		})
	}
}

// TestLateFailure: an attempt that began before the last response of the service is no
// evidence that all of its paths are lost.
func TestLateFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.Record(now, now, row(9), Responded)
	for i := range 3 {
		table.Record(now.Add(time.Second), now.Add(-time.Second), row(i), Unreachable)
	}
	assert.Assert(t, !table.ServiceLost("s", 10))
	assert.Assert(t, table.Lost(row(0)))
}

// TestProbesAreBounded: however many paths are lost, few are probed at the same time, each
// less and less often, until one is back and all are probed at once.
func TestProbesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	const targets = 300
	for i := range targets {
		table.Record(now, now, row(i), Unreachable)
	}
	type probe struct {
		row place.TargetRow
		at  time.Time
	}
	var running []probe
	made := 0
	const dial = 300 * time.Millisecond
	step := func(e Event) {
		now = now.Add(10 * time.Millisecond)
		for len(running) > 0 && now.Sub(running[0].at) >= dial {
			table.Probed(now, running[0].at, running[0].row, e)
			running = running[1:]
		}
		for _, r := range table.Probes(now) {
			running = append(running, probe{r, now})
			made++
		}
		assert.Assert(t, len(running) <= maxProbes)
	}
	for range 1000 {
		step(Unreachable)
	}
	assert.Assert(t, made > 100 && made <= 140, "%d probes in 10 s", made)
	assert.Assert(t, table.ServiceLost("s", targets))
	for table.ServiceLost("s", targets) {
		step(Responded)
	}
	for _, p := range running {
		table.Probed(now, p.at, p.row, Responded)
	}
	for probed := maxProbes; probed < targets; {
		due := table.Probes(now)
		if len(due) == 0 {
			break
		}
		for _, r := range due {
			table.Probed(now, now, r, Responded)
			probed++
		}
	}
	assert.Equal(t, len(table.LostTargets(rows(targets))), 0)
}

// TestStalled: an attempt without a response is a reason to probe only if the service has
// not responded at all meanwhile.
func TestStalled(t *testing.T) {
	tests := map[string]struct {
		respondedAfter time.Duration // since the attempt began
		probes         int
	}{
		"silent since":    {-time.Millisecond, lostThreshold},
		"responded since": {time.Millisecond, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := time.Unix(1000, 0)
			table := New()
			table.Record(sent.Add(test.respondedAfter), sent, row(9), Responded)
			now := sent.Add(250 * time.Millisecond)
			table.Stalled(now, sent, row(0), rows(10))
			assert.Equal(t, len(table.Probes(now)), test.probes)
		})
	}
}

// TestPrune: a path to a target that is gone is forgotten, and so is one that is not used.
func TestPrune(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.Record(now, now, row(0), Unreachable)
	table.Record(now, now, row(1), Unreachable)
	table.Prune(now, func(name place.Target) (place.TargetRow, bool) { return row(1), name == "t1" })
	assert.Assert(t, !table.Lost(row(0)))
	assert.Assert(t, table.Lost(row(1)))
	table.Prune(now.Add(retention+time.Second), func(place.Target) (place.TargetRow, bool) { return row(1), true })
	assert.Assert(t, !table.Lost(row(1)))
}

// TestTargetAtAnotherAddress: a target that is back at another address has another path. Its
// earlier one is neither lost for it nor probed.
func TestTargetAtAnotherAddress(t *testing.T) {
	for name, targets := range map[string]int{"one target": 1, "three targets": 3} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := New()
			moved := rows(targets)
			for i := range moved {
				table.Record(now, now, moved[i], Unreachable)
				moved[i].Addr, moved[i].Incarnation = netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i)), 2
			}
			assert.Assert(t, !table.Lost(moved[0]))
			now = now.Add(time.Second)
			table.Prune(now, func(name place.Target) (place.TargetRow, bool) {
				i := slices.IndexFunc(moved, func(r place.TargetRow) bool { return r.Target == name })
				return moved[i], true
			})
			assert.Equal(t, len(table.LostTargets(moved)), 0)
			assert.Assert(t, !table.ServiceLost("s", targets))
			assert.Equal(t, len(table.Probes(now)), 0)
		})
	}
}
