// Package load makes open-loop load as a deployment's callers would, and
// checks each answer: whole, its own, and true about what ran.
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

// keyParameter stands for the key in a route's path.
const keyParameter = "{key}"

// defaultKeys is the number of keys of one service.
const defaultKeys = 5000

// Mean times of one run on a target, by class.
const (
	interactiveWork = 10 * time.Millisecond
	registeringWork = 15 * time.Millisecond
	bulkWork        = 20 * time.Millisecond
)

// connectCost is what a new connection to a target costs.
const connectCost = time.Millisecond

// coldTime is how long a restarted target works slowly.
const coldTime = 2 * time.Second

// Stream is the load of one caller on one route.
type Stream struct {
	Service    key.Service
	Class      settings.Class
	Caller     settings.Caller
	Credential string
	Method     string
	Path       string // with keyParameter
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	// PerSecond is the mean rate of requests.
	PerSecond float64
}

// Plan is the load of a whole deployment.
type Plan struct {
	Streams []Stream
	Shards  map[key.Service]key.ShardCount
	// Keys is the number of keys of each service and stream.
	Keys int
	// Hot is a set of keys that takes a part of the load.
	Hot HotSet
}

// HotSet is a set of hot keys: the keys numbered from First on, Count of them,
// take Share (0 to 1) of the requests.
type HotSet struct {
	First, Count int
	Share        float64
}

// TargetGroups returns the targets of a preset at today's sizes. One run takes
// slowdown times as long as usual.
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

// NewPlan returns the load that takes part (0 to 1 and above) of the capacity
// of each service of the preset, with the slowdown that Groups was given.
func NewPlan(p preset.Preset, s *settings.Settings, part float64, slowdown int) Plan {
	plan := Plan{Keys: defaultKeys, Shards: make(map[key.Service]key.ShardCount)}
	for _, service := range p.Services {
		row, _ := s.Service(service.Name)
		plan.Shards[service.Name] = row.Shards
		capacity := float64(service.Targets*row.Slots) / meanWork(s, service.Name).Seconds()
		plan.add(s, service.Name, capacity*part/float64(slowdown))
	}
	return plan
}

// add spreads a rate evenly over the callers of the service's routes.
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

// PerSecond returns the mean rate of all streams.
func (p *Plan) PerSecond() float64 {
	var sum float64
	for _, stream := range p.Streams {
		sum += stream.PerSecond
	}
	return sum
}

// randomStream returns a stream at random, by rate.
func (p *Plan) randomStream(r *rand.Rand) *Stream {
	at := r.Float64() * p.PerSecond()
	for i := range p.Streams {
		if at -= p.Streams[i].PerSecond; at < 0 {
			return &p.Streams[i]
		}
	}
	return &p.Streams[len(p.Streams)-1]
}

// randomKey returns a key of the stream at random.
func (p *Plan) randomKey(r *rand.Rand, s *Stream, hot HotSet) string {
	n := r.IntN(p.Keys)
	if hot.Count > 0 && r.Float64() < hot.Share {
		n = hot.First + r.IntN(hot.Count)
	}
	return fmt.Sprintf("%s%05d", s.Prefix, n)
}

// uri returns the path for a key, with the caller's own id of the operation.
func (s *Stream) uri(k, operation string) string {
	return strings.Replace(s.Path, keyParameter, k, 1) + "?" + fake.OperationParameter + "=" + operation
}

func methodOf(route settings.Route) string {
	if len(route.Methods) == 0 {
		return http.MethodGet
	}
	return route.Methods[0]
}

// meanWork returns the mean time of one run of a service, by its routes' class.
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
