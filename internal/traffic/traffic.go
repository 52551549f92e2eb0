// Package traffic holds the configuration of public traffic: services, and routes that
// map requests to them by host name and path prefix.
package traffic

import (
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
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

// KeySpace is the way in which a service's requests are divided among its targets.
type KeySpace uint8

// Any target of a Keyless service may take a request. A request to a Ranged service
// goes to the owner of the range that contains its key.
const (
	Keyless KeySpace = iota
	Ranged
)

// Service is a group of targets that serve the same requests.
type Service struct {
	Name     key.Service
	KeySpace KeySpace
	// MaxConnections bounds the connections of all hosts to one target.
	MaxConnections int
	// WarmUp is how long keys stay cold at an owner that took them over without a
	// handover.
	WarmUp time.Duration
	// ColdRate is the rate of requests that a target bears while it is cold; zero for no
	// limit.
	ColdRate target.Rate
	// HealthPath is the path of the targets' health check.
	HealthPath string
}

// Destination is one service of a route and the weight of its share of the requests.
type Destination struct {
	Service key.Service
	Weight  float64
}

// Priority is the priority of a route; 0 is the highest.
type Priority int

// RouteName is the name of a route.
type RouteName string

// Route maps requests to one service, or splits them among several by weight.
type Route struct {
	Name RouteName
	// Host is the host name of the requests, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix       string
	Destinations []Destination
	Idempotent   bool
	// Large is set if responses are large, so that they compete for links and memory.
	Large bool
	// Regions are the only regions in which hosts and targets may handle the requests;
	// empty for all.
	Regions []place.Region
	// Timeout bounds the time from a request's arrival to its response.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response has its full utility.
	LatencyObjective time.Duration
	// MaxAttempts bounds the attempts of one request. Each has one, also if it is below 1.
	MaxAttempts int
	Priority    Priority
}

// Limits bounds the size of a client's request and the time to receive it.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
