// Package place names where things run: regions, availability zones, hosts and targets.
package place

import (
	"net/netip"
	"time"
)

// Region is the name of a region.
type Region string

// Zone is the name of an availability zone.
type Zone string

// Host is the name of an entry host, shared by all processes on it.
type Host string

// Target is the name of a target, unique in the whole deployment.
type Target string

// Incarnation distinguishes successive runs of a process at the same address.
type Incarnation uint64

// Liveness is the state of a host or target in the platform's list, which lags.
type Liveness uint8

// The states in the platform's list.
const (
	Live Liveness = iota
	Leaving
	Absent
)

// String returns the name of the state in logs and output.
func (l Liveness) String() string {
	switch l {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Absent:
		return "absent"
	}
	return "invalid"
}

// HostRow is an entry host as listed by the platform.
type HostRow struct {
	Host  Host
	Zone  Zone
	State Liveness
	// LeadAddr and EntryAddr are the peer addresses (UDP) of the host's lead and entry
	// processes.
	LeadAddr  netip.AddrPort
	EntryAddr netip.AddrPort
	// CPUShare is the host's share of a CPU core; zero if unknown.
	CPUShare float64
}

// strongShare is the least CPU share of a strong host, relative to the strongest one.
// Strong hosts get the work that grows with a whole service or zone.
const strongShare = 0.5

// Strong reports whether a host with the given CPU share is strong if the strongest
// host has maxShare.
func Strong(cpuShare, maxShare float64) bool { return cpuShare >= strongShare*maxShare }

// TargetRow is a target as listed by the platform.
type TargetRow struct {
	Target  Target
	Service string
	Zone    Zone
	State   Liveness
	Addr    netip.AddrPort
	// Incarnation distinguishes successive runs of a target with the same name; zero if
	// the platform does not report it.
	Incarnation Incarnation
	// Slots is the number of requests that the target runs at once; zero if the
	// platform does not report it.
	Slots int
	// WarmupLeft is how much longer the target is slow after its start.
	WarmupLeft time.Duration
}
