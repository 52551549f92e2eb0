// Package place names where things run: regions, zones, hosts and targets.
package place

import (
	"net/netip"
	"time"
)

// Region is the name of a region.
type Region string

// Zone is the name of an availability zone.
type Zone string

// Host is the name of an entry host. Every process of the host shares it.
type Host string

// Target is the name of a target, unique in the whole deployment.
type Target string

// Incarnation tells one life of a process from the next at the same address.
type Incarnation uint64

// Liveness is what the platform's lagging list says of a host or target.
type Liveness uint8

// The states of the platform's list.
const (
	Live Liveness = iota
	Leaving
	Absent
)

// String returns the state's word in logs and output.
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

// HostRow is one entry host as the platform lists it.
type HostRow struct {
	Host  Host
	Zone  Zone
	State Liveness
	// LeadAddr and Entry are the peer addresses (UDP) of the host's processes.
	LeadAddr  netip.AddrPort
	EntryAddr netip.AddrPort
	// CPUShare is the host's share of a core, zero where it is not known.
	CPUShare float64
}

// strongShare is the part of the strongest host's processor from which a host
// counts as strong: work that grows with a whole service or zone goes to these.
const strongShare = 0.5

// Strong reports whether a host with a processor is strong where the strongest
// one has most.
func Strong(processor, most float64) bool { return processor >= strongShare*most }

// TargetRow is one target as the platform lists it.
type TargetRow struct {
	Target  Target
	Service string
	Zone    Zone
	State   Liveness
	Addr    netip.AddrPort
	// Incarnation tells the lives of a target that starts again under its name; zero
	// where the platform does not say.
	Incarnation Incarnation
	// Slots is how many requests the target works on at once, where the
	// platform says so.
	Slots int
	// WarmupLeft is how much longer the target is slow after its start.
	WarmupLeft time.Duration
}
