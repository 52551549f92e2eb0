package traffic

import (
	"net"
	"slices"
	"strings"

	"citrontray.example/citrontray/internal/key"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	config   *Config
	byHost   map[string][]*Route // longest prefix first
	services map[key.Service]*Service
}

// NewTable returns the table of a configuration's routes.
func NewTable(c *Config) *Table {
	t := &Table{
		config:   c,
		byHost:   make(map[string][]*Route),
		services: make(map[key.Service]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Config returns the configuration that the table was made from.
func (t *Table) Config() *Config { return t.config }

// Find returns the host's route with the longest prefix of the path, or nil.
func (t *Table) Find(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes, ok := t.byHost[host]
	if !ok {
		routes = t.byHost[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service of the configuration by its name, or nil.
func (t *Table) Service(name key.Service) *Service { return t.services[name] }
