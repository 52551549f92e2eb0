package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

// workload is one class of requests in a played load.
type workload struct {
	class     traffic.RouteName
	priority  traffic.Priority
	rate      float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// cold requests are of the route that is named here, take longer, and are
	// marked.
	cold traffic.RouteName
}

// simConfig is a load on one pool, and the targets that it meets.
type simConfig struct {
	workloads []workload
	speeds    []float64 // of the targets
	slots     int
	queue     int // of a target
	hosts     int
	duration  time.Duration
	seed      uint64
	pool      PoolID
	perturb   func(p *simulator, now time.Time) // called every 100 ms
}

// workloadResult counts what the clients of one kind got.
type workloadResult struct {
	sent, onTime, late, refused, failed int
	waits                               time.Duration // of refused requests, before the refusal
}

func (o *workloadResult) utility() float64 {
	return (float64(o.onTime) + 0.3*float64(o.late)) / float64(max(o.sent, 1))
}

// event is something that happens at a time in a played load.
type simEvent struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []simEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simTarget serves requests with slots and a short queue of its own.
type simTarget struct {
	row         place.TargetRow
	speed       float64
	running     int
	queue       []func(now time.Time)
	dead        bool
	refuseShare float64 // share of requests that it refuses
	loseShare   float64 // share of requests that it runs, and whose answer is lost
}

// simulator plays a load against real clients and one real home.
type simulator struct {
	simConfig

	rng           *rand.Rand
	now           time.Time
	events        eventQueue
	targets       map[place.Target]*simTarget
	names         []place.Target
	home          *Home
	clients       []*Client
	replyHandlers []map[TicketID]func(now time.Time, m Message)
	results       map[traffic.RouteName]*workloadResult
	// conns are the connections of each client to each target, dials counts
	// those that were opened.
	conns map[connID]*connState
	dials int
}

// connID names a client and a target.
type connID struct {
	client int
	target place.Target
}

// connState is the connections between the two, which are kept.
type connState struct{ open, busy int }

// connect uses a connection, and opens one where none is idle.
func (p *simulator) connect(id connID) *connState {
	l := p.conns[id]
	if l == nil {
		l = &connState{}
		p.conns[id] = l
	}
	l.busy++
	if l.busy > l.open {
		l.open++
		p.dials++
	}
	return l
}

const networkDelay = time.Millisecond // between any two processes

func (p *simulator) Members(PoolID) []place.TargetRow {
	out := make([]place.TargetRow, 0, len(p.names))
	for _, name := range p.names {
		out = append(out, p.targets[name].row)
	}
	return out
}

func (p *simulator) Ranked(PoolID) []place.Host { return []place.Host{"home"} }

func (p *simulator) after(d time.Duration, do func(now time.Time)) {
	heap.Push(&p.events, simEvent{p.now.Add(d), do})
}

func simulate(l simConfig) map[traffic.RouteName]*workloadResult { return newSimulator(l).simulate() }

func newSimulator(l simConfig) *simulator {
	p := &simulator{
		simConfig: l, rng: rand.New(rand.NewPCG(l.seed, 1)), now: time.Unix(1000, 0),
		targets: make(map[place.Target]*simTarget), results: make(map[traffic.RouteName]*workloadResult),
		conns: make(map[connID]*connState),
	}
	for i, speed := range l.speeds {
		name := place.Target(fmt.Sprintf("t%02d", i))
		p.names = append(p.names, name)
		p.targets[name] = &simTarget{speed: speed, row: place.TargetRow{
			Target: name, Zone: "z", Slots: l.slots, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}}
	}
	p.home = NewHome(p)
	for range l.hosts {
		p.clients = append(p.clients, NewClient(p))
		p.replyHandlers = append(p.replyHandlers, make(map[TicketID]func(time.Time, Message)))
	}
	return p
}

