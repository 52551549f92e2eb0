package settings

import (
	"slices"
	"strings"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/key"
)

// checker validates settings against each other.
type checker struct {
	*Settings
	items    map[Path]Item
	found    *finding.List
	services map[key.Service]*Service
	callers  map[Caller]*CallerRow
}

// check records all problems across settings. The items give their locations.
func (s *Settings) check(items map[Path]Item, found *finding.List) {
	c := checker{
		Settings: s, items: items, found: found,
		services: make(map[key.Service]*Service),
		callers:  make(map[Caller]*CallerRow),
	}
	for i := range s.Services {
		c.service(&s.Services[i])
	}
	for i := range s.Callers {
		c.caller(&s.Callers[i])
	}
	for i := range s.Routes {
		c.route(&s.Routes[i])
	}
	for i := range s.Limits {
		c.limit(&s.Limits[i])
	}
	for i := range s.Delegations {
		c.delegation(&s.Delegations[i])
	}
	c.keyOverlaps()
	c.ambiguousRoutes()
	c.duplicateCredentials()
}

// add records a problem with a field of the setting at path.
func (c *checker) add(path Path, field, problem, hint string) {
	c.found.Add(c.items[path].location(field), problem, hint)
}

func servicePath(s *Service) Path  { return join(teamsRoot, string(s.Team), "services", string(s.Name)) }
func routePath(r *Route) Path      { return join(teamsRoot, string(r.Team), "routes", r.Name) }
func callerPath(r *CallerRow) Path { return join(teamsRoot, string(r.Team), "callers", string(r.Name)) }

func limitPath(l *Limit) Path {
	return join(teamsRoot, string(l.Team), "limits", string(l.Caller), string(l.Class))
}

func delegationPath(d *Delegation) Path {
	if d.Team == "" {
		return join(platformRoot, "delegations", d.Operator)
	}
	return join(teamsRoot, string(d.Team), "delegations", d.Operator)
}

func (c *checker) service(s *Service) {
	path := servicePath(s)
	if _, ok := c.services[s.Name]; ok {
		c.add(path, "", "has the name of another service", "service names are unique in the deployment")
	}
	c.services[s.Name] = s
	if !s.Shards.Valid() {
		c.add(path, "shards", "is not a power of two", "")
	}
	if len(s.Zones) == 0 {
		c.add(path, "zones", "is empty", "a service needs at least one zone for its targets")
	}
	for _, t := range s.Targets {
		if !slices.Contains(s.Zones, t.Zone) {
			c.add(path, "targets", "assigns "+string(t.Target)+" to a zone that is not listed in zones", "")
		}
	}
	for i, a := range s.Shares {
		for _, b := range s.Shares[:i] {
			if prefixesOverlap(a.Prefix, b.Prefix) {
				c.add(path, "shares", "gives "+string(b.Team)+" and "+string(a.Team)+" overlapping prefixes", "neither may start with the other")
			}
		}
		if a.Team == s.Team {
			c.add(path, "shares", "lists the service's own team", "")
		}
	}
}

// checkImmutable records changes to the shard count of existing services: hosts
// with different shard counts would route one key to two targets.
func (s *Settings) checkImmutable(old *Settings, items map[Path]Item, found *finding.List) {
	for i := range s.Services {
		service := &s.Services[i]
		if before, ok := old.Service(service.Name); ok && before.Shards != service.Shards {
			found.Add(items[servicePath(service)].location("shards"), "cannot be changed for an existing service", "create a service with another name and move the routes to it")
		}
	}
}

func (c *checker) caller(r *CallerRow) {
	if _, ok := c.callers[r.Name]; ok {
		c.add(callerPath(r), "", "has the name of another caller", "caller names are unique in the deployment")
	}
	c.callers[r.Name] = r
	if !validName(string(r.Tenant)) {
		c.add(callerPath(r), "tenant", "is not a valid name", "")
	}
}

func (c *checker) route(r *Route) {
	path := routePath(r)
	c.routeService(path, r)
	for _, name := range r.Callers {
		caller, ok := c.callers[name]
		switch {
		case !ok:
			c.add(path, "callers", "refers to caller "+string(name)+", which does not exist", "add the caller or remove it from the list")
		case caller.Team != r.Team:
			c.add(path, "callers", "refers to caller "+string(name)+", which belongs to another team", "")
		}
	}
	if len(r.Callers) == 0 {
		c.add(path, "callers", "is empty", "")
	}
	if len(r.Methods) == 0 {
		c.add(path, "methods", "is empty", "")
	}
	if problem := patternProblem(r); problem != "" {
		c.add(path, "path", problem, "such as /balance/{key}")
	}
	if slices.Contains(r.Methods, "GET") && !r.Idempotent {
		c.add(path, "idempotent", "is false for a route that takes GET", "GET is idempotent by definition; give the other methods their own route")
	}
}

// routeService checks that the route's team may use the service.
func (c *checker) routeService(path Path, r *Route) {
	s, ok := c.services[r.Service]
	if !ok {
		c.add(path, "service", "refers to service "+string(r.Service)+", which does not exist", "add the service or delete the route")
		return
	}
	if s.Team == r.Team {
		return
	}
	at := slices.IndexFunc(s.Shares, func(h Share) bool { return h.Team == r.Team })
	if at < 0 {
		c.add(path, "service", "refers to a service that team "+string(s.Team)+" does not share", "its shares must list "+string(r.Team))
		return
	}
	if want := s.Shares[at].Prefix; !strings.HasPrefix(r.KeyPrefix, want) {
		c.add(path, "prefix", "does not start with "+want, "the service shares only these keys")
	}
}

