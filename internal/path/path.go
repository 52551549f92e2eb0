// Package path judges the network paths from this host to targets by the results of its
// own attempts. A lost path says nothing about the target: other hosts may reach it.
//
// The package does no I/O and reads no clock.
package path

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const (
	// lostThreshold is how many distinct targets of a service must be unreachable, with no
	// response of the service in between, for all paths to it to count as lost. Fewer are
	// more likely crashed targets.
	lostThreshold = 3
	// minProbeInterval and maxProbeInterval bound the exponential backoff between two probes
	// of a lost path.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
	// maxProbes bounds the probes in flight, whatever the number of lost paths.
	maxProbes = 4
	// retention is how long a lost path is kept after the last attempt or probe.
	retention = 10 * time.Second
)

// Event is what an attempt shows about a path.
type Event uint8

// The events. Responded: the target sent a response. Unreachable: no connection to it could
// be made. Silent: the request was sent and got no response, or the connection broke; the path
// or the target may be at fault, so the path is probed.
const (
	Responded Event = iota + 1
	Unreachable
	Silent
)

// Table holds the paths to all targets of this host. It is not safe for concurrent use.
type Table struct {
	paths    map[place.Target]*path
	services map[key.Service]*service
	probing  int
}

// path is the path to one target. Paths without a failed attempt are not kept.
type path struct {
	row place.TargetRow
	// lost is set while no connection can be made, suspect after an attempt without a
	// response until a probe or another attempt shows what was at fault.
	lost, suspect bool
	probing       bool
	failures      int
	updatedAt     time.Time
	probeAt       time.Time
}

// service is what is known of all paths to the targets of a service.
type service struct {
	// unreachable holds the targets that were unreachable since the last response.
	unreachable map[place.Target]struct{}
	respondedAt time.Time
}

// New returns a table without observations.
func New() *Table {
	return &Table{paths: make(map[place.Target]*path), services: make(map[key.Service]*service)}
}

func (t *Table) service(name key.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{unreachable: make(map[place.Target]struct{})}
		t.services[name] = s
	}
	return s
}

// Record records the result of an attempt that started at sentAt. It reports whether
// the path was lost or regained by it.
func (t *Table) Record(now, sentAt time.Time, row place.TargetRow, e Event) bool {
	s := t.service(key.Service(row.Service))
	p := t.paths[row.Target]
	if e == Responded {
		s.respondedAt = now
		clear(s.unreachable)
		delete(t.paths, row.Target)
		return p != nil && p.lost
	}
	if p == nil || p.row.Addr != row.Addr || p.row.Incarnation != row.Incarnation {
		p = &path{probing: p != nil && p.probing}
		t.paths[row.Target] = p
	}
	p.row, p.updatedAt = row, now
	if e == Silent {
		if !p.lost && !p.suspect {
			p.suspect, p.probeAt = true, now
		}
		return false
	}
	if s.respondedAt.Before(sentAt) {
		s.unreachable[row.Target] = struct{}{}
	}
	changed := !p.lost
	p.lost, p.suspect = true, false
	p.probeAt = now.Add(min(minProbeInterval<<min(p.failures, maxDoublings), maxProbeInterval))
	p.failures++
	return changed
}

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 8

// Stalled records that an attempt which started at sentAt still has no response. If no
// target of the service has responded since, all paths may be lost: the target's path and
// a few others are probed.
func (t *Table) Stalled(now, sentAt time.Time, row place.TargetRow, others []place.TargetRow) {
	s := t.service(key.Service(row.Service))
	if !s.respondedAt.Before(sentAt) {
		return
	}
	t.Record(now, sentAt, row, Silent)
	for i := range others {
		if t.suspects(key.Service(row.Service)) >= lostThreshold {
			return
		}
		t.Record(now, sentAt, others[i], Silent)
	}
}

// suspects counts the paths to a service that are lost or suspected.
func (t *Table) suspects(name key.Service) int {
	n := 0
	for _, p := range t.paths {
		if key.Service(p.row.Service) == name {
			n++
		}
	}
	return n
}

