package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/target"
)

// reservedPrefix starts the names of the headers that only the system may set.
const reservedPrefix = "Citrontray-"

// strippedHeaders are the headers that end at this hop or that a caller may not set.
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

// SanitizeHeader removes from the headers of a caller's request, or of an answer,
// what may not pass: hop-by-hop headers, those that Connection names, and
// ours. A name with an underscore goes too, since some servers read
// "Citrontray_Shard" as "Citrontray-Shard". It changes h and returns it.
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

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1),
// and those that the next request's own framing replaces.
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

// StripHopByHop removes from h the headers that concern one connection only, and
// those that Connection names. It changes h and returns it.
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

// appendUnsharded writes the headers for targets without shards.
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

// appendHead writes the request line and the headers. All strings of a caller
// went through net/http's parser; a line break left in one is dropped.
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

// appendSharded writes the headers for targets that own shards.
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

// hasBody reports whether a request of the method announces even an empty body.
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
