// Package settings holds the operators' configuration: typed values under
// paths, checked whole, committed by one compare-and-swap.
package settings

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// StorePath is where the accepted settings live in the platform's service.
const StorePath platform.Path = "settings/current"

// Team owns the subtree teams/<team>.
type Team string

// Caller is the name of a caller, unique in the deployment.
type Caller string

// Tenant groups callers that may see the same data.
type Tenant string

// Class is the kind of work of a route, in the order of the queue's weight.
type Class string

// The classes of work.
const (
	Interactive Class = "interactive"
	Registering Class = "registering"
	Bulk        Class = "bulk"
)

// Settings is one accepted revision of all settings. It is immutable.
type Settings struct {
	Revision platform.Revision
	// Number counts the accepted revisions; operators see it.
	Number      uint64
	Services    []Service
	Routes      []Route
	Callers     []CallerRow
	Limits      []Limit
	Delegations []Delegation
	Drains      []Drain
	Losses      []Loss
	// History holds the newest accepted writes, oldest first, bounded.
	History []Write

	index *index
	// unknownFields tells that a later release wrote fields that this one does not
	// know: such a document may be read but not written over.
	unknownFields bool
}

// Service is a service with a key space of its own.
type Service struct {
	Team   Team
	Name   key.Service
	Shards key.ShardCount
	Zones  []place.Zone
	// Targets lists targets that the platform's fleet list does not.
	Targets     []ServiceTarget
	Slots       int // concurrent requests that one target takes
	Connections int // connections that one target takes of all entry hosts
	// ChecksTerms tells whether the targets refuse orders of an older lead.
	ChecksTerms bool
	// Hold bounds serving without the store; zero stands for forever.
	Hold             time.Duration
	MovesPerMinute   int
	ImbalancePercent int
	// WarmUp is the length of a new target's ramp.
	WarmUp time.Duration
	// BodyBytes bounds a request's and an answer's body.
	BodyBytes int64
	// Shares lets other teams route to the service, each below a key prefix.
	Shares []Share
}

// Share lets the routes of another team reach keys that start with Prefix.
type Share struct {
	Team   Team
	Prefix string
}

// ServiceTarget is one target named by the settings.
type ServiceTarget struct {
	Target place.Target
	Zone   place.Zone
	Addr   netip.AddrPort
}

// KeySource tells where the key stands in a request.
type KeySource string

// The places of the key in a request.
const (
	KeyInPath   KeySource = "path"   // the path part named {key} in the route
	KeyInQuery  KeySource = "query"  // the query parameter of that name
	KeyInHeader KeySource = "header" // the header of that name
)

// Route leads requests of callers to a service.
type Route struct {
	Team    Team
	Name    string
	Service key.Service
	Callers []Caller
	Methods []string
	// Path is a pattern such as /balance/{key}.
	Path      string
	KeySource KeySource
	KeyName   string
	// KeyPrefix bounds the keys that the route's callers may name.
	KeyPrefix  string
	Class      Class
	Idempotent bool
	// Timeout is the longest time that a request of the route may take.
	Timeout time.Duration
}

// CallerRow is one caller with its credential, kept as a hash.
type CallerRow struct {
	Team   Team
	Name   Caller
	Tenant Tenant
	// CredentialHash is the SHA-256 of the bearer credential.
	CredentialHash [32]byte
}

// Limit bounds a caller's requests in one class.
type Limit struct {
	Team       Team
	Caller     Caller
	Class      Class
	PerSecond  float64
	Burst      int
	Concurrent int
}

// Delegation lets the bearer of a credential write below some paths. Team is
// empty for a delegation at the platform's level.
type Delegation struct {
	Team           Team
	Operator       string
	Below          []Path
	CredentialHash [32]byte
}

// Drain asks that a target or a zone gets no new work.
type Drain struct {
	Target place.Target
	Zone   place.Zone
	Reason string
}

// Loss declares that a target, host or zone is lost.
type Loss struct {
	Target place.Target
	Host   place.Host
	Zone   place.Zone
	By     string
	Reason string
}

// Write is one accepted write in the history.
type Write struct {
	ID     string
	Number uint64
	At     time.Time
	By     string
	Reason string
	Paths  []Path
	// Before holds the former value of each path, in the file format; empty
	// text stands for a path that had none. Rollback puts them back.
	Before []string
}