// patternProblem describes the problem with a route's path pattern, if any.
func patternProblem(r *Route) string {
	if !strings.HasPrefix(r.Path, "/") {
		return "does not start with /"
	}
	placeholders := 0
	for part := range strings.SplitSeq(r.Path[1:], "/") {
		opening, closing := strings.Count(part, "{"), strings.Count(part, "}")
		if opening == 0 && closing == 0 {
			continue
		}
		if opening != 1 || closing != 1 || part[0] != '{' || part[len(part)-1] != '}' {
			return "has a segment with an incomplete placeholder"
		}
		if part != "{"+r.KeyName+"}" || r.KeySource != KeyInPath {
			return "has a placeholder that is not the key"
		}
		placeholders++
	}
	if r.KeySource == KeyInPath && placeholders != 1 {
		return "does not contain the placeholder {" + r.KeyName + "} exactly once"
	}
	return ""
}

func (c *checker) limit(l *Limit) {
	caller, ok := c.callers[l.Caller]
	if !ok || caller.Team != l.Team {
		c.add(limitPath(l), "", "refers to a caller that the team does not have", "")
	}
	switch l.Class {
	case Interactive, Registering, Bulk:
	default:
		c.add(limitPath(l), "", "refers to an unknown class", "interactive, registering or bulk")
	}
}

func (c *checker) delegation(d *Delegation) {
	own := join(teamsRoot, string(d.Team))
	for _, below := range d.Below {
		if d.Team != "" && !own.Covers(below) {
			c.add(delegationPath(d), "below", "is outside of the team's paths", "paths must start with "+string(own))
		}
	}
	if len(d.Below) == 0 {
		c.add(delegationPath(d), "below", "is empty", "")
	}
}

// prefixesOverlap reports whether one prefix is a prefix of the other.
func prefixesOverlap(a, b string) bool {
	return strings.HasPrefix(a, b) || strings.HasPrefix(b, a)
}

// keyOverlaps records routes to one service whose keys overlap although their
// teams or tenants differ: each could see the other's data.
func (c *checker) keyOverlaps() {
	byService := make(map[key.Service][]*Route, len(c.services))
	for i := range c.Routes {
		b := &c.Routes[i]
		for _, a := range byService[b.Service] {
			if prefixesOverlap(a.KeyPrefix, b.KeyPrefix) {
				c.addKeyOverlap(a, b)
			}
		}
		byService[b.Service] = append(byService[b.Service], b)
	}
}

// addKeyOverlap records the problem of two routes to one service whose keys
// overlap, if their teams or tenants differ.
func (c *checker) addKeyOverlap(a, b *Route) {
	a, b = c.orderForFinding(a, b)
	switch {
	case a.Team != b.Team:
		// The message names no route: competing teams must not learn each
		// other's names.
		c.add(routePath(b), "prefix", "overlaps the keys of another team's route to "+string(b.Service), "neither prefix may start with the other")
	case !c.sameTenant(a, b):
		c.add(routePath(b), "prefix", "gives another tenant the keys of "+string(routePath(a)), "neither prefix may start with the other")
	}
}

// orderForFinding returns the two routes so that the finding is reported at the
// one that is being written.
func (c *checker) orderForFinding(a, b *Route) (other, at *Route) {
	if c.items[routePath(b)].At.Line == 0 && c.items[routePath(a)].At.Line > 0 {
		return b, a
	}
	return a, b
}

// ambiguousRoutes records pairs of routes that match the same request of one
// caller, even if they lead to different services.
func (c *checker) ambiguousRoutes() {
	byCaller := make(map[Caller][]*Route, len(c.callers))
	type pair struct{ a, b *Route }
	seen := make(map[pair]bool)
	for i := range c.Routes {
		b := &c.Routes[i]
		for _, caller := range b.Callers {
			for _, a := range byCaller[caller] {
				if a == b || seen[pair{a, b}] || !ambiguous(a, b) {
					continue
				}
				seen[pair{a, b}] = true
				other, at := c.orderForFinding(a, b)
				c.add(routePath(at), "path", "takes the same requests as "+string(routePath(other)), "a caller's method and path must match only one route")
			}
			byCaller[caller] = append(byCaller[caller], b)
		}
	}
}

// sameTenant reports whether all callers of both routes belong to one tenant.
func (c *checker) sameTenant(a, b *Route) bool {
	tenants := make(map[Tenant]bool)
	for _, names := range [][]Caller{a.Callers, b.Callers} {
		for _, name := range names {
			if row, ok := c.callers[name]; ok {
				tenants[row.Tenant] = true
			}
		}
	}
	return len(tenants) <= 1
}

// ambiguous reports whether one request can match both routes.
func ambiguous(a, b *Route) bool {
	shared := slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) })
	return shared && patternsOverlap(a.Path, b.Path)
}

// patternsOverlap reports whether some path matches both patterns.
func patternsOverlap(a, b string) bool {
	x, y := strings.Split(a, "/"), strings.Split(b, "/")
	return slices.EqualFunc(x, y, func(p, q string) bool {
		return p == q || strings.HasPrefix(p, "{") || strings.HasPrefix(q, "{")
	})
}

// duplicateCredentials records credentials that callers or operators share.
func (c *checker) duplicateCredentials() {
	seen := make(map[[32]byte]Path)
	note := func(path Path, hash [32]byte) {
		if other, ok := seen[hash]; ok {
			c.add(path, "credential", "is also the credential of "+string(other), "each needs its own")
		}
		seen[hash] = path
	}
	for i := range c.Callers {
		note(callerPath(&c.Callers[i]), c.Callers[i].CredentialHash)
	}
	for i := range c.Delegations {
		note(delegationPath(&c.Delegations[i]), c.Delegations[i].CredentialHash)
	}
}
