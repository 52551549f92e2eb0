package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/target"
)

// cutEnd is how a target ends a connection in the middle of a response.
type cutEnd uint8

const (
	endClose cutEnd = iota
	endReset
	endSilence
)

// respondPartly returns a server that sends the first bytes of a response and then ends the
// connection.
func respondPartly(response string, end cutEnd, arrived *atomic.Bool) func(net.Conn) {
	return func(c net.Conn) {
		br := bufio.NewReader(c)
		if _, err := br.Peek(1); err == nil {
			arrived.Store(true)
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get(target.HeaderRequest)))
		switch end {
		case endClose:
		case endReset:
			time.Sleep(time.Millisecond) // the bytes arrive before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
		case endSilence:
			_, _ = io.Copy(io.Discard, c)
		}
		_ = c.Close()
	}
}

// TestTruncatedResponse: a response that ends at any of its bytes is never taken for a whole
// one, nor for a refusal.
func TestTruncatedResponse(t *testing.T) {
	t.Parallel()
	const head = "Citrontray-Request: ID\r\nCitrontray-Stamp: s\r\n"
	responses := map[string]string{
		"length":       "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 12\r\n\r\nhello, world",
		"length last":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + head + "Keep-Alive: timeout=5\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunked":      "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n",
		"trailer":      "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\nc\r\nhello, world\r\n0\r\nX-T: 1234\r\n\r\n",
		"early hints":  "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"no content":   "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n",
		"refusal":      "HTTP/1.1 503 Busy\r\n" + head + "Citrontray-Not-Run: busy\r\nContent-Length: 4\r\n\r\nbusy",
		"other target": "HTTP/1.1 421 Misdirected\r\n" + head + "Content-Length: 0\r\n\r\n",
	}
	ends := map[string]cutEnd{"close": endClose, "reset": endReset, "silence": endSilence}
	for form, response := range responses {
		for way, end := range ends {
			t.Run(form+", "+way, func(t *testing.T) {
				t.Parallel()
				var attempts sync.WaitGroup
				for n := range len(response) {
					attempts.Go(func() {
						var arrived atomic.Bool
						p := listenTo(t, respondPartly(response[:n], end, &arrived))
						r := unshardedRequest("r-1")
						if end == endSilence {
							r.Deadline = time.Now().Add(300 * time.Millisecond)
						}
						result := p.Do(context.Background(), r, time.Now())
						_, uncertain := result.(forward.Uncertain)
						if unsent, ok := result.(forward.NotSent); ok && end == endSilence {
							// On a busy machine the deadline passes before the request is sent.
							time.Sleep(300 * time.Millisecond)
							late := errors.Is(unsent.Err, os.ErrDeadlineExceeded) || errors.Is(unsent.Err, context.DeadlineExceeded)
							uncertain = late && !arrived.Load()
						}
						assert.Check(t, uncertain, "cut after %q: %+v", response[:n], result)
						assert.Check(t, p.Open() == 0, "the connection is kept after %q", response[:n])
					})
				}
				attempts.Wait()
			})
		}
	}
}

// FuzzTruncatedResponse cuts responses with generated headers: as long as a length is stated
// and not reached, no response is whole.
func FuzzTruncatedResponse(f *testing.F) {
	f.Add("X-A: b", uint16(40))
	f.Add("Content-Length: 1234", uint16(70))
	f.Add("Transfer-Encoding: chunked", uint16(60))
	f.Fuzz(func(t *testing.T, header string, cut uint16) {
		response := "HTTP/1.1 200 OK\r\nCitrontray-Request: ID\r\nCitrontray-Stamp: s\r\nContent-Length: 4096\r\n" + header + "\r\n\r\n" + strings.Repeat("x", 4095)
		response = response[:int(cut)%len(response)]
		p := listenTo(t, respondPartly(response, endClose, new(atomic.Bool)))
		r := unshardedRequest("r-1")
		r.MaxBody = 1 << 16
		result := p.Do(context.Background(), r, time.Now())
		if _, whole := result.(forward.Completed); whole && !strings.Contains(header, "\n") {
			t.Fatalf("cut response taken for whole: %q", response)
		}
	})
}
