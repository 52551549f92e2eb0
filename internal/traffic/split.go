package traffic

import (
	"math/rand/v2"
	"sync"
)

// Splitter distributes the requests of a split route among its destinations by
// weight. It is safe for concurrent use.
//
// It uses smooth weighted round robin: after n requests, each destination is within
// one request of n times its share. The split of a few hundred requests is therefore
// accurate even if many hosts split them independently.
type Splitter struct {
	mu     sync.Mutex
	routes map[RouteName]*splitState
}

// splitState is the state of one route. current holds the destinations' current
// weights of smooth weighted round robin.
type splitState struct {
	destinations []Destination
	current      []float64
}

// NewSplitter returns a Splitter without routes.
func NewSplitter() *Splitter {
	return &Splitter{routes: make(map[RouteName]*splitState)}
}

// Next returns the destination of the route's next request.
func (s *Splitter) Next(r *Route) Destination {
	if len(r.Destinations) == 1 {
		return r.Destinations[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[r.Name]
	if state == nil || !sameDestinations(state.destinations, r.Destinations) {
		state = newSplitState(r.Destinations)
		s.routes[r.Name] = state
	}
	return state.next()
}

func sameDestinations(a, b []Destination) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// newSplitState returns a state with a random phase, so that hosts that start at the
// same time do not all send their first requests to the heaviest destination.
func newSplitState(dests []Destination) *splitState {
	s := &splitState{destinations: dests, current: make([]float64, len(dests))}
	for i, dest := range dests {
		s.current[i] = (rand.Float64() - 0.5) * dest.Weight
	}
	return s
}

func (s *splitState) next() Destination {
	var total float64
	best := -1
	for i, dest := range s.destinations {
		if dest.Weight <= 0 {
			continue // never chosen, even if all others have a negative current weight
		}
		s.current[i] += dest.Weight
		total += dest.Weight
		if best < 0 || s.current[i] > s.current[best] {
			best = i
		}
	}
	if best < 0 {
		return s.destinations[0]
	}
	s.current[best] -= total
	return s.destinations[best]
}

// Prune drops the state of routes that are not in the configuration.
func (s *Splitter) Prune(c *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[RouteName]*splitState, len(s.routes))
	for i := range c.Routes {
		if state, ok := s.routes[c.Routes[i].Name]; ok {
			kept[c.Routes[i].Name] = state
		}
	}
	s.routes = kept
}
