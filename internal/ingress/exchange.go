package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// exchange is a request and its response. It is the http.ResponseWriter of the request's
// handler.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *body
	// concurrent is set if the request may run concurrently with others of its
	// connection, closeAfter if the connection closes after the response.
	concurrent, closeAfter bool

	header   http.Header
	status   int
	response []byte
	// onSent is called once the response was written, or can't be; nil for nothing.
	onSent func()
	// answered is set once the response is complete. It is guarded by conn.mu.
	answered bool
}

func newExchange(c *conn, r *http.Request) *exchange {
	x := &exchange{conn: c, request: r, header: make(http.Header)}
	x.closeAfter = r.Close || !r.ProtoAtLeast(1, 1)
	r.Body = http.NoBody
	if x.body = newBody(c, r); x.body != nil {
		r.Body = x.body
		return x
	}
	x.concurrent = (r.Method == http.MethodGet || r.Method == http.MethodHead) && c.server.cfg.Concurrent(r)
	return x
}

// run handles the request and writes its response in its turn.
func (x *exchange) run() {
	defer x.conn.work.Done()
	x.handle()
	if x.body != nil && !x.body.complete() {
		x.closeAfter = true // the start of the next request is unknown
	}
	if x.header.Get("Connection") == "close" {
		// Set by a handler to make the client connect to another host. It is announced with
		// the last response: a client counts what it sent behind the announcement as not read.
		x.closeAfter = true
		x.header.Del("Connection")
	}
	x.conn.mu.Lock()
	x.answered = true
	x.conn.closing = x.conn.closing || x.closeAfter
	x.conn.mu.Unlock()
	if x.body != nil {
		// Only now: the reader must not take the rest of an unread body for a request.
		x.body.finish()
	}
	x.conn.flush()
}

// handle runs the handler. A panic only fails this request.
func (x *exchange) handle() {
	defer func() {
		if cause := recover(); cause != nil {
			x.conn.server.cfg.OnPanic("request", cause)
			x.header, x.response, x.status = make(http.Header), nil, http.StatusInternalServerError
		}
	}()
	x.conn.server.cfg.Handler.ServeHTTP(x, x.request)
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// KeepBody is Write for the only part of a body, which must not change any more. It is not
// copied.
func (x *exchange) KeepBody(p []byte) {
	x.WriteHeader(http.StatusOK)
	x.response = p
}

// OnSent calls f once the response was written, or can't be.
func (x *exchange) OnSent(f func()) { x.onSent = f }

// Write implements http.ResponseWriter. It buffers the response.
func (x *exchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	x.response = append(x.response, p...)
	return len(p), nil
}

// copiedBody is the length up to which a body is sent in one buffer with its head.
const copiedBody = 8 << 10

// encode returns the encoded response.
func (x *exchange) encode(now time.Time) net.Buffers {
	x.WriteHeader(http.StatusOK)
	bodyless := x.status == http.StatusNoContent || x.status == http.StatusNotModified
	if _, ok := x.header["Content-Length"]; !ok && !bodyless {
		x.header["Content-Length"] = []string{strconv.Itoa(len(x.response))}
	}
	if x.closeAfter {
		x.header["Connection"] = []string{"close"}
	}
	if _, ok := x.header["Date"]; !ok {
		x.header["Date"] = []string{now.UTC().Format(http.TimeFormat)}
	}
	const headSize = 512
	content := x.response
	if bodyless || x.request != nil && x.request.Method == http.MethodHead {
		content = nil
	}
	out := bytes.NewBuffer(make([]byte, 0, headSize+min(len(content), copiedBody)))
	out.WriteString(statusLine(x.status))
	_ = x.header.Write(out) // writes to a buffer can't fail
	out.WriteString("\r\n")
	if len(content) > copiedBody {
		return net.Buffers{out.Bytes(), content}
	}
	out.Write(content)
	return net.Buffers{out.Bytes()}
}
