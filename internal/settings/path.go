package settings

import (
	"regexp"
	"strings"
)

// Path names one setting, such as teams/agency/services/balance.
type Path string

// The first parts of paths.
const (
	teamsRoot    = "teams"
	platformRoot = "platform"
)

// maxNameBytes bounds one part of a path.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// validName reports whether s may be a part of a path: small letters, digits
// and . _ - inside.
func validName(s string) bool {
	return len(s) <= maxNameBytes && namePattern.MatchString(s)
}

// join makes a path of parts.
func join(parts ...string) Path { return Path(strings.Join(parts, "/")) }

// parts splits a path.
func (p Path) parts() []string { return strings.Split(string(p), "/") }

// Covers reports whether q is p or lies below p. The empty path covers all.
func (p Path) Covers(q Path) bool {
	return p == "" || p == q || strings.HasPrefix(string(q), string(p)+"/")
}
