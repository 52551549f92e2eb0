package settings

import (
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// index maps names to rows; it is built once per revision.
type index struct {
	services    map[key.Service]int
	callers     map[Caller]int
	credentials map[[32]byte]int
	routes      map[Caller][]int
	limits      map[limitKey]int
	operators   map[[32]byte]int
	drained     map[place.Target]bool
	drainedZone map[place.Zone]bool
}

type limitKey struct {
	caller Caller
	class  Class
}

func newIndex(s *Settings) *index {
	x := &index{
		services:    make(map[key.Service]int, len(s.Services)),
		callers:     make(map[Caller]int, len(s.Callers)),
		credentials: make(map[[32]byte]int, len(s.Callers)),
		routes:      make(map[Caller][]int, len(s.Callers)),
		limits:      make(map[limitKey]int, len(s.Limits)),
		operators:   make(map[[32]byte]int, len(s.Delegations)),
		drained:     make(map[place.Target]bool, len(s.Drains)),
		drainedZone: make(map[place.Zone]bool, len(s.Drains)),
	}
	for i, r := range s.Services {
		x.services[r.Name] = i
	}
	for i, r := range s.Callers {
		x.callers[r.Name] = i
		x.credentials[r.CredentialHash] = i
	}
	for i, r := range s.Routes {
		for _, c := range r.Callers {
			x.routes[c] = append(x.routes[c], i)
		}
	}
	for i, r := range s.Limits {
		x.limits[limitKey{r.Caller, r.Class}] = i
	}
	for i, r := range s.Delegations {
		x.operators[r.CredentialHash] = i
	}
	for _, r := range s.Drains {
		x.drained[r.Target] = true
		x.drainedZone[r.Zone] = true
	}
	delete(x.drained, "")
	delete(x.drainedZone, "")
	return x
}

// lookup returns the index. Settings that were constructed without one, as in
// small tests, get an index that is not cached.
func (s *Settings) lookup() *index {
	if s.index != nil {
		return s.index
	}
	return newIndex(s)
}

// Service returns the named service.
func (s *Settings) Service(name key.Service) (*Service, bool) {
	i, ok := s.lookup().services[name]
	if !ok {
		return nil, false
	}
	return &s.Services[i], true
}

// Caller returns the named caller.
func (s *Settings) Caller(name Caller) (*CallerRow, bool) {
	i, ok := s.lookup().callers[name]
	if !ok {
		return nil, false
	}
	return &s.Callers[i], true
}

// Authenticate returns the caller with the given bearer credential.
func (s *Settings) Authenticate(credential string) (*CallerRow, bool) {
	i, ok := s.lookup().credentials[HashCredential(credential)]
	if !ok {
		return nil, false
	}
	return &s.Callers[i], true
}

// RoutesOf returns the indexes in Routes of the routes that the caller may use.
func (s *Settings) RoutesOf(name Caller) []int { return s.lookup().routes[name] }

// Limit returns the limit of a caller in a class.
func (s *Settings) Limit(name Caller, class Class) (Limit, bool) {
	i, ok := s.lookup().limits[limitKey{name, class}]
	if !ok {
		return Limit{}, false
	}
	return s.Limits[i], true
}

// Operator returns the delegation with the given bearer credential.
func (s *Settings) Operator(credential string) (*Delegation, bool) {
	i, ok := s.lookup().operators[HashCredential(credential)]
	if !ok {
		return nil, false
	}
	return &s.Delegations[i], true
}

// HasPlatformOperator reports whether some delegation covers all of platform.
// Until then the bootstrap credential may write.
func (s *Settings) HasPlatformOperator() bool {
	for i := range s.Delegations {
		if s.Delegations[i].Allows(platformRoot) {
			return true
		}
	}
	return false
}

// Drained reports whether operators drain the target or its zone.
func (s *Settings) Drained(target place.Target, zone place.Zone) bool {
	x := s.lookup()
	return x.drained[target] || x.drainedZone[zone]
}

// Allows reports whether the bearer of the delegation may write path.
func (d *Delegation) Allows(path Path) bool {
	for _, below := range d.Below {
		if below.Covers(path) {
			return true
		}
	}
	return false
}