func (p *simulator) simulate() map[traffic.RouteName]*workloadResult {
	end := p.now.Add(p.duration)
	for _, k := range p.workloads {
		p.results[k.class] = &workloadResult{}
		p.arrive(k, end)
	}
	p.tick(end)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.do(p.now)
	}
	return p.results
}

func (p *simulator) arrive(k workload, end time.Time) {
	p.after(time.Duration(p.rng.ExpFloat64()/k.rate*float64(time.Second)), func(now time.Time) {
		if now.After(end) {
			return
		}
		p.results[k.class].sent++
		p.request(now, k, now, 1, nil)
		p.arrive(k, end)
	})
}

func (p *simulator) tick(end time.Time) {
	p.after(10*time.Millisecond, func(now time.Time) {
		for i, c := range p.clients {
			c.Tick(now)
			p.flush(i)
		}
		p.deliver(p.home.Tick(now))
		if p.perturb != nil && now.UnixMilli()%100 < 10 {
			p.perturb(p, now)
		}
		if now.Before(end.Add(5 * time.Second)) {
			p.tick(end)
		}
	})
}

// request is one attempt of a client; retries are what it may still do.
func (p *simulator) request(now time.Time, k workload, first time.Time, retries int, tried []place.Target) {
	i := p.rng.IntN(len(p.clients))
	c := p.clients[i]
	result := p.results[k.class]
	left := k.deadline - now.Sub(first)
	class := k.class
	if k.cold != "" {
		class = k.cold
	}
	id := c.Acquire(now, Acquire{
		Cold: k.cold != "",
		Pool: p.pool, Class: class, Priority: k.priority, Timeout: left, SoftTimeout: k.objective - now.Sub(first), Excluded: tried,
	})
	p.replyHandlers[i][id] = func(now time.Time, m Message) {
		switch m := m.(type) {
		case Assigned:
			p.after(networkDelay, func(now time.Time) { p.serve(now, i, id, m.Target, k, first, retries, tried) })
		case Refused:
			back := now.Add(m.RetryAfter)
			if retries > 0 && m.RetryAfter <= (k.deadline-now.Sub(first))/3 {
				p.after(m.RetryAfter, func(now time.Time) { p.request(now, k, first, retries-1, nil) })
				return
			}
			_ = back
			result.refused++
			result.waits += now.Sub(first)
		}
	}
	p.flush(i)
}

// serve lets a target work on a request.
func (p *simulator) serve(now time.Time, i int, id TicketID, name place.Target, k workload, first time.Time, retries int, tried []place.Target) {
	t := p.targets[name]
	started := now
	l := p.connect(connID{i, name})
	done := func(now time.Time, end Result) {
		l.busy--
		p.clients[i].Done(now, id, end, now.Sub(started))
		p.flush(i)
	}
	again := func(now time.Time) {
		if len(tried) >= 2 {
			p.results[k.class].failed++
			return
		}
		p.request(now, k, first, retries, append(tried, name))
	}
	if t.dead {
		p.after(300*time.Millisecond, func(now time.Time) { done(now, ResultUnreachable); again(now) })
		return
	}
	if p.rng.Float64() < t.refuseShare || len(t.queue) >= p.queue {
		p.after(2*networkDelay, func(now time.Time) { done(now, ResultBusy); again(now) })
		return
	}
	begin := func(time.Time) {
		work := time.Duration(float64(k.work) * math.Exp(0.5*p.rng.NormFloat64()-0.125) / t.speed)
		p.after(work, func(now time.Time) {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				t.running++
				next(now)
			}
			if p.rng.Float64() < t.loseShare {
				p.after(k.deadline-now.Sub(first), func(now time.Time) {
					done(now, ResultTimeout)
					p.results[k.class].failed++
				})
				return
			}
			p.after(networkDelay, func(now time.Time) {
				done(now, ResultServed)
				switch took := now.Sub(first); {
				case took <= k.objective:
					p.results[k.class].onTime++
				case took <= k.deadline:
					p.results[k.class].late++
				default:
					p.results[k.class].failed++
				}
			})
		})
	}
	if t.running >= p.slots {
		t.queue = append(t.queue, begin)
		return
	}
	t.running++
	begin(now)
}