// ServiceLost reports whether all paths to a service with the given number of targets
// count as lost.
func (t *Table) ServiceLost(name key.Service, targets int) bool {
	s := t.services[name]
	return s != nil && len(s.unreachable) > 0 && len(s.unreachable) >= min(lostThreshold, targets)
}

// Lost reports whether the last attempt to connect to the target failed, at the address that
// it has now.
func (t *Table) Lost(row place.TargetRow) bool {
	p := t.paths[row.Target]
	return p != nil && p.lost && p.row.Addr == row.Addr
}

// LostTargets returns the targets among rows, all those of a service, whose paths are lost:
// all of them if the service is.
func (t *Table) LostTargets(rows []place.TargetRow) []place.Target {
	if len(t.paths) == 0 || len(rows) == 0 {
		return nil
	}
	all := t.ServiceLost(key.Service(rows[0].Service), len(rows))
	var out []place.Target
	for i := range rows {
		if all || t.Lost(rows[i]) {
			out = append(out, rows[i].Target)
		}
	}
	return out
}

// NextProbe returns when Probes has to be called next, zero for never.
func (t *Table) NextProbe() time.Time {
	var next time.Time
	if t.probing >= maxProbes {
		return next
	}
	for _, p := range t.paths {
		if !p.probing && (next.IsZero() || p.probeAt.Before(next)) {
			next = p.probeAt
		}
	}
	return next
}

// Probes returns the targets whose paths are to be probed now. Each must be followed by
// Probed.
func (t *Table) Probes(now time.Time) []place.TargetRow {
	var due []*path
	for _, p := range t.paths {
		if !p.probing && !now.Before(p.probeAt) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *path) int {
		return cmp.Or(a.probeAt.Compare(b.probeAt), cmp.Compare(a.row.Target, b.row.Target))
	})
	due = due[:min(len(due), max(maxProbes-t.probing, 0))]
	out := make([]place.TargetRow, 0, len(due))
	for _, p := range due {
		p.probing = true
		t.probing++
		out = append(out, p.row)
	}
	return out
}

// Probed records the result of a probe that started at sentAt. Silent stands for a probe
// that could not be made. It reports whether the path was lost or regained by it.
func (t *Table) Probed(now, sentAt time.Time, row place.TargetRow, e Event) bool {
	t.probing--
	p := t.paths[row.Target]
	if p == nil {
		return false // a request got a response meanwhile
	}
	p.probing = false
	switch {
	case p.row.Addr != row.Addr:
		return false
	case e == Silent:
		p.probeAt = now.Add(minProbeInterval)
		return false
	case e == Unreachable:
		return t.Record(now, sentAt, row, Unreachable)
	}
	changed := t.Record(now, sentAt, row, Responded)
	// The other paths of the service are probed at once, as a partition has healed.
	for _, other := range t.paths {
		if other.row.Service == row.Service {
			other.probeAt, other.failures = now, 0
		}
	}
	return changed
}

// Prune removes the paths to targets that are no longer listed, or at another address, or were
// not used for a while. listed returns the row of a target.
func (t *Table) Prune(now time.Time, listed func(place.Target) (place.TargetRow, bool)) {
	gone := func(name place.Target, p *path) bool {
		row, ok := listed(name)
		return !p.probing && (!ok || row.Addr != p.row.Addr || now.Sub(p.updatedAt) > retention)
	}
	maps.DeleteFunc(t.paths, gone)
	for _, s := range t.services {
		maps.DeleteFunc(s.unreachable, func(name place.Target, _ struct{}) bool { return t.paths[name] == nil })
	}
}

// State is the state of the paths to one service.
type State struct {
	Service key.Service
	// Lost counts the lost paths.
	Lost int
	// Reached is when a target of the service last responded, zero for never.
	Reached time.Time
}

// States returns the services with a lost path by name.
func (t *Table) States() []State {
	lost := make(map[key.Service]int)
	for _, p := range t.paths {
		if p.lost {
			lost[key.Service(p.row.Service)]++
		}
	}
	out := make([]State, 0, len(lost))
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		out = append(out, State{Service: name, Lost: lost[name], Reached: t.services[name].respondedAt})
	}
	return out
}
