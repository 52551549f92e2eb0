package route_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/route"
	"citrontray.example/citrontray/internal/settings"
)

// newTable returns a table with two callers that share a service, each with its own
// key prefix.
func newTable() *route.Table {
	routeFor := func(name settings.Caller, prefix string) settings.Route {
		return settings.Route{
			Name: string(name), Service: "register", Callers: []settings.Caller{name}, Methods: []string{"GET"},
			Path: "/span/{key}", KeySource: settings.KeyInPath, KeyPrefix: prefix, Class: settings.Interactive,
		}
	}
	query, header := routeFor("north", "north-"), routeFor("north", "north-")
	query.Name, query.Path, query.KeySource, query.KeyName = "query", "/search", settings.KeyInQuery, "span"
	header.Name, header.Path, header.KeySource, header.KeyName = "header", "/head/{any}/x", settings.KeyInHeader, "Span"
	header.Methods = []string{"GET", "POST"}
	return route.New(&settings.Settings{
		Services: []settings.Service{{Name: "register"}},
		Routes:   []settings.Route{routeFor("north", "north-"), routeFor("south", "south-"), query, header},
		Callers: []settings.CallerRow{
			{Name: "north", CredentialHash: sha256.Sum256([]byte("n"))},
			{Name: "south", CredentialHash: sha256.Sum256([]byte("s"))},
		},
	})
}

// request parses a request with net/http's reader, as the server does.
func request(t testing.TB, method, target, credential string, header ...string) *http.Request {
	t.Helper()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n", method, target, credential, strings.Join(header, ""))
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Skip("rejected by the parser of the server")
	}
	return r
}

func TestFind(t *testing.T) {
	tests := map[string]struct {
		method, target, credential string
		header                     []string
		key                        string
		reason                     outcome.Reason
	}{
		"own key":                  {"GET", "/span/north-1", "n", nil, "north-1", ""},
		"own key, encoded":         {"GET", "/span/north-%C3%A9", "n", nil, "north-é", ""},
		"other caller's key":       {"GET", "/span/south-1", "n", nil, "", outcome.BadKey},
		"key without its prefix":   {"GET", "/span/nort", "n", nil, "", outcome.BadKey},
		"prefix in another case":   {"GET", "/span/North-1", "n", nil, "", outcome.BadKey},
		"wrong credential":         {"GET", "/span/north-1", "x", nil, "", outcome.Credential},
		"credential in other case": {"GET", "/span/north-1", "N", nil, "", outcome.Credential},
		"two credentials":          {"GET", "/span/north-1", "n", []string{"Authorization: Bearer s\r\n"}, "", outcome.Credential},
		"method":                   {"POST", "/span/north-1", "n", nil, "", outcome.Method},
		"no route":                 {"GET", "/spans/north-1", "n", nil, "", outcome.NoRoute},
		"path in another case":     {"GET", "/Span/north-1", "n", nil, "", outcome.NoRoute},
		"more segments":            {"GET", "/span/north-1/x", "n", nil, "", outcome.NoRoute},
		"fewer segments":           {"GET", "/span", "n", nil, "", outcome.NoRoute},
		"trailing slash":           {"GET", "/span/north-1/", "n", nil, "", outcome.BadPath},
		"double slash":             {"GET", "//span/north-1", "n", nil, "", outcome.BadPath},
		"dots":                     {"GET", "/x/../span/north-1", "n", nil, "", outcome.BadPath},
		"encoded dots":             {"GET", "/span/north-1/%2e%2e/south-1", "n", nil, "", outcome.BadPath},
		"encoded slash":            {"GET", "/span/north-1%2F..%2Fsouth-1", "n", nil, "", outcome.BadPath},
		"encoded backslash":        {"GET", "/span/north-%5Csouth-1", "n", nil, "", outcome.BadPath},
		"doubly encoded slash":     {"GET", "/span/north-%252Fsouth", "n", nil, "", outcome.BadPath},
		"encoded letter":           {"GET", "/span/%6Eorth-1", "n", nil, "", outcome.BadPath},
		"lower-case encoding":      {"GET", "/span/north-%c3%a9", "n", nil, "", outcome.BadPath},
		"path parameter":           {"GET", "/span/north-1;x=south-1", "n", nil, "", outcome.BadPath},
		"encoded zero":             {"GET", "/span/north-1%00", "n", nil, "", outcome.BadPath},
		"bad UTF-8":                {"GET", "/span/north-%FF", "n", nil, "", outcome.BadKey},
		"absolute form":            {"GET", "http://other/span/north-1", "n", nil, "", outcome.BadPath},
		"ownership order":          {"POST", "/citrontray/order", "n", nil, "", outcome.BadPath},
		"query key":                {"GET", "/search?span=north-1", "n", nil, "north-1", ""},
		"query key twice":          {"GET", "/search?span=north-1&span=south-1", "n", nil, "", outcome.BadKey},
		"query key in two cases":   {"GET", "/search?span=north-1&Span=south-1", "n", nil, "", outcome.BadKey},
		"query key encoded twice":  {"GET", "/search?span=north-1&sp%61n=south-1", "n", nil, "", outcome.BadKey},
		"query with semicolon":     {"GET", "/search?span=north-1;span=south-1", "n", nil, "", outcome.BadKey},
		"header key":               {"POST", "/head/a/x", "n", []string{"Span: north-1\r\n"}, "north-1", ""},
		"header key twice":         {"GET", "/head/a/x", "n", []string{"Span: north-1\r\n", "span: south-1\r\n"}, "", outcome.BadKey},
		"no header key":            {"GET", "/head/a/x", "n", nil, "", outcome.BadKey},
		"key too long":             {"GET", "/span/north-" + strings.Repeat("x", 300), "n", nil, "", outcome.BadKey},
		"path too long":            {"GET", "/span/north-" + strings.Repeat("x", 3000), "n", nil, "", outcome.BadPath},
	}
	table := newTable()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, reason := table.Find(request(t, test.method, test.target, test.credential, test.header...))
			assert.Equal(t, reason, test.reason)
			assert.Equal(t, m.Key, test.key)
		})
	}
}

// FuzzFind checks that with any path and header, a caller reaches only keys with its
// own prefix, and that nothing panics.
func FuzzFind(f *testing.F) {
	for _, target := range []string{"/span/north-1", "/span/north-1%2F..%2Fsouth-1", "/search?span=south-1", "/span/../x", "/%", "*"} {
		f.Add(target, "Span: north-1\r\n")
	}
	table := newTable()
	f.Fuzz(func(t *testing.T, target, header string) {
		m, reason := table.Find(request(t, "GET", target, "n", header))
		if reason != "" {
			return
		}
		if !strings.HasPrefix(m.Key, "north-") || strings.Contains(m.Key, "\x00") {
			t.Fatalf("key %q", m.Key)
		}
	})
}
