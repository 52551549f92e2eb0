// Package site holds what a process is told of its machine and its deployment
// before it knows anything else.
package site

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Site describes one machine and the bounds of the deployment.
type Site struct {
	Host   place.Host
	Zone   place.Zone
	Region place.Region
	// Front takes clients' requests, Ready answers the balancer's probes.
	Front netip.AddrPort
	Ready netip.AddrPort
	// Peer and Ticket are the UDP addresses that other hosts reach this one
	// at: Peer for documents, Ticket for the sharing of slots.
	Peer   netip.AddrPort
	Ticket netip.AddrPort
	// Admin serves metrics and status.
	Admin netip.AddrPort
	// Seeds are hosts to start from; they may be stale.
	Seeds []Seed
	// FirstStart tells that the whole deployment starts for the first time.
	FirstStart bool
	// CPUShare is the share of a core that the machine has.
	CPUShare float64
	// MemoryBytes is what a process may use, Descriptors how many files.
	MemoryBytes int64
	MaxFiles    int
	Bounds      Bounds
}

// Seed is a host that a process may ask before it knows any others.
type Seed struct{ Peer, Ticket netip.AddrPort }

// Bounds are what the deployment promises to its operators and clients.
type Bounds struct {
	// Drain is how long after its notice a leaving target still takes work.
	Drain time.Duration
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// ConfigApply is the time within which a configuration is in force everywhere.
	ConfigApply time.Duration
	// MaxGrantDuration is the longest grant that a target takes.
	MaxGrantDuration time.Duration
	// AddrReuse is how long the address of a target that ended stays unused.
	AddrReuse time.Duration
	// Heartbeat is the time between two signs of life of a target.
	Heartbeat time.Duration
	// MinSessionTTL is the shortest session that the store takes.
	MinSessionTTL time.Duration
	Retry         RetryBudget
}

// RetryBudget bounds how often requests are sent again, over all hosts: in any
// window, at most Ratio times the requests and Slack on top.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}
