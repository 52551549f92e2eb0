package settings

import (
	"regexp"
	"strings"
)

// Path is the path of a setting, such as teams/agency/services/balance.
type Path string

// First segments of paths.
const (
	teamsRoot    = "teams"
	platformRoot = "platform"
)

// maxNameBytes bounds one segment of a path.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// validName reports whether s is valid as a path segment: lower-case letters and
// digits, and . _ - except at either end.
func validName(s string) bool {
	return len(s) <= maxNameBytes && namePattern.MatchString(s)
}

// join joins path segments.
func join(parts ...string) Path { return Path(strings.Join(parts, "/")) }

// parts splits a path into its segments.
func (p Path) parts() []string { return strings.Split(string(p), "/") }

// Covers reports whether q equals p or is below p. The empty path covers all.
func (p Path) Covers(q Path) bool {
	return p == "" || p == q || strings.HasPrefix(string(q), string(p)+"/")
}
