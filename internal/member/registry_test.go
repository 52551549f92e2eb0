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
	b := &registrySim{Registry: NewRegistry("a"), now: time.Unix(1000, 0), hosts: make(map[place.Host]Host)}
	for i := range hosts {
		b.start(place.Host(fmt.Sprintf("h%03d", i)), 1)
	}
	return b
}

func (b *registrySim) start(name place.Host, inc place.Incarnation) {
	b.hosts[name] = Host{Name: name, Incarnation: inc, Zone: "a"}
}

// run advances time. Changes that the registry asks for are in the list at the next
// step.
func (b *registrySim) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(step) {
		for _, h := range b.hosts {
			b.HandleHeartbeat(b.now, Heartbeat{Host: h, Rank: b.rank})
		}
		enter, remove := b.Due(b.now, &b.list)
		if len(enter)+len(remove) > 0 {
			b.writes++
		}
		for _, gone := range append(remove, enter...) {
			b.list.Hosts = without(b.list.Hosts, gone.Name)
		}
		b.list.Hosts = append(b.list.Hosts, enter...)
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

func (b *registrySim) incarnation(name place.Host) place.Incarnation {
	h, _ := b.list.Host(name)
	return h.Incarnation
}

// TestRegistry covers hosts that start, stop and restart.
func TestRegistry(t *testing.T) {
	tests := map[string]func(t *testing.T, b *registrySim){
		"hosts that start together are entered together": func(t *testing.T, b *registrySim) {
			b.run(time.Second)
			assert.Equal(t, len(b.list.Hosts), 60)
			assert.Equal(t, b.writes, 1)
		},
		"a minute without changes needs no write": func(t *testing.T, b *registrySim) {
			b.run(time.Minute)
			assert.Equal(t, b.writes, 1)
		},
		"a later incarnation replaces the one before": func(t *testing.T, b *registrySim) {
			b.run(time.Second)
			b.start("h007", 2)
			b.run(time.Second)
			assert.Equal(t, b.incarnation("h007"), place.Incarnation(2))
		},
		"an earlier incarnation does not": func(t *testing.T, b *registrySim) {
			b.start("h007", 2)
			b.run(time.Second)
			b.start("h007", 1)
			b.run(time.Second)
			assert.Equal(t, b.incarnation("h007"), place.Incarnation(2))
		},
		"a silent host is removed, but not at once": func(t *testing.T, b *registrySim) {
			b.run(10 * time.Second)
			delete(b.hosts, "h007")
			b.run(maxSilence - time.Second)
			assert.Equal(t, len(b.list.Hosts), 60)
			b.run(2 * time.Second)
			assert.Equal(t, len(b.list.Hosts), 59)
		},
		"a registrar that hears from few hosts removes none": func(t *testing.T, b *registrySim) {
			b.run(10 * time.Second)
			for i := range 31 {
				delete(b.hosts, place.Host(fmt.Sprintf("h%03d", i)))
			}
			b.run(time.Minute)
			assert.Equal(t, len(b.list.Hosts), 60)
		},
		"a new registrar removes none": func(t *testing.T, b *registrySim) {
			b.list.Hosts = append(b.list.Hosts, Host{Name: "gone", Incarnation: 1, Zone: "a"})
			b.run(maxSilence - time.Second)
			assert.Equal(t, len(b.list.Hosts), 61)
			b.run(2 * time.Second)
			assert.Equal(t, len(b.list.Hosts), 60)
		},
		"hosts of other zones are not removed": func(t *testing.T, b *registrySim) {
			b.list.Hosts = append(b.list.Hosts, Host{Name: "far", Incarnation: 1, Zone: "b"})
			b.run(time.Minute)
			assert.Equal(t, len(b.list.Hosts), 61)
		},
		"the second registrar waits for the first one": func(t *testing.T, b *registrySim) {
			b.rank = 1
			b.run(rankDelay)
			assert.Equal(t, len(b.list.Hosts), 0)
			b.run(time.Second)
			assert.Equal(t, len(b.list.Hosts), 60)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newRegistrySim(60)) })
	}
}
