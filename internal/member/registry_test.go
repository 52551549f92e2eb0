package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
)

// registrySim simulates hosts that send heartbeats to a registry, and the list that
// results from its decisions.
type registrySim struct {
	*Registry

	now    time.Time
	list   List
	hosts  map[place.Host]Host
	rank   int
	writes int
}

func newRegistrySim(hosts int) *registrySim {
	s := &registrySim{Registry: NewRegistry("a"), now: time.Unix(1000, 0), hosts: make(map[place.Host]Host)}
	for i := range hosts {
		s.start(place.Host(fmt.Sprintf("h%03d", i)), 1)
	}
	return s
}

func (s *registrySim) start(name place.Host, inc place.Incarnation) {
	s.hosts[name] = Host{Name: name, Incarnation: inc, Zone: "a"}
}

// run advances time. Changes that the registry asks for are in the list at the next
// step.
func (s *registrySim) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for _, h := range s.hosts {
			s.HandleHeartbeat(s.now, Heartbeat{Host: h, Rank: s.rank})
		}
		enter, remove := s.Due(s.now, &s.list)
		if len(enter)+len(remove) > 0 {
			s.writes++
		}
		for _, gone := range append(remove, enter...) {
			s.list.Hosts = without(s.list.Hosts, gone.Name)
		}
		s.list.Hosts = append(s.list.Hosts, enter...)
	}
}

func without(hosts []Host, name place.Host) []Host {
	var out []Host
	for _, h := range hosts {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

func (s *registrySim) incarnation(name place.Host) place.Incarnation {
	h, _ := s.list.Host(name)
	return h.Incarnation
}

// TestRegistry covers hosts that start, stop and restart.
func TestRegistry(t *testing.T) {
	tests := map[string]func(t *testing.T, s *registrySim){
		"hosts that start together are entered together": func(t *testing.T, s *registrySim) {
			s.run(time.Second)
			assert.Equal(t, len(s.list.Hosts), 60)
			assert.Equal(t, s.writes, 1)
		},
		"a minute without changes needs no write": func(t *testing.T, s *registrySim) {
			s.run(time.Minute)
			assert.Equal(t, s.writes, 1)
		},
		"a later incarnation replaces the one before": func(t *testing.T, s *registrySim) {
			s.run(time.Second)
			s.start("h007", 2)
			s.run(time.Second)
			assert.Equal(t, s.incarnation("h007"), place.Incarnation(2))
		},
		"an earlier incarnation does not replace a later one": func(t *testing.T, s *registrySim) {
			s.start("h007", 2)
			s.run(time.Second)
			s.start("h007", 1)
			s.run(time.Second)
			assert.Equal(t, s.incarnation("h007"), place.Incarnation(2))
		},
		"a silent host is removed, but not at once": func(t *testing.T, s *registrySim) {
			s.run(10 * time.Second)
			delete(s.hosts, "h007")
			s.run(heartbeatTimeout - time.Second)
			assert.Equal(t, len(s.list.Hosts), 60)
			s.run(2 * time.Second)
			assert.Equal(t, len(s.list.Hosts), 59)
		},
		"a registrar with heartbeats from few hosts removes none": func(t *testing.T, s *registrySim) {
			s.run(10 * time.Second)
			for i := range 31 {
				delete(s.hosts, place.Host(fmt.Sprintf("h%03d", i)))
			}
			s.run(time.Minute)
			assert.Equal(t, len(s.list.Hosts), 60)
		},
		"a new registrar removes none": func(t *testing.T, s *registrySim) {
			s.list.Hosts = append(s.list.Hosts, Host{Name: "gone", Incarnation: 1, Zone: "a"})
			s.run(heartbeatTimeout - time.Second)
			assert.Equal(t, len(s.list.Hosts), 61)
			s.run(2 * time.Second)
			assert.Equal(t, len(s.list.Hosts), 60)
		},
		"hosts of other zones are not removed": func(t *testing.T, s *registrySim) {
			s.list.Hosts = append(s.list.Hosts, Host{Name: "far", Incarnation: 1, Zone: "b"})
			s.run(time.Minute)
			assert.Equal(t, len(s.list.Hosts), 61)
		},
		"the second registrar waits for the first one": func(t *testing.T, s *registrySim) {
			s.rank = 1
			s.run(rankDelay)
			assert.Equal(t, len(s.list.Hosts), 0)
			s.run(time.Second)
			assert.Equal(t, len(s.list.Hosts), 60)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newRegistrySim(60)) })
	}
}
