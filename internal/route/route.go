// Package route maps a caller's request onto a service, a key and a class.
//
// A path is taken as it stands: it must be in its one plain form. Nothing is
// cleaned or redirected, since a form that this package and a target read
// differently would let a caller reach another's keys.
package route

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/settings"
)

// Match is where a request leads.
type Match struct {
	Caller  *Caller
	Route   *settings.Route
	Service *settings.Service
	Key     string
}

// Caller is one caller with its routes and limits.
type Caller struct {
	settings.CallerRow
	Limits []settings.Limit
	routes []*compiledRoute
}

// compiledRoute is a route with its path split into parts.
type compiledRoute struct {
	route    *settings.Route
	service  *settings.Service
	segments []segment
}

// segment is one part of a path pattern: a literal, or the place of the key or of
// any other value.
type segment struct {
	literal string
	isKey   bool
	isAny   bool
}

// Table finds the match of a request. It is immutable.
type Table struct {
	callers map[[sha256.Size]byte]*Caller
}

// New compiles the routes of accepted settings. Routes to services that are
// not there lead nowhere.
func New(s *settings.Settings) *Table {
	t := &Table{callers: make(map[[sha256.Size]byte]*Caller, len(s.Callers))}
	byName := make(map[settings.Caller]*Caller, len(s.Callers))
	for i := range s.Callers {
		c := &Caller{CallerRow: s.Callers[i]}
		byName[c.Name] = c
		t.callers[c.CredentialHash] = c
	}
	for i := range s.Limits {
		if c := byName[s.Limits[i].Caller]; c != nil {
			c.Limits = append(c.Limits, s.Limits[i])
		}
	}
	for i := range s.Routes {
		t.addRoute(s, &s.Routes[i], byName)
	}
	return t
}

func (t *Table) addRoute(s *settings.Settings, r *settings.Route, byName map[settings.Caller]*Caller) {
	at := slices.IndexFunc(s.Services, func(v settings.Service) bool { return v.Name == r.Service })
	if at < 0 {
		return
	}
	parts, ok := parsePattern(r.Path)
	if !ok {
		return
	}
	c := &compiledRoute{route: r, service: &s.Services[at], segments: parts}
	for _, name := range r.Callers {
		if caller := byName[name]; caller != nil {
			caller.routes = append(caller.routes, c)
		}
	}
}

// parsePattern reads a pattern such as /balance/{key}.
func parsePattern(pattern string) ([]segment, bool) {
	if !strings.HasPrefix(pattern, "/") {
		return nil, false
	}
	var parts []segment
	for text := range strings.SplitSeq(pattern[1:], "/") {
		switch {
		case text == "{key}":
			parts = append(parts, segment{isKey: true})
		case strings.HasPrefix(text, "{") && strings.HasSuffix(text, "}"):
			parts = append(parts, segment{isAny: true})
		default:
			parts = append(parts, segment{literal: text})
		}
	}
	return parts, true
}

// Find returns where a request leads, or the reason why nowhere. Callers
// learn nothing of routes that are not theirs: those do not exist for them.
func (t *Table) Find(r *http.Request) (Match, outcome.Reason) {
	caller := t.caller(r.Header)
	if caller == nil {
		return Match{}, outcome.Credential
	}
	path, ok := canonicalPath(r)
	if !ok {
		return Match{Caller: caller}, outcome.BadPath
	}
	return caller.find(r, path)
}

func (c *Caller) find(r *http.Request, path string) (Match, outcome.Reason) {
	m := Match{Caller: c}
	reason := outcome.NoRoute
	for _, candidate := range c.routes {
		inPath, ok := candidate.matchPath(path)
		if !ok {
			continue
		}
		if !slices.Contains(candidate.route.Methods, r.Method) {
			reason = closerMatch(reason, outcome.Method)
			continue
		}
		k, ok := candidate.key(r, inPath)
		if !ok {
			reason = closerMatch(reason, outcome.BadKey)
			continue
		}
		m.Route, m.Service, m.Key = candidate.route, candidate.service, k
		return m, ""
	}
	return m, reason
}

// closerMatch keeps the reason that got furthest.
func closerMatch(a, b outcome.Reason) outcome.Reason {
	if a == outcome.BadKey || b == outcome.NoRoute {
		return a
	}
	return b
}

// matchPath compares a plain path with the pattern; it returns the key part
// as it stands in the path.
func (c *compiledRoute) matchPath(path string) (string, bool) {
	rest := path[1:]
	inPath := ""
	for i := range c.segments {
		text, after, more := strings.Cut(rest, "/")
		if more == (i == len(c.segments)-1) {
			return "", false
		}
		p := &c.segments[i]
		switch {
		case p.isKey:
			inPath = text
		case p.isAny:
			if text == "" {
				return "", false
			}
		case p.literal != text:
			return "", false
		}
		rest = after
	}
	return inPath, true
}
