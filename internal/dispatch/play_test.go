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

// kindOfWork is one class of requests in a played load.
type kindOfWork struct {
	class    traffic.RouteName
	priority traffic.Priority
	perS     float64
	work     time.Duration
	aim      time.Duration
	deadline time.Duration
	// cold requests are of the route that is named here, take longer, and are
	// marked.
	cold traffic.RouteName
}

// played is a load on one pool, and the targets that it meets.
type played struct {
	kinds   []kindOfWork
	speeds  []float64 // of the targets
	slots   int
	queue   int // of a target
	hosts   int
	lasts   time.Duration
	seed    uint64
	pool    PoolID
	perturb func(p *player, now time.Time) // called every 100 ms
}

// outcomeOfKind counts what the clients of one kind got.
type outcomeOfKind struct {
	asked, inAim, late, refused, failed int
	waits                               time.Duration // of refused requests, before the refusal
}

func (o *outcomeOfKind) worth() float64 {
	return (float64(o.inAim) + 0.3*float64(o.late)) / float64(max(o.asked, 1))
}

// event is something that happens at a time in a played load.
type playEvent struct {
	at time.Time
	do func(now time.Time)
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// playTarget serves requests with slots and a short queue of its own.
type playTarget struct {
	row     place.TargetRow
	speed   float64
	running int
	queue   []func(now time.Time)
	dead    bool
	grey    float64 // share of requests that it refuses
	loses   float64 // share of requests that it runs, and whose answer is lost
}

// player plays a load against real clients and one real home.
type player struct {
	played

	rng     *rand.Rand
	now     time.Time
	events  playEvents
	targets map[place.Target]*playTarget
	names   []place.Target
	home    *Home
	clients []*Client
	waits   []map[TicketID]func(now time.Time, m Message)
	results map[traffic.RouteName]*outcomeOfKind
	// links are the connections of each client to each target, dials counts
	// those that were opened.
	links map[linkID]*link
	dials int
}

// linkID names a client and a target.
type linkID struct {
	client int
	target place.Target
}

// link is the connections between the two, which are kept.
type link struct{ open, busy int }

// connect uses a connection, and opens one where none is idle.
func (p *player) connect(id linkID) *link {
	l := p.links[id]
	if l == nil {
		l = &link{}
		p.links[id] = l
	}
	l.busy++
	if l.busy > l.open {
		l.open++
		p.dials++
	}
	return l
}

const playTravel = time.Millisecond // between any two processes

func (p *player) Members(PoolID) []place.TargetRow {
	out := make([]place.TargetRow, 0, len(p.names))
	for _, name := range p.names {
		out = append(out, p.targets[name].row)
	}
	return out
}

func (p *player) Ranked(PoolID) []place.Host { return []place.Host{"home"} }

func (p *player) after(d time.Duration, do func(now time.Time)) {
	heap.Push(&p.events, playEvent{p.now.Add(d), do})
}

func play(l played) map[traffic.RouteName]*outcomeOfKind { return newPlayer(l).play() }

func newPlayer(l played) *player {
	p := &player{
		played: l, rng: rand.New(rand.NewPCG(l.seed, 1)), now: time.Unix(1000, 0),
		targets: make(map[place.Target]*playTarget), results: make(map[traffic.RouteName]*outcomeOfKind),
		links: make(map[linkID]*link),
	}
	for i, speed := range l.speeds {
		name := place.Target(fmt.Sprintf("t%02d", i))
		p.names = append(p.names, name)
		p.targets[name] = &playTarget{speed: speed, row: place.TargetRow{
			Target: name, Zone: "z", Slots: l.slots, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}}
	}
	p.home = NewHome(p)
	for range l.hosts {
		p.clients = append(p.clients, NewClient(p))
		p.waits = append(p.waits, make(map[TicketID]func(time.Time, Message)))
	}
	return p
}

func (p *player) play() map[traffic.RouteName]*outcomeOfKind {
	end := p.now.Add(p.lasts)
	for _, k := range p.kinds {
		p.results[k.class] = &outcomeOfKind{}
		p.arrive(k, end)
	}
	p.tick(end)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do(p.now)
	}
	return p.results
}

func (p *player) arrive(k kindOfWork, end time.Time) {
	p.after(time.Duration(p.rng.ExpFloat64()/k.perS*float64(time.Second)), func(now time.Time) {
		if now.After(end) {
			return
		}
		p.results[k.class].asked++
		p.request(now, k, now, 1, nil)
		p.arrive(k, end)
	})
}

