package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/path"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

var (
	pathRuns = flag.Int("path.runs", 30, "random runs with cut paths")
	pathSeed = flag.Uint64("path.seed", 1, "first seed of the random runs with cut paths")
	// pathBreak disables a part of what hosts do about lost paths.
	pathBreak = flag.Int("path.break", 0, "part to disable, 0 for none")
)

// The parts that -path.break disables.
const (
	breakRelay  = iota + 1 // hosts pass no requests on
	breakProbes            // lost paths are not probed
)

// pathModel adds links between single hosts and targets to a cluster, and what hosts do about
// lost ones.
type pathModel struct {
	*cluster

	tables map[place.Host]*path.Table
	cuts   map[pathPair]pathCut
	// relayed counts the requests that hosts passed on.
	relayed int
}

type pathPair struct {
	host   place.Host
	target place.Target
}

// pathCut is a cut link. Its connections time out, or are refused.
type pathCut struct {
	until   time.Time
	refused bool
}

const pathDialTimeout = 300 * time.Millisecond

func newPathModel(c *cluster) *pathModel {
	m := &pathModel{cluster: c, tables: make(map[place.Host]*path.Table), cuts: make(map[pathPair]pathCut)}
	for _, h := range c.hosts {
		m.tables[h.name] = path.New()
	}
	c.paths = m
	c.after(0, m.tick)
	return m
}

// cut returns how the link of a host to a target is cut now.
func (m *pathModel) cut(host place.Host, name place.Target) (pathCut, bool) {
	c, ok := m.cuts[pathPair{host, name}]
	return c, ok && m.now.Before(c.until)
}

// tick makes the probes that are due.
func (m *pathModel) tick(now time.Time) {
	for _, h := range m.hosts {
		table := m.tables[h.name]
		if *pathBreak == breakProbes {
			break
		}
		for _, row := range table.Probes(now) {
			cut, lost := m.cut(h.name, row.Target)
			took, event := 2*networkDelay, path.Responded
			if lost {
				event = path.Unreachable
				if !cut.refused {
					took = pathDialTimeout
				}
			}
			m.after(took, func(end time.Time) { table.Probed(end, now, row, event) })
		}
	}
	m.after(10*time.Millisecond, m.tick)
}

// lost returns the targets that a host does not reach, and whether these are all.
func (m *pathModel) lost(h *clusterHost) ([]place.Target, bool) {
	rows := h.Members(m.pool)
	lost := m.tables[h.name].LostTargets(rows)
	return lost, len(lost) == len(rows)
}

// relay returns another host that reaches a target, nil if four others do not.
func (m *pathModel) relay(h *clusterHost) *clusterHost {
	const tries = 4
	asked := 0
	for _, i := range m.rng.Perm(len(m.hosts)) {
		o := m.hosts[i]
		if o == h || !o.up {
			continue
		}
		if _, all := m.lost(o); !all && *pathBreak != breakRelay {
			m.relayed++
			return o
		}
		if asked++; asked == tries {
			break
		}
	}
	return nil
}

// record records the result of an attempt, and returns the result for the home.
func (m *pathModel) record(now, sentAt time.Time, h *clusterHost, row place.TargetRow, result Result) Result {
	event, ok := result.PathEvent()
	if !ok {
		return result
	}
	table := m.tables[h.name]
	table.Record(now, sentAt, row, event)
	if event != path.Responded && table.ServiceLost(key.Service(row.Service), len(m.targets)) {
		return ResultUnused
	}
	return result
}

// pathRun is one random run: some hosts lose their links to all or some targets.
type pathRun struct {
	seed uint64
	cut  map[place.Host]bool
	// relayedAfter counts the requests that are passed on although all links are back.
	relayedAfter int
}

const (
	pathHosts   = 6
	pathTargets = 5
	cutAt       = 4 * time.Second
	// healTime is how long after the cut hosts may still pass requests on.
	healTime = 2 * time.Second
)

