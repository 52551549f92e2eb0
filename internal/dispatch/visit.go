package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// newConnection is what a target costs on top to which the asking host has
	// probably no free connection, as a share of the request's mean time. Opening
	// one is billed as a fortieth of a request; times of equal targets differ by
	// a seventh by chance.
	newConnection = 0.35
	// connectionKept is how long a connection is expected to be kept unused.
	// Hosts keep theirs for 15 s, targets about as long.
	connectionKept = 10 * time.Second
	// visitsMost is how many targets are remembered of each host. One that runs
	// eight requests at a time needs no more.
	visitsMost = 32
)

// visit is a target that a host was sent to.
type visit struct {
	lane *lane
	at   time.Time
	// most is how many requests the host had there at once: it opened as many
	// connections.
	most int
}

// visits are the last targets of each host. Homes are not told of connections;
// they go by where they sent each host.
type visits map[place.Host][]visit

// note remembers that a request of the host is at a target.
func (v visits) note(now time.Time, host place.Host, at *lane) {
	known := slices.DeleteFunc(v[host], func(o visit) bool { return now.Sub(o.at) > connectionKept })
	busy := at.runningOf(host)
	if i := slices.IndexFunc(known, func(o visit) bool { return o.lane == at }); i >= 0 {
		busy = max(busy, known[i].most)
		known = slices.Delete(known, i, i+1)
	} else if len(known) == visitsMost {
		known = slices.Delete(known, 0, 1)
	}
	v[host] = append(known, visit{at, now, busy})
}

// free marks the targets to which a host probably has a free connection.
func (v visits) free(now time.Time, host place.Host, mark uint64) {
	for _, o := range v[host] {
		if now.Sub(o.at) <= connectionKept && o.lane.runningOf(host) < o.most {
			o.lane.mark = mark
		}
	}
}

// runningOf returns how many requests of a host run at the target.
func (l *lane) runningOf(host place.Host) int {
	n := 0
	for key := range l.running {
		if key.host == host {
			n++
		}
	}
	return n
}
