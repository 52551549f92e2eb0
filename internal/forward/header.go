package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/target"
)

// reservedPrefix is the prefix of the headers that only Citrontray may set.
const reservedPrefix = "Citrontray-"

// strippedHeaders holds the headers that are hop-by-hop or that a caller may not set.
var strippedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Forwarded":           true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"X-Forwarded-For":     true,
	"X-Forwarded-Host":    true,
	"X-Forwarded-Proto":   true,
	"X-Real-Ip":           true,
}

// SanitizeHeader removes the headers of a caller's request or of a response that must
// not be forwarded: strippedHeaders, those that Connection names, and Citrontray's own.
// It also removes names with an underscore, since some servers read "Citrontray_Shard"
// as "Citrontray-Shard". It changes h and returns it.
func SanitizeHeader(h http.Header) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if strippedHeaders[name] || strings.HasPrefix(name, reservedPrefix) || strings.IndexByte(name, '_') >= 0 {
			delete(h, name)
		}
	}
	return h
}

// hopByHop holds the headers that apply to one connection only (RFC 9110, 7.6.1), and
// those that are set anew for the next hop.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// StripHopByHop removes the headers in hopByHop and those that Connection names. It
// changes h and returns it.
func StripHopByHop(h http.Header) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name := range h {
		if hopByHop[name] {
			delete(h, name)
		}
	}
	return h
}

// appendUnsharded appends the headers of a request without a shard.
func appendUnsharded(b []byte, r *Request, left time.Duration) []byte {
	b = appendField(b, "Host", r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	b = appendField(b, r.HeaderNames.Request, r.ID)
	b = appendNumber(b, r.HeaderNames.Deadline, uint64(max(left.Milliseconds(), 0)))
	if r.Expect != "" {
		b = appendField(b, r.HeaderNames.Expect, string(r.Expect))
	}
	return b
}

// appendHead appends the request line and the headers. A caller's strings come from
// net/http's parser; line breaks that are left in them are removed.
func appendHead(b []byte, r *Request, host string, left time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = appendClean(b, r.URI)
	b = append(b, " HTTP/1.1\r\n"...)
	if r.HeaderNames != nil {
		b = appendUnsharded(b, r, left)
	} else {
		b = appendSharded(b, r, host, left)
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		b = appendNumber(b, "Content-Length", uint64(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

// appendSharded appends the headers of a request for a shard.
func appendSharded(b []byte, r *Request, host string, left time.Duration) []byte {
	b = appendField(b, "Host", host)
	for name, values := range r.Header {
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	b = appendField(b, target.HeaderRequest, r.ID)
	b = appendField(b, target.HeaderService, string(r.Service))
	b = appendNumber(b, target.HeaderShard, uint64(r.Shard))
	b = appendNumber(b, target.HeaderEpoch, uint64(r.Epoch))
	return appendNumber(b, target.HeaderDeadline, uint64(max(left.Milliseconds(), 0)))
}

// hasBody reports whether a request with the method has a Content-Length even if its
// body is empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = appendClean(b, value)
	return append(b, "\r\n"...)
}

func appendNumber(b []byte, name string, n uint64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendUint(b, n, 10)
	return append(b, "\r\n"...)
}

func appendClean(b []byte, value string) []byte {
	if strings.IndexByte(value, '\n') < 0 && strings.IndexByte(value, '\r') < 0 {
		return append(b, value...)
	}
	for i := 0; i < len(value); i++ {
		if value[i] != '\r' && value[i] != '\n' {
			b = append(b, value[i])
		}
	}
	return b
}
