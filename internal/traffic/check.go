package traffic

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/key"
)

// Report is the result of Check.
type Report struct {
	// Errors are entries that hosts can't follow, and limits that contradict each other.
	Errors finding.List
	// Unmatched are entries that no request can match.
	Unmatched finding.List
	// Differences are the changes from the configuration in force.
	Differences finding.List
}

// Check checks a configuration before it is submitted. inForce is the one in force, nil if it
// is not known.
func Check(c, inForce *Config) *Report {
	r := &Report{}
	r.checkServices(c)
	r.checkRoutes(c)
	r.checkLimits(c)
	if inForce == nil {
		return r
	}
	if c.Version <= inForce.Version {
		r.Errors.Addf("version", "%08x is not above %08x, which is in force: hosts ignore it", uint64(c.Version), uint64(inForce.Version))
	}
	r.compare(inForce, c)
	return r
}

func serviceAt(name key.Service) string { return "service " + string(name) }

func routeAt(r *Route) string { return "route " + string(r.Name) }

func (r *Report) checkServices(c *Config) {
	used := make(map[key.Service]bool)
	for _, route := range c.Routes {
		for _, d := range route.Destinations {
			used[d.Service] = used[d.Service] || d.Weight > 0
		}
	}
	seen := make(map[key.Service]bool)
	for i := range c.Services {
		s := &c.Services[i]
		at := serviceAt(s.Name)
		switch {
		case s.Name == "":
			r.Errors.Addf(fmt.Sprintf("service %d", i), "has no name")
		case seen[s.Name]:
			r.Errors.Addf(at, "is there twice, and only the last one is used")
		case !used[s.Name]:
			r.Unmatched.Addf(at, "is not used by any route")
		}
		seen[s.Name] = true
		if s.MaxConnections < 0 {
			r.Errors.Addf(at, "max_connections %d is negative", s.MaxConnections)
		}
		if s.WarmUp < 0 {
			r.Errors.Addf(at, "warm_s %v is negative", s.WarmUp.Seconds())
		}
		if math.IsInf(float64(s.ColdRate), 0) || math.IsNaN(float64(s.ColdRate)) {
			r.Errors.Addf(at, "warmup_per_s %v is not a rate", s.ColdRate)
		}
	}
}

func (r *Report) checkRoutes(c *Config) {
	services := make(map[key.Service]bool)
	for _, s := range c.Services {
		services[s.Name] = true
	}
	names, paths := make(map[RouteName]bool), make(map[string]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		at := routeAt(route)
		switch {
		case route.Name == "":
			at = fmt.Sprintf("route %d", i)
			r.Errors.Addf(at, "has no name")
		case names[route.Name]:
			r.Errors.Addf(at, "has the name of another route")
		}
		names[route.Name] = true
		r.checkPath(at, route)
		path := strings.ToLower(route.Host) + route.Prefix
		if first := paths[path]; first != nil {
			r.Unmatched.Addf(at, "is shadowed by %s: same host name and prefix", routeAt(first))
		} else {
			paths[path] = route
		}
		r.checkDestinations(at, route, services)
		r.checkRouteLimits(at, route)
	}
}

