package traffic

import (
	"math/rand/v2"
	"sync"
)

// Splitter deals the requests of split routes out to their parts, each by its
// weight. Safe for concurrent use.
//
// It is smooth weighted round robin: after n requests, no part is further than
// one request from n times its share, so the shares of a few hundred requests
// are exact however many hosts deal independently.
type Splitter struct {
	mu     sync.Mutex
	routes map[RouteName]*splitState
}

// splitState is what a splitter remembers of one route.
type splitState struct {
	destinations []Destination
	current      []float64
}

// NewSplitter returns a splitter that has dealt nothing.
func NewSplitter() *Splitter {
	return &Splitter{routes: make(map[RouteName]*splitState)}
}

// Next returns the part that the route's next request goes to.
func (s *Splitter) Next(r *Route) Destination {
	if len(r.Destinations) == 1 {
		return r.Destinations[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.routes[r.Name]
	if d == nil || !sameDestinations(d.destinations, r.Destinations) {
		d = newSplitState(r.Destinations)
		s.routes[r.Name] = d
	}
	return d.next()
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

// newSplitState starts at a random phase, so that hosts that start together do
// not all send their first requests to the heaviest part.
func newSplitState(parts []Destination) *splitState {
	d := &splitState{destinations: parts, current: make([]float64, len(parts))}
	for i, p := range parts {
		d.current[i] = (rand.Float64() - 0.5) * p.Weight
	}
	return d
}

func (d *splitState) next() Destination {
	var total float64
	best := -1
	for i, p := range d.destinations {
		if p.Weight <= 0 {
			continue // gets nothing, also where all others are in debt
		}
		d.current[i] += p.Weight
		total += p.Weight
		if best < 0 || d.current[i] > d.current[best] {
			best = i
		}
	}
	if best < 0 {
		return d.destinations[0]
	}
	d.current[best] -= total
	return d.destinations[best]
}

// Prune forgets the routes that the configuration no longer has.
func (s *Splitter) Prune(c *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[RouteName]*splitState, len(s.routes))
	for i := range c.Routes {
		if d, ok := s.routes[c.Routes[i].Name]; ok {
			kept[c.Routes[i].Name] = d
		}
	}
	s.routes = kept
}
