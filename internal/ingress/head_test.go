package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzHead compares framing with net/http's reader: a head that is accepted here must be
// parsed there to the same request, with the same end.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\nGET /x?y HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\nGET /z HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET http://b/ HTTP/1.0\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n",
		"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		const maxBytes = 4 << 10
		br := bufio.NewReader(bytes.NewReader(sent))
		var h framing
		head, err := h.read(br, nil, maxBytes)
		if err != nil {
			return
		}
		var src bytes.Reader
		r, err := h.parse(head, bufio.NewReader(&src), &src)
		if err != nil {
			return
		}
		rest, err := io.ReadAll(br)
		assert.NilError(t, err)
		sent = bytes.TrimPrefix(sent, []byte("\r\n")) // net/http accepts no empty line before a request
		other := bufio.NewReader(bytes.NewReader(sent))
		want, err := http.ReadRequest(other)
		assert.NilError(t, err)
		assert.Equal(t, r.Method, want.Method)
		assert.Equal(t, r.RequestURI, want.RequestURI)
		assert.Equal(t, r.Host, want.Host)
		assert.Equal(t, r.ContentLength, want.ContentLength)
		assert.DeepEqual(t, r.TransferEncoding, want.TransferEncoding)
		assert.DeepEqual(t, r.Header, want.Header)
		assert.Equal(t, r.Close, want.Close)
		left, err := io.ReadAll(other)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(rest, left), "rest is %q, want %q", rest, left)
	})
}

// TestLeadingEmptyLines checks that one empty line before a request is ignored and more
// are rejected.
func TestLeadingEmptyLines(t *testing.T) {
	for lines, want := range map[int]bool{0: true, 1: true, 2: false} {
		var h framing
		br := bufio.NewReader(strings.NewReader(strings.Repeat("\r\n", lines) + get("/")))
		_, err := h.read(br, nil, 1<<10)
		assert.Equal(t, err == nil, want, "%d lines: %v", lines, err)
	}
}
