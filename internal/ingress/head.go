package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// requestError is the error of a request that can't be read, with the response to it.
// The connection closes after the response, since the start of the next request is
// unknown.
type requestError struct {
	status int
	text   string
}

func (r *requestError) Error() string { return "ingress: " + r.text }

func badRequest(text string) error { return &requestError{http.StatusBadRequest, text} }

// read reads the head of a request into buf, its empty line included, and checks its
// framing. It rejects a head that other readers might parse differently, which would
// allow request smuggling.
func (f *framing) read(br *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	buf = buf[:0]
	for first := true; ; {
		start := len(buf)
		for {
			part, err := br.ReadSlice('\n')
			buf = append(buf, part...)
			if len(buf) > limit {
				return buf, &requestError{http.StatusRequestHeaderFieldsTooLarge, "head too long"}
			}
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return buf, err
			}
		}
		line, ok := bytes.CutSuffix(buf[start:], []byte("\r\n"))
		switch {
		case !ok:
			return buf, badRequest("line without CR")
		case first && len(line) == 0 && start == 0:
			buf = buf[:0] // ignore an empty line before a request (RFC 9112, 2.2)
			first = false
			continue
		case len(line) == 0 && start > 0:
			return buf, f.check()
		case start == 0:
			if bytes.ContainsAny(line, "\r\x00") {
				return buf, badRequest("control byte in the request line")
			}
		default:
			if err := f.addLine(line); err != nil {
				return buf, err
			}
		}
		first = false
	}
}

// maxHeaderLines bounds the header lines of a request: a parsed line takes far more
// memory than its bytes.
const maxHeaderLines = 1000

// framing counts the lines of a head, and the headers that frame its request.
type framing struct {
	lines, hosts, lengths, codings int
}

// addLine checks and counts one header line.
func (f *framing) addLine(line []byte) error {
	name, value, ok := strings.Cut(string(line), ":")
	f.lines++
	switch {
	case f.lines > maxHeaderLines:
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "too many header lines"}
	case !ok || !httpguts.ValidHeaderFieldName(name):
		return badRequest("malformed header name")
	case !httpguts.ValidHeaderFieldValue(strings.Trim(value, " \t")):
		return badRequest("malformed header value")
	}
	switch http.CanonicalHeaderKey(name) {
	case "Host":
		f.hosts++
	case "Content-Length":
		f.lengths++
		for _, c := range strings.Trim(value, " \t") {
			if c < '0' || c > '9' {
				return badRequest("malformed length")
			}
		}
	case "Transfer-Encoding":
		f.codings++
		if !strings.EqualFold(strings.Trim(value, " \t"), "chunked") {
			return &requestError{http.StatusNotImplemented, "unknown transfer coding"}
		}
	}
	return nil
}

func (f *framing) check() error {
	switch {
	case f.lengths > 1, f.codings > 1, f.lengths+f.codings > 1:
		return badRequest("more than one length")
	case f.hosts > 1:
		return badRequest("more than one host")
	}
	return nil
}

// parse parses a head that was read. The returned request has no usable body.
func (f *framing) parse(head []byte, br *bufio.Reader, src *bytes.Reader) (*http.Request, error) {
	src.Reset(head)
	br.Reset(src)
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if r.ProtoMajor != 1 {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "unknown protocol version"}
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, badRequest("no host")
	}
	if f.codings > 0 && !r.ProtoAtLeast(1, 1) {
		return nil, badRequest("chunks before HTTP/1.1")
	}
	return r, nil
}