// flush carries a client's messages to the home.
func (p *simulator) flush(i int) {
	out, verdicts := p.clients[i].Flush()
	from := Peer{Host: place.Host(fmt.Sprintf("h%d", i)), Incarnation: 1, Zone: "z"}
	for _, d := range out {
		p.after(networkDelay, func(now time.Time) { p.deliver(p.home.Handle(now, from, d.Message)) })
	}
	for _, v := range verdicts {
		if f := p.replyHandlers[i][v.ID]; f != nil {
			delete(p.replyHandlers[i], v.ID)
			f(p.now, v.Message)
		}
	}
}

func (p *simulator) deliver(out []PeerMessage) {
	for _, l := range out {
		var i int
		_, _ = fmt.Sscanf(string(l.To.Host), "h%d", &i)
		p.after(networkDelay, func(now time.Time) {
			p.clients[i].Receive(now, "home", l.Message)
			p.flush(i)
		})
	}
}

var (
	lookups = workload{class: "look-up", priority: 2, work: 90 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1200 * time.Millisecond}
	notices = workload{class: "notice", priority: 1, work: 120 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
	plans   = workload{class: "plan", priority: 0, work: 63 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond}
)

var coldLookups = workload{
	class: "cold look-up", cold: lookups.class, priority: lookups.priority, work: 5 * lookups.work, objective: lookups.objective, deadline: lookups.deadline,
}

func (k workload) withRate(perS float64) workload {
	k.rate = perS
	return k
}

func unevenSpeeds(n int) []float64 {
	speeds := []float64{0.5, 1, 1, 1.5}
	out := make([]float64, n)
	for i := range out {
		out[i] = speeds[i%len(speeds)]
	}
	return out
}

func TestSimulatedLoads(t *testing.T) {
	tests := map[string]struct {
		load simConfig
		// least is the worth per request that clients must get at least.
		least map[traffic.RouteName]float64
	}{
		// 12 uneven targets at three quarters of what they can do.
		"heavy": {
			load:  simConfig{workloads: []workload{notices.withRate(225)}, speeds: unevenSpeeds(12), slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"notice": 0.97},
		},
		// Twice what one target can do, as a hot key brings it.
		"one target at twice its load": {
			load:  simConfig{workloads: []workload{lookups.withRate(66)}, speeds: []float64{1}, slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"look-up": 0.4},
		},
		// Urgent work beside look-ups that alone would fill the targets.
		"urgent beside too many": {
			load:  simConfig{workloads: []workload{lookups.withRate(300), plans.withRate(60)}, speeds: unevenSpeeds(6), slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"plan": 0.97, "look-up": 0.4},
		},
		// A sixth of the targets twelve times slower for a while.
		"slow targets": {
			load: simConfig{workloads: []workload{notices.withRate(170)}, speeds: unevenSpeeds(12), slots: 3, queue: 12, perturb: func(p *simulator, now time.Time) {
				if now.Unix() == 1003 {
					p.targets["t01"].speed, p.targets["t05"].speed = 0.08, 0.08
				}
			}},
			least: map[traffic.RouteName]float64{"notice": 0.93},
		},
		// Two targets that refuse half of their requests.
		"grey targets": {
			load: simConfig{workloads: []workload{notices.withRate(170)}, speeds: unevenSpeeds(12), slots: 3, queue: 12, perturb: func(p *simulator, now time.Time) {
				if now.Unix() == 1003 {
					p.targets["t01"].refuseShare, p.targets["t05"].refuseShare = 0.5, 0.5
				}
			}},
			least: map[traffic.RouteName]float64{"notice": 0.97},
		},
		// Targets that run everything and lose one answer in twenty.
		"lost answers": {
			load: simConfig{workloads: []workload{lookups.withRate(20)}, speeds: []float64{1}, slots: 3, queue: 12, perturb: func(p *simulator, now time.Time) {
				p.targets["t00"].loseShare = 0.05
			}},
			least: map[traffic.RouteName]float64{"look-up": 0.85},
		},
		// A target that took keys of a lost one without a handover: as many
		// requests for cold keys as for warm ones, each worth a late answer.
		"cold keys beside warm ones": {
			load:  simConfig{workloads: []workload{lookups.withRate(22), coldLookups.withRate(11)}, speeds: []float64{1}, slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"look-up": 0.9},
		},
		// Two targets that take no connection any more.
		"dead targets": {
			load: simConfig{workloads: []workload{notices.withRate(170)}, speeds: unevenSpeeds(12), slots: 3, queue: 12, perturb: func(p *simulator, now time.Time) {
				if now.Unix() == 1003 {
					p.targets["t01"].dead, p.targets["t05"].dead = true, true
				}
			}},
			least: map[traffic.RouteName]float64{"notice": 0.93},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := test.load
			l.hosts, l.duration, l.seed, l.pool = 12, 20*time.Second, 7, PoolID{Service: "s"}
			for class, o := range simulate(l) {
				t.Logf("%s: asked %d, in aim %d, late %d, refused %d, failed %d, worth %.3f", class, o.sent, o.onTime, o.late, o.refused, o.failed, o.utility())
				if o.utility() < test.least[class] {
					t.Errorf("%s: worth %.3f, want %.2f at least", class, o.utility(), test.least[class])
				}
			}
		})
	}
}

