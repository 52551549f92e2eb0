package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// newConnectionCost is added to the score of a target to which the requesting
	// host probably has no idle connection, as a share of the request's mean time.
	// Opening a connection is billed as a fortieth of a request; the times of equal
	// targets differ by a seventh by chance.
	newConnectionCost = 0.35
	// connectionIdleTimeout is how long an unused connection is assumed to stay open.
	// Hosts close theirs after 15 s, targets after about as long.
	connectionIdleTimeout = 10 * time.Second
	// maxAffinityEntries bounds the targets remembered per host. A host with eight
	// requests in flight needs no more.
	maxAffinityEntries = 32
)

// affinityEntry records a host's use of one target.
type affinityEntry struct {
	target *targetState
	usedAt time.Time
	// inFlight is how many requests the host has at the target. peak is the highest
	// such number so far: the host has opened as many connections.
	inFlight, peak int
}

// affinity holds the targets that each host used last, the most recent one last. From
// these, a home estimates which connections a host has open: no message reports them.
type affinity map[place.Host][]affinityEntry

// begin records that a request of the host starts at a target.
func (a affinity) begin(now time.Time, host place.Host, state *targetState) {
	entries := slices.DeleteFunc(a[host], func(entry affinityEntry) bool {
		return entry.inFlight == 0 && now.Sub(entry.usedAt) > connectionIdleTimeout
	})
	a[host] = entries
	entry := affinityEntry{target: state}
	if i := a.index(host, state); i >= 0 {
		entry = entries[i]
		entries = slices.Delete(entries, i, i+1)
	} else if len(entries) == maxAffinityEntries {
		entries = slices.Delete(entries, 0, 1)
	}
	entry.usedAt = now
	entry.inFlight++
	entry.peak = max(entry.peak, entry.inFlight)
	a[host] = append(entries, entry)
}

// finish records that a request of the host has ended at a target.
func (a affinity) finish(now time.Time, host place.Host, state *targetState) {
	if i := a.index(host, state); i >= 0 && a[host][i].inFlight > 0 {
		a[host][i].inFlight--
		a[host][i].usedAt = now
	}
}

func (a affinity) index(host place.Host, state *targetState) int {
	return slices.IndexFunc(a[host], func(entry affinityEntry) bool { return entry.target == state })
}

// mark sets connMark of the targets to which a host probably has an idle connection.
func (a affinity) mark(now time.Time, host place.Host, mark uint64) {
	for _, entry := range a[host] {
		if entry.inFlight < entry.peak && now.Sub(entry.usedAt) <= connectionIdleTimeout {
			entry.target.connMark = mark
		}
	}
}