func (p *player) tick(end time.Time) {
	p.after(10*time.Millisecond, func(now time.Time) {
		for i, c := range p.clients {
			c.Tick(now)
			p.flush(i)
		}
		p.letters(p.home.Tick(now))
		if p.perturb != nil && now.UnixMilli()%100 < 10 {
			p.perturb(p, now)
		}
		if now.Before(end.Add(5 * time.Second)) {
			p.tick(end)
		}
	})
}

// request is one attempt of a client; retries are what it may still do.
func (p *player) request(now time.Time, k kindOfWork, first time.Time, retries int, tried []place.Target) {
	i := p.rng.IntN(len(p.clients))
	c := p.clients[i]
	result := p.results[k.class]
	left := k.deadline - now.Sub(first)
	class := k.class
	if k.cold != "" {
		class = k.cold
	}
	id := c.Ask(now, Ask{
		Cold: k.cold != "",
		Pool: p.pool, Class: class, Priority: k.priority, Left: left, Aim: k.aim - now.Sub(first), Tried: tried,
	})
	p.waits[i][id] = func(now time.Time, m Message) {
		switch m := m.(type) {
		case Placed:
			p.after(playTravel, func(now time.Time) { p.run(now, i, id, m.Target, k, first, retries, tried) })
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

// run lets a target work on a request.
func (p *player) run(now time.Time, i int, id TicketID, name place.Target, k kindOfWork, first time.Time, retries int, tried []place.Target) {
	t := p.targets[name]
	started := now
	l := p.connect(linkID{i, name})
	done := func(now time.Time, end End) {
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
		p.after(300*time.Millisecond, func(now time.Time) { done(now, EndUnreachable); again(now) })
		return
	}
	if p.rng.Float64() < t.grey || len(t.queue) >= p.queue {
		p.after(2*playTravel, func(now time.Time) { done(now, EndBusy); again(now) })
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
			if p.rng.Float64() < t.loses {
				p.after(k.deadline-now.Sub(first), func(now time.Time) {
					done(now, EndTimeout)
					p.results[k.class].failed++
				})
				return
			}
			p.after(playTravel, func(now time.Time) {
				done(now, EndServed)
				switch took := now.Sub(first); {
				case took <= k.aim:
					p.results[k.class].inAim++
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
func (p *player) flush(i int) {
	out, verdicts := p.clients[i].Flush()
	from := Peer{Host: place.Host(fmt.Sprintf("h%d", i)), Life: 1, Zone: "z"}
	for _, d := range out {
		p.after(playTravel, func(now time.Time) { p.letters(p.home.Handle(now, from, d.Message)) })
	}
	for _, v := range verdicts {
		if f := p.waits[i][v.ID]; f != nil {
			delete(p.waits[i], v.ID)
			f(p.now, v.Message)
		}
	}
}

func (p *player) letters(out []Letter) {
	for _, l := range out {
		var i int
		_, _ = fmt.Sscanf(string(l.To.Host), "h%d", &i)
		p.after(playTravel, func(now time.Time) {
			p.clients[i].Hear(now, "home", l.Message)
			p.flush(i)
		})
	}
}

var (
	lookups = kindOfWork{class: "look-up", priority: 2, work: 90 * time.Millisecond, aim: 300 * time.Millisecond, deadline: 1200 * time.Millisecond}
	notices = kindOfWork{class: "notice", priority: 1, work: 120 * time.Millisecond, aim: 400 * time.Millisecond, deadline: 1500 * time.Millisecond}
	plans   = kindOfWork{class: "plan", priority: 0, work: 63 * time.Millisecond, aim: 200 * time.Millisecond, deadline: 800 * time.Millisecond}
)

var coldLookups = kindOfWork{
	class: "cold look-up", cold: lookups.class, priority: lookups.priority, work: 5 * lookups.work, aim: lookups.aim, deadline: lookups.deadline,
}

func (k kindOfWork) at(perS float64) kindOfWork {
	k.perS = perS
	return k
}

func uneven(n int) []float64 {
	speeds := []float64{0.5, 1, 1, 1.5}
	out := make([]float64, n)
	for i := range out {
		out[i] = speeds[i%len(speeds)]
	}
	return out
}

func TestPlayedLoads(t *testing.T) {
	tests := map[string]struct {
		load played
		// least is the worth per request that clients must get at least.
		least map[traffic.RouteName]float64
	}{
		// 12 uneven targets at three quarters of what they can do.
		"heavy": {
			load:  played{kinds: []kindOfWork{notices.at(225)}, speeds: uneven(12), slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"notice": 0.97},
		},
		// Twice what one target can do, as a hot key brings it.
		"one target at twice its load": {
			load:  played{kinds: []kindOfWork{lookups.at(66)}, speeds: []float64{1}, slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"look-up": 0.4},
		},
		// Urgent work beside look-ups that alone would fill the targets.
		"urgent beside too many": {
			load:  played{kinds: []kindOfWork{lookups.at(300), plans.at(60)}, speeds: uneven(6), slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"plan": 0.97, "look-up": 0.4},
		},
		// A sixth of the targets twelve times slower for a while.
		"slow targets": {
			load: played{kinds: []kindOfWork{notices.at(170)}, speeds: uneven(12), slots: 3, queue: 12, perturb: func(p *player, now time.Time) {
				if now.Unix() == 1003 {
					p.targets["t01"].speed, p.targets["t05"].speed = 0.08, 0.08
				}
			}},
			least: map[traffic.RouteName]float64{"notice": 0.93},
		},
		// Two targets that refuse half of their requests.
		"grey targets": {
			load: played{kinds: []kindOfWork{notices.at(170)}, speeds: uneven(12), slots: 3, queue: 12, perturb: func(p *player, now time.Time) {
				if now.Unix() == 1003 {
					p.targets["t01"].grey, p.targets["t05"].grey = 0.5, 0.5
				}
			}},
			least: map[traffic.RouteName]float64{"notice": 0.97},
		},
		// Targets that run everything and lose one answer in twenty.
		"lost answers": {
			load: played{kinds: []kindOfWork{lookups.at(20)}, speeds: []float64{1}, slots: 3, queue: 12, perturb: func(p *player, now time.Time) {
				p.targets["t00"].loses = 0.05
			}},
			least: map[traffic.RouteName]float64{"look-up": 0.85},
		},
		// A target that took keys of a lost one without a handover: as many
		// requests for cold keys as for warm ones, each worth a late answer.
		"cold keys beside warm ones": {
			load:  played{kinds: []kindOfWork{lookups.at(22), coldLookups.at(11)}, speeds: []float64{1}, slots: 3, queue: 12},
			least: map[traffic.RouteName]float64{"look-up": 0.9},
		},
		// Two targets that take no connection any more.
		"dead targets": {
			load: played{kinds: []kindOfWork{notices.at(170)}, speeds: uneven(12), slots: 3, queue: 12, perturb: func(p *player, now time.Time) {
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
			l.hosts, l.lasts, l.seed, l.pool = 12, 20*time.Second, 7, PoolID{Service: "s"}
			for class, o := range play(l) {
				t.Logf("%s: asked %d, in aim %d, late %d, refused %d, failed %d, worth %.3f", class, o.asked, o.inAim, o.late, o.refused, o.failed, o.worth())
				if o.worth() < test.least[class] {
					t.Errorf("%s: worth %.3f, want %.2f at least", class, o.worth(), test.least[class])
				}
			}
		})
	}
}

// TestConnections: hosts are sent to targets that they have a connection to, and
// get no less for it.
func TestConnections(t *testing.T) {
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
			p := newPlayer(played{
				kinds: []kindOfWork{notices.at(test.perS)}, speeds: slices.Repeat([]float64{1}, 40), slots: 3, queue: 12,
				hosts: 40, lasts: 20 * time.Second, seed: 7, pool: PoolID{Service: "s"},
			})
			o := p.play()["notice"]
			dials := float64(p.dials) / float64(o.asked)
			t.Logf("worth %.3f, %.3f dials a request", o.worth(), dials)
			assert.Assert(t, o.worth() >= test.worth)
			assert.Assert(t, dials <= test.dials)
		})
	}
}

// TestVisitsEnd: what a home remembers of where it sent a host ends with the
// host's life, as its connections do.
func TestVisitsEnd(t *testing.T) {
	tests := map[string]func(h *Home, now time.Time){
		"started again": func(h *Home, now time.Time) {
			h.Handle(now, Peer{Host: "a", Life: 2, Zone: "z"}, Report{})
		},
		"silent": func(h *Home, now time.Time) { h.Tick(now.Add(2 * lostAfter)) },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newPlayer(played{speeds: []float64{1, 1}, slots: 3})
			p.home.Handle(now, Peer{Host: "a", Life: 1, Zone: "z"}, Ask{ID: 1, Left: time.Second, Aim: time.Second})
			visits := p.home.pool(now, PoolID{}).visits
			assert.Equal(t, len(visits), 1)
			end(p.home, now)
			assert.Equal(t, len(visits), 0)
		})
	}
}

// BenchmarkOverload plays a second of a pool with more work than it can do.
func BenchmarkOverload(b *testing.B) {
	for i := range b.N {
		play(played{
			kinds: []kindOfWork{lookups.at(600), notices.at(100)}, speeds: uneven(12), slots: 3, queue: 12,
			hosts: 12, lasts: time.Second, seed: uint64(i), pool: PoolID{Service: "s"},
		})
	}
}