// checkPath checks which requests can match a route.
func (r *Report) checkPath(at string, route *Route) {
	if route.Host == "" {
		r.Unmatched.Addf(at, "has no host name")
	} else if _, _, err := net.SplitHostPort(route.Host); err == nil {
		r.Unmatched.Addf(at, "has a host name with a port, which is not compared")
	}
	switch {
	case !strings.HasPrefix(route.Prefix, "/"):
		r.Unmatched.Addf(at, "prefix %q does not begin with a slash", route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		r.Errors.Addf(at, "prefix %q does not end with a slash, so that it matches longer names, too", route.Prefix)
	}
}

func (r *Report) checkDestinations(at string, route *Route, services map[key.Service]bool) {
	total := 0.0
	for _, d := range route.Destinations {
		switch {
		case !services[d.Service]:
			r.Errors.Addf(at, "goes to %s, which does not exist", serviceAt(d.Service))
		case !(d.Weight >= 0) || math.IsInf(d.Weight, 0): // also for a weight that is not a number
			r.Errors.Addf(at, "weight %v of %s is not usable", d.Weight, serviceAt(d.Service))
		case d.Weight == 0:
			r.Unmatched.Addf(at, "weight of %s is 0", serviceAt(d.Service))
		}
		total += max(d.Weight, 0)
	}
	if total == 0 {
		r.Errors.Addf(at, "has no destination with a weight above 0")
	}
	if slices.Contains(route.Regions, "") {
		r.Errors.Addf(at, "allowed_regions has a region without a name")
	}
}

func (r *Report) checkRouteLimits(at string, route *Route) {
	if route.Timeout < 0 {
		r.Errors.Addf(at, "timeout %v is negative", route.Timeout)
	}
	if route.LatencyObjective < 0 {
		r.Errors.Addf(at, "objective %v is negative", route.LatencyObjective)
	}
	if route.Timeout > 0 && route.LatencyObjective > route.Timeout {
		r.Errors.Addf(at, "objective %v is above the timeout %v", route.LatencyObjective, route.Timeout)
	}
	if route.MaxAttempts < 1 {
		r.Errors.Addf(at, "max_attempts %d is below 1", route.MaxAttempts)
	}
}

func (r *Report) checkLimits(c *Config) {
	const at = "limits"
	l := c.Limits
	if l.MaxBodyBytes <= 0 {
		r.Errors.Addf(at, "max_body_bytes %d allows no bodies, but hosts take it for no limit", l.MaxBodyBytes)
	}
	if l.MaxHeaderBytes < 0 {
		r.Errors.Addf(at, "max_header_bytes %d is negative", l.MaxHeaderBytes)
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		r.Errors.Addf(at, "timeouts %v and %v must not be negative", l.HeaderTimeout, l.IdleTimeout)
	}
}

// attribute is a part of an entry as text.
type attribute struct{ name, value string }

// entry is an entry of a configuration.
type entry struct {
	at         string
	attributes []attribute
}

func (c *Config) entries() []entry {
	text := func(v any) string { return fmt.Sprint(v) }
	l := c.Limits
	out := make([]entry, 0, 1+len(c.Services)+len(c.Routes))
	out = append(out, entry{"limits", []attribute{
		{"max_header_bytes", text(l.MaxHeaderBytes)},
		{"max_body_bytes", text(l.MaxBodyBytes)},
		{"header_timeout", text(l.HeaderTimeout)},
		{"idle_timeout", text(l.IdleTimeout)},
	}})
	for _, s := range c.Services {
		out = append(out, entry{serviceAt(s.Name), []attribute{
			{"sharded", text(s.KeySpace == Ranged)},
			{"max_connections", text(s.MaxConnections)},
			{"warm", text(s.WarmUp)},
			{"warmup_per_s", text(float64(s.ColdRate))},
			{"health_path", s.HealthPath},
		}})
	}
	for _, r := range c.Routes {
		out = append(out, entry{routeAt(&r), []attribute{
			{"host name", r.Host},
			{"prefix", r.Prefix},
			{"destinations", text(r.Destinations)},
			{"idempotent", text(r.Idempotent)},
			{"large", text(r.Large)},
			{"regions", text(r.Regions)},
			{"timeout", text(r.Timeout)},
			{"objective", text(r.LatencyObjective)},
			{"max_attempts", text(r.MaxAttempts)},
			{"priority", text(r.Priority)},
		}})
	}
	return out
}

// compare lists the entries of c that were added, removed or changed since old.
func (r *Report) compare(old, c *Config) {
	before := make(map[string]entry)
	for _, e := range old.entries() {
		before[e.at] = e
	}
	for _, e := range c.entries() {
		was, ok := before[e.at]
		if !ok {
			r.Differences.Addf(e.at, "added")
			continue
		}
		delete(before, e.at)
		for i, a := range e.attributes {
			if was.attributes[i] != a {
				r.Differences.Addf(e.at, "%s: %s, was %s", a.name, a.value, was.attributes[i].value)
			}
		}
	}
	for at := range before {
		r.Differences.Addf(at, "removed")
	}
}
