// Package site describes the machine and the deployment that a process runs in: the
// settings it starts with.
package site

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Site describes one machine and the bounds of its deployment.
type Site struct {
	Host   place.Host
	Zone   place.Zone
	Region place.Region
	// Zones holds the region of each zone.
	Zones map[place.Zone]place.Region
	// Pressure is set if clients compete for too little capacity at times, so that
	// admission control has to be fair among kinds of requests.
	Pressure bool
	// Front accepts client requests, Ready the load balancer's probes.
	Front netip.AddrPort
	Ready netip.AddrPort
	// Peer and Ticket are the UDP addresses where other hosts reach this one: Peer for
	// replicated documents, Ticket for slot tickets.
	Peer   netip.AddrPort
	Ticket netip.AddrPort
	// Admin serves metrics and status.
	Admin netip.AddrPort
	// Seeds are the hosts to contact first; the list may be out of date.
	Seeds []Seed
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	// CPUShare is the number of cores that the machine has; it may be a fraction.
	CPUShare float64
	// Quarantine is how long a request under which targets have ended is refused before
	// it is tried again.
	Quarantine time.Duration
	// MemoryBytes and MaxFiles limit what a process may use.
	MemoryBytes int64
	MaxFiles    int
	// LinkRate is the rate of the machine's network link; zero if unknown.
	LinkRate BitRate
	Bounds   Bounds
}

// BitRate is a number of bits per second.
type BitRate float64

// controlLinkRate is the link rate that a host needs for each core that it uses: with 100
// to 300 hosts, the median host transfers 68 to 73 Mbit for each second of processor time.
const controlLinkRate BitRate = 60e6

// WorkShare returns the host's share of work for other hosts, as a number of cores: its
// cores, or fewer if its link can't carry what they would send.
func (s *Site) WorkShare() float64 {
	if s.LinkRate <= 0 {
		return s.CPUShare
	}
	return min(s.CPUShare, float64(s.LinkRate/controlLinkRate))
}

// Seed is a host that a process contacts before it knows any others.
type Seed struct{ Peer, Ticket netip.AddrPort }

// Bounds are the time limits and the retry budget of the deployment.
type Bounds struct {
	// Drain is how long a leaving target still accepts work after it announced its end.
	Drain time.Duration
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// ConfigApply is the time within which a configuration is in force on all hosts.
	ConfigApply time.Duration
	// MaxGrantDuration is the longest grant that a target accepts.
	MaxGrantDuration time.Duration
	// AddrReuse is how long the address of an ended target stays unused.
	AddrReuse time.Duration
	// Heartbeat is the interval between two heartbeats of a target.
	Heartbeat time.Duration
	// MinSessionTTL is the shortest session TTL that the store accepts.
	MinSessionTTL time.Duration
	Retry         RetryBudget
	// Evacuate is how long after the acknowledgement of a zone's evacuation requests may
	// still reach its targets; zero if zones are not evacuated.
	Evacuate time.Duration
	// In any second, all hosts together may send a cold target WarmupOverage times the
	// requests that it bears in a second, plus WarmupSlack; zero if there is no bound.
	WarmupOverage, WarmupSlack float64
}

// RetryBudget limits retries across all hosts: in any window at most Ratio times the
// requests, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}
