// Package load generates the open-loop load of a deployment's callers. It checks that each
// response is complete, belongs to its request, and is right on whether the request ran.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

// keyParameter is the placeholder of the key in a route's path.
const keyParameter = "{key}"

// defaultKeys is the number of keys per stream.
const defaultKeys = 5000

// Mean times of a run at a target, by class.
const (
	interactiveWork = 10 * time.Millisecond
	registeringWork = 15 * time.Millisecond
	bulkWork        = 20 * time.Millisecond
)

// connectCost is the delay of each new connection to a target.
const connectCost = time.Millisecond

// coldTime is how long a target runs requests more slowly after a start.
const coldTime = 2 * time.Second

// Stream is the load of one caller on one route.
type Stream struct {
	Service    key.Service
	Class      settings.Class
	Caller     settings.Caller
	Credential string
	Method     string
	Path       string // contains keyParameter
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	// PerSecond is the mean rate of requests.
	PerSecond float64
}

// Plan is the load of a deployment.
type Plan struct {
	Streams []Stream
	Shards  map[key.Service]key.ShardCount
	// Keys is the number of keys per stream.
	Keys int
	// Hot is the set of hot keys.
	Hot HotSet
}

// HotSet is a set of hot keys: Count keys, numbered from First, that get a Share (0 to 1)
// of the requests.
type HotSet struct {
	First, Count int
	Share        float64
}

// TargetGroups returns the targets of a preset, in one group per service. slowdown
// multiplies the time of a run.
func TargetGroups(p preset.Preset, s *settings.Settings, slowdown int) []fake.TargetGroup {
	groups := make([]fake.TargetGroup, 0, len(p.Services))
	for _, service := range p.Services {
		row, _ := s.Service(service.Name)
		groups = append(groups, fake.TargetGroup{
			Count: service.Targets,
			TargetConfig: fake.TargetConfig{
				Service:      service.Name,
				Slots:        row.Slots,
				Connections:  row.Connections,
				MeanWork:     meanWork(s, service.Name) * time.Duration(slowdown),
				ConnectDelay: connectCost,
				ColdPeriod:   coldTime,
				ChecksTerms:  row.ChecksTerms,
			},
		})
	}
	return groups
}

// NewPlan returns a load that is a fraction (0 to 1 and above) of the capacity of each
// service, with the same slowdown as for TargetGroups.
func NewPlan(p preset.Preset, s *settings.Settings, fraction float64, slowdown int) Plan {
	plan := Plan{Keys: defaultKeys, Shards: make(map[key.Service]key.ShardCount)}
	for _, service := range p.Services {
		row, _ := s.Service(service.Name)
		plan.Shards[service.Name] = row.Shards
		capacity := float64(service.Targets*row.Slots) / meanWork(s, service.Name).Seconds()
		plan.add(s, service.Name, capacity*fraction/float64(slowdown))
	}
	return plan
}

// add distributes a rate evenly over the callers of the service's routes.
func (p *Plan) add(s *settings.Settings, service key.Service, perSecond float64) {
	first := len(p.Streams)
	for _, route := range s.Routes {
		if route.Service != service {
			continue
		}
		for _, caller := range route.Callers {
			p.Streams = append(p.Streams, Stream{
				Service:    service,
				Class:      route.Class,
				Caller:     caller,
				Credential: preset.Credential(caller),
				Method:     methodOf(route),
				Path:       route.Path,
				Prefix:     route.KeyPrefix,
				Idempotent: route.Idempotent,
				Timeout:    route.Timeout,
			})
		}
	}
	for i := first; i < len(p.Streams); i++ {
		p.Streams[i].PerSecond = perSecond / float64(len(p.Streams)-first)
	}
}

// PerSecond returns the mean request rate of all streams.
func (p *Plan) PerSecond() float64 {
	var sum float64
	for _, stream := range p.Streams {
		sum += stream.PerSecond
	}
	return sum
}

// randomStream returns a random stream, weighted by rate.
func (p *Plan) randomStream(r *rand.Rand) *Stream {
	rest := r.Float64() * p.PerSecond()
	for i := range p.Streams {
		if rest -= p.Streams[i].PerSecond; rest < 0 {
			return &p.Streams[i]
		}
	}
	return &p.Streams[len(p.Streams)-1]
}

// randomKey returns a random key of the stream.
func (p *Plan) randomKey(r *rand.Rand, s *Stream, hot HotSet) string {
	n := r.IntN(p.Keys)
	if hot.Count > 0 && r.Float64() < hot.Share {
		n = hot.First + r.IntN(hot.Count)
	}
	return fmt.Sprintf("%s%05d", s.Prefix, n)
}

// uri returns the request URI for a key and an operation ID.
func (s *Stream) uri(k, operation string) string {
	return strings.Replace(s.Path, keyParameter, k, 1) + "?" + fake.OperationParameter + "=" + operation
}

func methodOf(route settings.Route) string {
	if len(route.Methods) == 0 {
		return http.MethodGet
	}
	return route.Methods[0]
}

// meanWork returns the mean time of a run of a service, by the class of its first route.
func meanWork(s *settings.Settings, service key.Service) time.Duration {
	for _, route := range s.Routes {
		if route.Service != service {
			continue
		}
		switch route.Class {
		case settings.Interactive:
			return interactiveWork
		case settings.Registering:
			return registeringWork
		case settings.Bulk:
			return bulkWork
		}
	}
	return interactiveWork
}
