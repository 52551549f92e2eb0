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
	// maxTrailerBytes bounds what may follow the last chunk of a body, in bytes.
	maxTrailerBytes = 4 << 10
	// bodyReadTimeout is how long a client may send nothing of a body.
	bodyReadTimeout = 10 * time.Second
)

// body is the body of a request that is being read. Once it has ended, the
// connection's reader goes on behind it.
type body struct {
	conn *conn
	src  io.Reader
	// chunked bodies are followed by a trailer.
	chunked bool
	// expectContinue tells that the client waits for word before it sends the body.
	expectContinue bool

	once sync.Once
	err  error
	// done is closed when the body was read, or is not read any more.
	done chan struct{}
}

// newBody returns the body of a request, nil where it has none.
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

// exactReader turns an end before all bytes have come into an error.
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
	if err := b.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		b.end(err)
		return 0, err
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) && b.chunked {
		if failed := skipTrailer(b.conn.br); failed != nil {
			err = failed
		}
	}
	if err != nil {
		b.end(err)
	}
	return n, err
}

// end notes how the body ended.
func (b *body) end(err error) {
	b.err = err
	b.once.Do(func() {
		_ = b.conn.SetReadDeadline(time.Time{}) // a closed connection needs none
		close(b.done)
	})
}

// Close implements io.Closer; the server closes the body itself.
func (b *body) Close() error { return nil }

// finish ends a body that the handler is done with. It reports whether the next
// request begins behind it.
func (b *body) finish() bool {
	if b.err == nil {
		b.end(errors.New("ingress: body not read"))
	}
	return errors.Is(b.err, io.EOF)
}

// skipTrailer reads what follows the last chunk, up to the empty line.
func skipTrailer(br *bufio.Reader) error {
	read := 0
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		if bytes.Equal(line, []byte("\r\n")) {
			return nil
		}
		if read += len(line); read > maxTrailerBytes {
			return errors.New("ingress: trailer too long")
		}
	}
}
