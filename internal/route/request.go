package route

import (
	"crypto/sha256"
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"citrontray.example/citrontray/internal/settings"
)

// Bounds of what a caller sends, in bytes.
const (
	maxCredentialBytes = 512
	maxPathBytes       = 2048
	maxKeyBytes        = 256
)

// reservedPrefix starts the paths on which targets take orders of ownership; no
// caller may reach them through a route such as /{any}/{key}.
const reservedPrefix = "/citrontray"

// bearerPrefix starts the value of the Authorization header.
const bearerPrefix = "Bearer "

// caller returns the caller whose credential the request carries, or nil.
// The credential is compared by its hash alone, so the time that the lookup
// takes tells nothing of it.
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

// canonicalPath returns the path as it was sent, if it is in its plain form: no
// empty, "." or ".." part, no encoded slash, no backslash, nothing encoded
// that need not be. "/a/%2e%2e/b" and "/a//b" are not plain.
func canonicalPath(r *http.Request) (string, bool) {
	path := r.URL.EscapedPath()
	if len(path) < 2 || len(path) > maxPathBytes || path[0] != '/' || r.URL.Opaque != "" || r.URL.Host != "" {
		return "", false
	}
	if len(path) >= len(reservedPrefix) && strings.EqualFold(path[:len(reservedPrefix)], reservedPrefix) {
		return "", false
	}
	for text := range strings.SplitSeq(path[1:], "/") {
		if !canonicalSegment(text) {
			return "", false
		}
	}
	return path, true
}

func canonicalSegment(text string) bool {
	if text == "" || text == "." || text == ".." {
		return false
	}
	for i := 0; i < len(text); i++ {
		b := text[i]
		if b != '%' {
			if !pathByte(b) {
				return false
			}
			continue
		}
		decoded, ok := decodeEscape(text[i:])
		if !ok || pathByte(decoded) || forbiddenByte(decoded) {
			return false
		}
		i += 2
	}
	return true
}

// pathByte reports whether a byte stands in a path as itself.
func pathByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("-._~!$&'()*+,=:@", b) >= 0
}

// forbiddenByte reports whether a byte must not stand in a path even encoded.
func forbiddenByte(b byte) bool {
	return b < ' ' || b == 0x7f || b == '/' || b == '\\' || b == '%' || b == ';'
}

// decodeEscape reads %XX with capital hexadecimal digits, the one plain form.
func decodeEscape(text string) (byte, bool) {
	if len(text) < 3 {
		return 0, false
	}
	high, ok1 := hexDigit(text[1])
	low, ok2 := hexDigit(text[2])
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

// key returns the request's key. It must be there once, be valid UTF-8
// without control characters, and be below the route's key prefix.
func (c *compiledRoute) key(r *http.Request, inPath string) (string, bool) {
	var k string
	var ok bool
	switch c.route.KeySource {
	case settings.KeyInPath:
		var err error
		k, err = url.PathUnescape(inPath)
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

// queryKey returns a parameter that must stand in the query exactly once, in
// any case: a target may read "Span" and "span" as the same.
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
