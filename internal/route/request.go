package route

import (
	"crypto/sha256"
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"citrontray.example/citrontray/internal/settings"
)

// Size limits of a caller's request.
const (
	maxCredentialBytes = 512
	maxPathBytes       = 2048
	maxKeyBytes        = 256
)

// reservedPrefix is the prefix of the paths on which targets accept ownership orders.
// No caller may reach them through a route such as /{any}/{key}.
const reservedPrefix = "/citrontray"

// bearerPrefix is the authentication scheme in the Authorization header.
const bearerPrefix = "Bearer "

// caller returns the caller whose credential the request carries, or nil. It looks the
// credential up by its hash, so that the time it takes reveals nothing about the
// credential.
func (t *Table) caller(h http.Header) *Caller {
	values := h["Authorization"]
	if len(values) != 1 || !strings.HasPrefix(values[0], bearerPrefix) {
		return nil
	}
	credential := values[0][len(bearerPrefix):]
	if credential == "" || len(credential) > maxCredentialBytes {
		return nil
	}
	return t.callers[sha256.Sum256([]byte(credential))]
}

// canonicalPath returns the escaped path and whether it is accepted. It must be in
// canonical form: no empty, "." or ".." segment, no encoded slash, no backslash, and no
// needless or lower-case escape. "/a/%2e%2e/b" and "/a//b" are not canonical. Paths that
// begin with reservedPrefix, in any case, are not accepted either.
func canonicalPath(r *http.Request) (string, bool) {
	path := r.URL.EscapedPath()
	if len(path) < 2 || len(path) > maxPathBytes || path[0] != '/' || r.URL.Opaque != "" || r.URL.Host != "" {
		return "", false
	}
	if len(path) >= len(reservedPrefix) && strings.EqualFold(path[:len(reservedPrefix)], reservedPrefix) {
		return "", false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if !canonicalSegment(segment) {
			return "", false
		}
	}
	return path, true
}

func canonicalSegment(segment string) bool {
	if segment == "" || segment == "." || segment == ".." {
		return false
	}
	for i := 0; i < len(segment); i++ {
		b := segment[i]
		if b != '%' {
			if !pathByte(b) {
				return false
			}
			continue
		}
		decoded, ok := decodeEscape(segment[i:])
		if !ok || pathByte(decoded) || forbiddenByte(decoded) {
			return false
		}
		i += 2
	}
	return true
}

// pathByte reports whether a byte is written without an escape in a canonical path.
func pathByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("-._~!$&'()*+,=:@", b) >= 0
}

// forbiddenByte reports whether a path must not contain a byte, even escaped.
func forbiddenByte(b byte) bool {
	return b < ' ' || b == 0x7f || b == '/' || b == '\\' || b == '%' || b == ';'
}

// decodeEscape decodes %XX with upper-case hexadecimal digits, its canonical form.
func decodeEscape(escape string) (byte, bool) {
	if len(escape) < 3 {
		return 0, false
	}
	high, ok1 := hexDigit(escape[1])
	low, ok2 := hexDigit(escape[2])
	return high<<4 | low, ok1 && ok2
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// key returns the request's key. It must occur once, be valid UTF-8 without control
// characters, and start with the route's key prefix.
func (c *compiledRoute) key(r *http.Request, escapedKey string) (string, bool) {
	var k string
	var ok bool
	switch c.route.KeySource {
	case settings.KeyInPath:
		var err error
		k, err = url.PathUnescape(escapedKey)
		ok = err == nil
	case settings.KeyInQuery:
		k, ok = queryKey(r.URL.RawQuery, c.route.KeyName)
	case settings.KeyInHeader:
		values := r.Header.Values(c.route.KeyName)
		ok = len(values) == 1
		if ok {
			k = values[0]
		}
	default:
		ok = false
	}
	return k, ok && validKey(k) && strings.HasPrefix(k, c.route.KeyPrefix)
}

// queryKey returns a query parameter. Its name must occur exactly once regardless of
// case, since a target may treat "Span" and "span" as the same.
func queryKey(raw, name string) (string, bool) {
	values, err := url.ParseQuery(raw)
	if err != nil || len(values[name]) != 1 {
		return "", false
	}
	for other := range values {
		if other != name && strings.EqualFold(other, name) {
			return "", false
		}
	}
	return values[name][0], true
}

func validKey(k string) bool {
	if k == "" || len(k) > maxKeyBytes || !utf8.ValidString(k) {
		return false
	}
	for _, c := range k {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
