package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// TestConnectFailuresOfOneHost: a target is down for all hosts only if hosts on several paths
// fail to connect and it responds to none meanwhile.
func TestConnectFailuresOfOneHost(t *testing.T) {
	type attempt struct {
		host   place.Host
		result Result
	}
	tests := map[string]struct {
		before []attempt
		// during are the results of attempts that began together, in this order.
		during []attempt
		// served are the hosts that get a slot right after them.
		served, refused []place.Host
	}{
		"one host fails":               {during: []attempt{{"a", ResultUnreachable}}, served: []place.Host{"a", "b", "c"}},
		"one host fails again":         {during: []attempt{{"a", ResultUnreachable}, {"a", ResultUnreachable}}, served: []place.Host{"b", "c"}},
		"two hosts fail":               {during: []attempt{{"a", ResultUnreachable}, {"b", ResultUnreachable}}, refused: []place.Host{"a", "b", "c"}},
		"another host is served":       {during: []attempt{{"c", ResultServed}, {"a", ResultUnreachable}, {"b", ResultUnreachable}}, served: []place.Host{"c", "d"}},
		"served before they began":     {before: []attempt{{"c", ResultServed}}, during: []attempt{{"a", ResultUnreachable}, {"b", ResultUnreachable}}, refused: []place.Host{"c"}},
		"served after the target fell": {during: []attempt{{"a", ResultUnreachable}, {"b", ResultUnreachable}, {"c", ResultServed}}, served: []place.Host{"c", "d"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			home := NewHome(oneTarget{})
			pool := PoolID{Service: key.Service("s"), Target: "t"}
			lastID := TicketID(0)
			peer := func(name place.Host) Peer { return Peer{Host: name, Incarnation: 1, Zone: "z"} }
			acquire := func(host place.Host) (TicketID, bool) {
				now = now.Add(time.Millisecond)
				lastID++
				out := home.Handle(now, peer(host), Acquire{ID: lastID, Pool: pool, Class: "c", Timeout: time.Second, SoftTimeout: time.Second})
				_, assigned := out[0].Message.(Assigned)
				return lastID, assigned
			}
			play := func(attempts []attempt) {
				ids := make([]TicketID, len(attempts))
				for i, a := range attempts {
					var ok bool
					ids[i], ok = acquire(a.host)
					assert.Assert(t, ok)
				}
				for i, a := range attempts {
					now = now.Add(10 * time.Millisecond)
					home.Handle(now, peer(a.host), Done{ID: ids[i], Pool: pool, Target: "t", Class: "c", Result: a.result, Took: 10 * time.Millisecond})
				}
			}
			play(test.before)
			play(test.during)
			for _, host := range test.served {
				id, ok := acquire(host)
				assert.Check(t, ok, "host %s", host)
				home.Handle(now, peer(host), Done{ID: id, Pool: pool, Target: "t", Class: "c", Result: ResultUnused})
			}
			for _, host := range test.refused {
				_, ok := acquire(host)
				assert.Check(t, !ok, "host %s", host)
			}
		})
	}
}

// TestBackoffOfBurst: attempts that fail together put a target into one short backoff, however
// many they are.
func TestBackoffOfBurst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTargetState(place.TargetRow{Target: "t", Slots: 3}, now)
	for range 8 {
		s.connectFailed(now.Add(300*time.Millisecond), now, minDownHosts)
	}
	assert.Assert(t, !s.available(now.Add(300*time.Millisecond)))
	assert.Assert(t, s.available(now.Add(300*time.Millisecond+minBackoff)))
	now = now.Add(time.Second)
	s.connectFailed(now, now, minDownHosts)
	assert.Assert(t, !s.available(now.Add(minBackoff)))
}

// TestPathBackoff: a host that could not connect to one of several targets gets slots of the
// others, and other hosts get slots of all.
func TestPathBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPool(PoolID{Service: "s"}, nil, newBreakers(), newLimiters())
	p.catalog = oneTarget{}
	p.setTargets(now, []place.TargetRow{{Target: "t0", Slots: 3}, {Target: "t1", Slots: 3}})
	p.targets["t0"].paths.connectFailed(now, now, "a")
	for host, want := range map[place.Host]bool{"a": false, "b": true} {
		got := make(map[place.Target]bool)
		for i := range 6 {
			w := &waiter{key: ticketKey{host: host, id: TicketID(i)}, mean: time.Millisecond, deadline: now.Add(time.Second), softDeadline: now.Add(time.Second)}
			c, _ := p.round(now).best(w)
			got[c.Target] = true
			c.running[w.key] = &ticket{key: w.key}
		}
		for _, s := range p.targets {
			clear(s.running)
		}
		assert.Equal(t, got["t0"], want, "host %s", host)
	}
}
