package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
)

// pipeTo returns a pool whose connections are pipes, with serve handling the other end.
func pipeTo(serve func(net.Conn)) *forward.Pool {
	return forward.New(forward.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), MaxOpen: 2, MinOpen: 1, DialTimeout: time.Second,
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go serve(far)
			return near, nil
		},
	})
}

func request(header http.Header) *forward.Request {
	return &forward.Request{
		ID: "id-1", Method: "POST", URI: "/plan/k?x=1", Header: header, Body: []byte("body"),
		Service: "plan", Shard: 3, Epoch: 9, Deadline: time.Now().Add(time.Minute), MaxBody: 100,
	}
}

// TestForwardedHeader checks which of a caller's headers reach a target.
func TestForwardedHeader(t *testing.T) {
	heads := make(chan *http.Request, 1)
	p := pipeTo(func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.ReadAll(r.Body)
			heads <- r
		}
		_ = c.Close()
	})
	h := http.Header{
		"Authorization": {"Bearer secret"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Accept": {"text/plain"},
		"Citrontray-Shard": {"1"}, "Citrontray_shard": {"1"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"999"},
		"X-Forwarded-For": {"1.2.3.4"}, "X-Cut": {"a\r\nCitrontray-Epoch: 1"}, "Idempotency-Key": {"k"},
	}
	p.Do(context.Background(), request(forward.SanitizeHeader(h)), time.Now())
	r := <-heads
	want := http.Header{
		"Accept": {"text/plain"}, "X-Cut": {"aCitrontray-Epoch: 1"}, "Idempotency-Key": {"k"}, "Content-Length": {"4"},
		target.HeaderRequest: {"id-1"}, target.HeaderService: {"plan"}, target.HeaderShard: {"3"}, target.HeaderEpoch: {"9"},
	}
	assert.Assert(t, r.Header.Get(target.HeaderDeadline) != "")
	r.Header.Del(target.HeaderDeadline)
	assert.DeepEqual(t, r.Header, want)
	assert.Equal(t, r.RequestURI, "/plan/k?x=1")
}

// TestLimit checks that a pool opens no more than MaxOpen connections.
func TestLimit(t *testing.T) {
	entered, unblock := make(chan struct{}), make(chan struct{})
	p := pipeTo(func(c net.Conn) {
		_, _ = io.CopyN(io.Discard, c, 1)
		entered <- struct{}{}
		<-unblock
		_ = c.Close()
	})
	for range 2 {
		go p.Do(context.Background(), request(nil), time.Now())
	}
	<-entered
	<-entered
	result := p.Do(context.Background(), request(nil), time.Now())
	assert.DeepEqual(t, p.Open(), 2)
	notSent, ok := result.(forward.NotSent)
	assert.Assert(t, ok)
	assert.ErrorIs(t, notSent.Err, forward.ErrFull)
	close(unblock)
}

// FuzzAnswer checks that whatever a target sends, only a complete response to the
// request within its limit is returned, and that nothing panics.
func FuzzAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nCitrontray-Request: id-1\r\n"
	f.Add([]byte(head + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte(head + "Content-Length: 200\r\n\r\nok"))
	f.Add([]byte(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte(strings.Replace(head, "id-1", "id-2", 1) + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte(head + "Citrontray-Not-Run: owner\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		p := pipeTo(func(c net.Conn) {
			br := bufio.NewReader(c)
			r, err := http.ReadRequest(br)
			if err == nil {
				_, _ = io.ReadAll(r.Body)
				_, _ = c.Write(response)
			}
			_ = c.Close()
		})
		r := request(nil)
		r.Deadline = time.Now().Add(5 * time.Second)
		switch result := p.Do(context.Background(), r, time.Now()).(type) {
		case forward.Completed:
			if len(result.Body) > 100 || !bytes.Contains(response, []byte("id-1")) {
				t.Fatalf("response %q", result.Body)
			}
		case forward.NotSent:
			t.Fatalf("not sent: %v", result.Err)
		case forward.Uncertain:
			if result.Reason == outcome.AnswerLate {
				t.Fatal("hangs")
			}
		}
	})
}
