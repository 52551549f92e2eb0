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
	// busy is how many requests the host has there, most how many it had at
	// once: it opened as many connections.
	busy, most int
}

// visits are the last targets of each host, the newest last. Homes are not told
// of connections; they go by where they sent each host.
type visits map[place.Host][]visit

// enter notes that a request of the host is at a target.
func (v visits) enter(now time.Time, host place.Host, at *lane) {
	known := slices.DeleteFunc(v[host], func(o visit) bool { return o.busy == 0 && now.Sub(o.at) > connectionKept })
	v[host] = known
	o := visit{lane: at}
	if i := v.index(host, at); i >= 0 {
		o = known[i]
		known = slices.Delete(known, i, i+1)
	} else if len(known) == visitsMost {
		known = slices.Delete(known, 0, 1)
	}
	o.at = now
	o.busy++
	o.most = max(o.most, o.busy)
	v[host] = append(known, o)
}

// leave notes that a request of the host is no longer at a target.
func (v visits) leave(now time.Time, host place.Host, at *lane) {
	if i := v.index(host, at); i >= 0 && v[host][i].busy > 0 {
		v[host][i].busy--
		v[host][i].at = now
	}
}

func (v visits) index(host place.Host, at *lane) int {
	return slices.IndexFunc(v[host], func(o visit) bool { return o.lane == at })
}

// mark marks the targets to which a host probably has a free connection.
func (v visits) mark(now time.Time, host place.Host, mark uint64) {
	for _, o := range v[host] {
		if o.busy < o.most && now.Sub(o.at) <= connectionKept {
			o.lane.mark = mark
		}
	}
}
