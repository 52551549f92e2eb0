package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"time"
)

const (
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 4 << 10
	// bodyReadTimeout bounds the wait for more bytes of a body.
	bodyReadTimeout = 10 * time.Second
)

// body is the body of a request. After its end, the connection's reader continues with
// the next request.
type body struct {
	conn *conn
	src  io.Reader
	// chunked is set if the body is chunked: a trailer follows its last chunk.
	chunked bool
	// expectContinue is set while the client waits for 100 Continue before it sends
	// the body.
	expectContinue bool

	once sync.Once
	err  error
	// done is closed when the body was read, or will not be read any more.
	done chan struct{}
}

// newBody returns the body of a request, or nil if it has none.
func newBody(c *conn, r *http.Request) *body {
	b := &body{
		conn: c, done: make(chan struct{}),
		expectContinue: strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1),
	}
	switch {
	case len(r.TransferEncoding) > 0:
		b.chunked, b.src = true, httputil.NewChunkedReader(c.br)
	case r.ContentLength > 0:
		b.src = &exactReader{Reader: io.LimitReader(c.br, r.ContentLength), left: r.ContentLength}
	default:
		return nil
	}
	return b
}

// exactReader returns an error if the connection ends before all bytes of a body were
// read. left is the number of bytes to come.
type exactReader struct {
	io.Reader

	left int64
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.left -= int64(n)
	switch {
	case e.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.expectContinue {
		b.expectContinue = false
		if err := b.conn.writeInterim("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			b.end(err)
			return 0, err
		}
	}
	b.conn.awaitBody()
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) && b.chunked {
		if trailerErr := skipTrailer(b.conn.br); trailerErr != nil {
			err = trailerErr
		}
	}
	if err != nil {
		b.end(err)
	}
	return n, err
}

// end records the end of the body, io.EOF or an error.
func (b *body) end(err error) {
	b.err = err
	b.once.Do(func() {
		b.conn.endBody()
		close(b.done)
	})
}

// Close implements io.Closer. It does nothing, since the connection ends the body.
func (b *body) Close() error { return nil }

// complete reports whether the body was read to its end, so that the next request can be read.
func (b *body) complete() bool { return errors.Is(b.err, io.EOF) }

// finish ends the body after the handler has returned: the connection's reader continues.
func (b *body) finish() {
	if b.err == nil {
		b.end(errors.New("ingress: body was not read"))
	}
}

// skipTrailer reads the trailer after the last chunk, up to the empty line.
func skipTrailer(br *bufio.Reader) error {
	size := 0
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		if bytes.Equal(line, []byte("\r\n")) {
			return nil
		}
		if size += len(line); size > maxTrailerBytes {
			return errors.New("ingress: trailer is too long")
		}
	}
}
