// Package settings holds the operators' configuration: typed values at paths,
// validated as a whole and committed by one compare-and-swap.
package settings

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// StorePath is the path of the accepted settings in the platform's service.
const StorePath platform.Path = "settings/current"

// Team owns the subtree teams/<team>.
type Team string

// Caller is the name of a caller, unique in the deployment.
type Caller string

// Tenant is a group of callers that may see the same data.
type Tenant string

// Class is the class of a route's requests. The constants are in descending order
// of their weight in queues.
type Class string

// Request classes.
const (
	Interactive Class = "interactive"
	Registering Class = "registering"
	Bulk        Class = "bulk"
)

// Settings is one accepted revision of all settings. It is immutable.
type Settings struct {
	Revision platform.Revision
	// Number counts the accepted revisions. Operators see it as the revision.
	Number      uint64
	Services    []Service
	Routes      []Route
	Callers     []CallerRow
	Limits      []Limit
	Delegations []Delegation
	Drains      []Drain
	Losses      []Loss
	// History holds the newest accepted writes, oldest first, up to a limit.
	History []Write

	index *index
	// unknownFields is set if a later release wrote fields that this release
	// does not know. Such settings may be read but not written over.
	unknownFields bool
}

// Service is a service with its own key space.
type Service struct {
	Team   Team
	Name   key.Service
	Shards key.ShardCount
	Zones  []place.Zone
	// Targets lists targets that are missing from the platform's fleet list.
	Targets     []ServiceTarget
	Slots       int // concurrent requests per target
	Connections int // connections per target, summed over all entry hosts
	// ChecksTerms is set if the targets reject orders of prior leaders.
	ChecksTerms bool
	// Hold limits how long a zone serves without the store; zero means no limit.
	Hold             time.Duration
	MovesPerMinute   int
	ImbalancePercent int
	// WarmUp is how long the load of a new target is ramped up.
	WarmUp time.Duration
	// BodyBytes limits the body of a request and of a response.
	BodyBytes int64
	// Shares lists the teams that may also route to the service.
	Shares []Share
}

// Share permits the routes of another team to use the keys that start with Prefix.
type Share struct {
	Team   Team
	Prefix string
}

// ServiceTarget is a target that is listed in the settings.
type ServiceTarget struct {
	Target place.Target
	Zone   place.Zone
	Addr   netip.AddrPort
}

// KeySource is the part of a request that holds the key.
type KeySource string

// Parts of a request that can hold the key.
const (
	KeyInPath   KeySource = "path"   // the path segment {KeyName} of the route's pattern
	KeyInQuery  KeySource = "query"  // the query parameter KeyName
	KeyInHeader KeySource = "header" // the header KeyName
)

// Route maps requests of callers to a service.
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
	// KeyPrefix is the prefix of all keys that the route accepts.
	KeyPrefix  string
	Class      Class
	Idempotent bool
	// Timeout limits a request of the route, queueing included.
	Timeout time.Duration
}

// CallerRow is a caller with the hash of its credential.
type CallerRow struct {
	Team   Team
	Name   Caller
	Tenant Tenant
	// CredentialHash is the SHA-256 of the bearer credential.
	CredentialHash [32]byte
}

// Limit bounds the requests of one caller in one class.
type Limit struct {
	Team       Team
	Caller     Caller
	Class      Class
	PerSecond  float64
	Burst      int
	Concurrent int
}

// Delegation permits the bearer of a credential to write the subtrees in Below. Team
// is empty for a delegation at the platform level.
type Delegation struct {
	Team           Team
	Operator       string
	Below          []Path
	CredentialHash [32]byte
}

// Drain keeps new work off a target or a zone.
type Drain struct {
	Target place.Target
	Zone   place.Zone
	Reason string
}

// Loss declares a target, host or zone lost.
type Loss struct {
	Target place.Target
	Host   place.Host
	Zone   place.Zone
	By     string
	Reason string
}

// Write is an accepted write in the history.
type Write struct {
	ID     string
	Number uint64
	At     time.Time
	By     string
	Reason string
	Paths  []Path
	// Before holds the previous value of each path in the file format, "" for a
	// path that did not exist. Rollback restores these values.
	Before []string
}
