// Package traffic holds what operators open to everyone: services, and routes
// that lead requests to them by host name and path prefix.
package traffic

import (
	"time"

	"citrontray.example/citrontray/internal/key"
)

// Version orders configurations; a higher one replaces a lower one.
type Version uint64

// Config is one accepted configuration. It is immutable.
type Config struct {
	Version  Version
	Services []Service
	Routes   []Route
	Limits   Limits
}

// KeySpace tells how a service's work is divided among its targets.
type KeySpace uint8

// A keyless service takes a request at any target, a ranged one at the owner
// of the range that the request's key lies in.
const (
	Keyless KeySpace = iota
	Ranged
)

// Service is a group of targets that do the same work.
type Service struct {
	Name key.Service
	Keys KeySpace
	// MaxConnections is how many connections one target takes of all callers.
	MaxConnections int
	// WarmUp is how long keys stay slow at an owner that took them without a
	// handover.
	WarmUp time.Duration
	// HealthPath is the path of the targets' health page.
	HealthPath string
}

// Destination is one service of a split route, with its share of the requests.
type Destination struct {
	Service key.Service
	Weight  float64
}

// Priority ranks routes; 0 is the most urgent.
type Priority int

// RouteName names a route.
type RouteName string

// Route leads requests to one service, or to several by weight.
type Route struct {
	Name RouteName
	// Host is compared with the request's host name without its port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix       string
	Destinations []Destination
	Idempotent   bool
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most.
	LatencyObjective time.Duration
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	Priority    Priority
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
