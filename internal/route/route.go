// Package route maps a caller's request to a service, a key and a class.
//
// A path must be in canonical form. It is neither cleaned nor redirected: a path that
// this package and a target interpret differently would let a caller reach the keys
// of another.
package route

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/settings"
)

// Match is the result of routing a request.
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

// compiledRoute is a route with its service and the segments of its path pattern.
type compiledRoute struct {
	route    *settings.Route
	service  *settings.Service
	segments []segment
}

// segment is one segment of a path pattern: a literal, or a placeholder for the key or
// for any other value.
type segment struct {
	literal string
	isKey   bool
	isAny   bool
}

// Table finds the match of a request. It is immutable.
type Table struct {
	callers map[[sha256.Size]byte]*Caller
}

// New compiles the routes of accepted settings. Routes to unknown services are
// ignored.
func New(s *settings.Settings) *Table {
	t := &Table{callers: make(map[[sha256.Size]byte]*Caller, len(s.Callers))}
	byName := make(map[settings.Caller]*Caller, len(s.Callers))
	for i := range s.Callers {
		caller := &Caller{CallerRow: s.Callers[i]}
		byName[caller.Name] = caller
		t.callers[caller.CredentialHash] = caller
	}
	for i := range s.Limits {
		if caller := byName[s.Limits[i].Caller]; caller != nil {
			caller.Limits = append(caller.Limits, s.Limits[i])
		}
	}
	for i := range s.Routes {
		t.addRoute(s, &s.Routes[i], byName)
	}
	return t
}

func (t *Table) addRoute(s *settings.Settings, r *settings.Route, byName map[settings.Caller]*Caller) {
	i := slices.IndexFunc(s.Services, func(svc settings.Service) bool { return svc.Name == r.Service })
	if i < 0 {
		return
	}
	segs, ok := parsePattern(r.Path)
	if !ok {
		return
	}
	c := &compiledRoute{route: r, service: &s.Services[i], segments: segs}
	for _, name := range r.Callers {
		if caller := byName[name]; caller != nil {
			caller.routes = append(caller.routes, c)
		}
	}
}

// parsePattern parses a path pattern such as /balance/{key}.
func parsePattern(pattern string) ([]segment, bool) {
	if !strings.HasPrefix(pattern, "/") {
		return nil, false
	}
	var segs []segment
	for text := range strings.SplitSeq(pattern[1:], "/") {
		switch {
		case text == "{key}":
			segs = append(segs, segment{isKey: true})
		case strings.HasPrefix(text, "{") && strings.HasSuffix(text, "}"):
			segs = append(segs, segment{isAny: true})
		default:
			segs = append(segs, segment{literal: text})
		}
	}
	return segs, true
}

// Find returns the match of a request, or the reason why there is none. It only
// considers the caller's own routes, so that callers learn nothing about others.
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
		escapedKey, ok := candidate.matchPath(path)
		if !ok {
			continue
		}
		if !slices.Contains(candidate.route.Methods, r.Method) {
			reason = closerMatch(reason, outcome.Method)
			continue
		}
		foundKey, ok := candidate.key(r, escapedKey)
		if !ok {
			reason = closerMatch(reason, outcome.BadKey)
			continue
		}
		m.Route, m.Service, m.Key = candidate.route, candidate.service, foundKey
		return m, ""
	}
	return m, reason
}

// closerMatch returns the reason of the candidate that matched more of the request.
func closerMatch(a, b outcome.Reason) outcome.Reason {
	if a == outcome.BadKey || b == outcome.NoRoute {
		return a
	}
	return b
}

// matchPath matches a canonical path with the pattern. It returns the segment that
// holds the key, still escaped.
func (c *compiledRoute) matchPath(path string) (string, bool) {
	rest := path[1:]
	escapedKey := ""
	for i := range c.segments {
		text, after, more := strings.Cut(rest, "/")
		if more == (i == len(c.segments)-1) {
			return "", false
		}
		p := &c.segments[i]
		switch {
		case p.isKey:
			escapedKey = text
		case p.isAny:
			if text == "" {
				return "", false
			}
		case p.literal != text:
			return "", false
		}
		rest = after
	}
	return escapedKey, true
}