// TestConnectionAffinity: hosts are sent to targets that they have a connection to, and
// get no less for it.
func TestConnectionAffinity(t *testing.T) {
	tests := map[string]struct {
		perS  float64
		worth float64
		dials float64 // a request
	}{
		"a third of the slots": {320, 0.97, 0.12},
		"three quarters":       {720, 0.97, 0.12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newSimulator(simConfig{
				workloads: []workload{notices.withRate(test.perS)}, speeds: slices.Repeat([]float64{1}, 40), slots: 3, queue: 12,
				hosts: 40, duration: 20 * time.Second, seed: 7, pool: PoolID{Service: "s"},
			})
			o := p.simulate()["notice"]
			dials := float64(p.dials) / float64(o.sent)
			t.Logf("worth %.3f, %.3f dials a request", o.utility(), dials)
			assert.Assert(t, o.utility() >= test.worth)
			assert.Assert(t, dials <= test.dials)
		})
	}
}

// TestAffinityForgotten: what a home remembers of where it sent a host ends with the
// host's life, as its connections do.
func TestAffinityForgotten(t *testing.T) {
	tests := map[string]func(h *Home, now time.Time){
		"started again": func(h *Home, now time.Time) {
			h.Handle(now, Peer{Host: "a", Incarnation: 2, Zone: "z"}, Report{})
		},
		"silent": func(h *Home, now time.Time) { h.Tick(now.Add(2 * hostTimeout)) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newSimulator(simConfig{speeds: []float64{1, 1}, slots: 3})
			p.home.Handle(now, Peer{Host: "a", Incarnation: 1, Zone: "z"}, Acquire{ID: 1, Timeout: time.Second, SoftTimeout: time.Second})
			visits := p.home.pool(now, PoolID{}).affinity
			assert.Equal(t, len(visits), 1)
			end(p.home, now)
			assert.Equal(t, len(visits), 0)
		})
	}
}

// BenchmarkOverload plays a second of a pool with more work than it can do.
func BenchmarkOverload(b *testing.B) {
	for i := range b.N {
		simulate(simConfig{
			workloads: []workload{lookups.withRate(600), notices.withRate(100)}, speeds: unevenSpeeds(12), slots: 3, queue: 12,
			hosts: 12, duration: time.Second, seed: uint64(i), pool: PoolID{Service: "s"},
		})
	}
}
