package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// requestError is a request that can't be read. Its connection ends behind the answer:
// where the next request begins is not known.
type requestError struct {
	status int
	text   string
}

func (r *requestError) Error() string { return "ingress: " + r.text }

func badRequest(text string) error { return &requestError{http.StatusBadRequest, text} }

// read reads the head of a request into buf, up to and with its empty line, and
// checks how it is framed: a head that two readers could read in two ways is
// refused.
func (h *framing) read(br *bufio.Reader, buf []byte, most int) ([]byte, error) {
	buf = buf[:0]
	for first := true; ; {
		start := len(buf)
		for {
			part, err := br.ReadSlice('\n')
			buf = append(buf, part...)
			if len(buf) > most {
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
			buf = buf[:0] // an empty line before a request (RFC 9112, 2.2)
			first = false
			continue
		case len(line) == 0 && start > 0:
			return buf, h.check()
		case start == 0:
			if bytes.ContainsAny(line, "\r\x00") {
				return buf, badRequest("control byte in the request line")
			}
		default:
			if err := h.addLine(line); err != nil {
				return buf, err
			}
		}
		first = false
	}
}

// maxHeaderLines bounds the header lines of a request: each takes far more memory than
// its bytes once it is parsed.
const maxHeaderLines = 1000

// framing is what the head says of where its request ends.
type framing struct {
	lines, hosts, lengths, codings int
}

// addLine checks one header line.
func (h *framing) addLine(line []byte) error {
	name, value, ok := strings.Cut(string(line), ":")
	h.lines++
	switch {
	case h.lines > maxHeaderLines:
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "too many header lines"}
	case !ok || !httpguts.ValidHeaderFieldName(name):
		return badRequest("malformed header name")
	case !httpguts.ValidHeaderFieldValue(strings.Trim(value, " \t")):
		return badRequest("malformed header value")
	}
	switch http.CanonicalHeaderKey(name) {
	case "Host":
		h.hosts++
	case "Content-Length":
		h.lengths++
		for _, c := range strings.Trim(value, " \t") {
			if c < '0' || c > '9' {
				return badRequest("malformed length")
			}
		}
	case "Transfer-Encoding":
		h.codings++
		if !strings.EqualFold(strings.Trim(value, " \t"), "chunked") {
			return &requestError{http.StatusNotImplemented, "unknown transfer coding"}
		}
	}
	return nil
}

func (h *framing) check() error {
	switch {
	case h.lengths > 1, h.codings > 1, h.lengths+h.codings > 1:
		return badRequest("more than one length")
	case h.hosts > 1:
		return badRequest("more than one host")
	}
	return nil
}

// parse returns the request of a head that was read. Its body is not set.
func (h *framing) parse(head []byte, br *bufio.Reader, src *bytes.Reader) (*http.Request, error) {
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
	if h.codings > 0 && !r.ProtoAtLeast(1, 1) {
		return nil, badRequest("chunks before HTTP/1.1")
	}
	return r, nil
}