// play plays the run, with or without the cut, and returns what was served of the requests
// that came to cut hosts, but for the first second of the cut, and to the others.
func (r *pathRun) play(withCut bool) (atCut, atOthers float64) {
	targets := pathTargets
	if r.seed%2 == 0 {
		targets = 1 // the owner of a range
	}
	c := newCluster(r.seed, pathHosts, targets, 100*time.Millisecond)
	m := newPathModel(c)
	length := time.Second + c.between(2*time.Second, 8*time.Second)
	hosts, refused := 1+c.rng.IntN(pathHosts-1), c.chance(0.5)
	all := c.chance(0.6)
	r.cut = make(map[place.Host]bool)
	for _, i := range c.rng.Perm(pathHosts)[:hosts] {
		r.cut[c.hosts[i].name] = true
	}
	var links []pathPair
	for _, h := range c.hosts {
		for _, t := range c.targets {
			if r.cut[h.name] && (all || c.chance(0.7)) {
				links = append(links, pathPair{h.name, t.row.Target})
			}
		}
	}
	if withCut {
		c.after(cutAt, func(now time.Time) {
			for _, l := range links {
				m.cuts[l] = pathCut{now.Add(length), refused}
			}
		})
	}
	end := c.start.Add(cutAt + length)
	const targetRate = 15 // half of what a target can do, in requests per second
	rate := targetRate * float64(targets) / pathHosts
	for _, h := range c.hosts {
		begin := c.start.Add(cutAt)
		if r.cut[h.name] {
			begin = begin.Add(time.Second)
		}
		for _, phase := range []string{"before", "during", "after"} {
			limits := map[string][2]time.Time{"before": {c.start, begin}, "during": {begin, end}, "after": {end, end.Add(healTime + time.Second)}}[phase]
			w := workload{class: traffic.RouteName(string(h.name) + phase), rate: rate, objective: 500 * time.Millisecond, deadline: 1500 * time.Millisecond}
			c.results[w.class] = &workloadResult{}
			m.load(h, w, limits[0], limits[1])
		}
	}
	c.run(cutAt + length + healTime)
	relayed := m.relayed
	c.run(2 * time.Second)
	r.relayedAfter = m.relayed - relayed
	var sent, served [2]float64
	for _, h := range c.hosts {
		group := 0
		if r.cut[h.name] {
			group = 1
		}
		result := c.results[traffic.RouteName(string(h.name)+"during")]
		sent[group] += float64(result.sent)
		served[group] += float64(result.onTime + result.late)
	}
	return served[1] / sent[1], served[0] / max(sent[0], 1)
}

// load sends first attempts of a workload to a host from one time to another.
func (m *pathModel) load(h *clusterHost, w workload, from, until time.Time) {
	wait := time.Duration(m.rng.ExpFloat64() / w.rate * float64(time.Second))
	m.after(max(from.Sub(m.now), 0)+wait, func(now time.Time) {
		if !now.Before(until) {
			return
		}
		m.results[w.class].sent++
		m.requestAt(h, w, now, 0)
		m.load(h, w, now, until)
	})
}

// TestRandomPaths: whatever hosts lose their links to targets, the others serve as without the
// cut, within 2 in 100, and cut hosts nearly as much.
func TestRandomPaths(t *testing.T) {
	var without, others, cut float64
	for i := range *pathRuns {
		seed := *pathSeed + uint64(i)
		r := &pathRun{seed: seed}
		_, before := r.play(false)
		atCut, atOthers := r.play(true)
		without, others, cut = without+before, others+atOthers, cut+atCut
		assert.Check(t, r.relayedAfter == 0, "seed %d: %d requests passed on after the cut", seed, r.relayedAfter)
		// A single run has some hundred requests; the bounds hold for their sum.
		assert.Check(t, atCut >= 2.0/3*atOthers, "seed %d: cut hosts serve %.3f, others %.3f", seed, atCut, atOthers)
	}
	runs := float64(*pathRuns)
	summary := fmt.Sprintf("served: without a cut %.4f, hosts that are not cut %.4f, cut hosts %.4f", without/runs, others/runs, cut/runs)
	t.Log(summary)
	assert.Check(t, others >= without-0.02*runs, summary)
	assert.Check(t, cut >= 0.95*others, summary)
}
