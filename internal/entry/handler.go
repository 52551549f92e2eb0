package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/route"
	"citrontray.example/citrontray/internal/target"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 10 * time.Second
	// defaultMaxBodyBytes applies to services without a body limit.
	defaultMaxBodyBytes    = 1 << 20
	maxIdempotencyKeyBytes = 128
)

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if e.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	v := e.view.Load()
	if v.routes == nil {
		outcome.Write(w, notRun(outcome.Starting, defaultRetryAfter))
		return
	}
	m, reason := v.routes.Find(r)
	if reason != "" {
		result := outcome.NotRunFailure{Reason: reason}
		e.metrics.countRejected(reason)
		outcome.Write(w, result)
		return
	}
	result := e.admit(w, r, m, start)
	took := time.Since(start)
	e.metrics.countRequest(m, result, took)
	refused := outcome.Of(result) == outcome.NotRun
	e.meters.record(start.Add(took), meterID{m.Caller.Name, m.Route.Class}, took, refused)
	outcome.Write(w, result)
}

// admit applies the caller's limit, reads the body and handles the request.
func (e *Entry) admit(rw http.ResponseWriter, r *http.Request, m route.Match, now time.Time) outcome.Result {
	releaseLimit, wait, ok := e.acquireLimit(now, m)
	if !ok {
		return notRun(outcome.Limited, wait)
	}
	defer releaseLimit()
	idemKey, ok := idempotencyKey(r.Header)
	if !ok {
		return outcome.NotRunFailure{Reason: outcome.BadHeader}
	}
	j, failure := e.newJob(rw, r, m, now)
	if failure != nil {
		return failure
	}
	defer e.bodyMemory.release(int64(len(j.request.Body)))
	if j.idempotencyKey = idemKey; idemKey != "" {
		j.fingerprint = fingerprintOf(j)
	}
	return e.handle(r.Context(), j)
}

// idempotencyKey returns the request's idempotency key, or "" if it has none. It returns
// false if the header is malformed.
func idempotencyKey(h http.Header) (string, bool) {
	values := h[target.HeaderIdempotency]
	if len(values) == 0 {
		return "", true
	}
	return values[0], len(values) == 1 && values[0] != "" && len(values[0]) <= maxIdempotencyKeyBytes
}

// newJob reads a request, including its body, and creates its job. A caller may shorten
// the timeout of the route by a header.
func (e *Entry) newJob(rw http.ResponseWriter, r *http.Request, m route.Match, now time.Time) (*job, outcome.Result) {
	timeout := m.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if text := r.Header.Get(target.HeaderDeadline); text != "" {
		if ms, err := strconv.ParseInt(text, 10, 32); err == nil && ms > 0 {
			timeout = min(timeout, time.Duration(ms)*time.Millisecond)
		}
	}
	limit := m.Service.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	j := &job{
		caller:     m.Caller.Name,
		class:      m.Route.Class,
		route:      m.Route.Name,
		idempotent: m.Route.Idempotent,
		hash:       key.HashOf(m.Key),
		deadline:   now.Add(timeout),
		wake:       make(chan slotEvent, 1),
	}
	j.request = forward.Request{
		ID:       e.requestIDs.next(),
		Method:   r.Method,
		URI:      r.URL.RequestURI(),
		Header:   forward.SanitizeHeader(r.Header),
		Service:  m.Service.Name,
		Deadline: j.deadline,
		MaxBody:  limit,
	}
	if r.Body == nil || r.Body == http.NoBody {
		return j, nil
	}
	body, failure := e.readBody(rw, r, limit, j.deadline)
	j.request.Body = body
	return j, failure
}

// readBody reads the body into memory before the deadline. It is limited by the
// service's limit and by the entry host's memory for bodies.
func (e *Entry) readBody(rw http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, outcome.Result) {
	if r.ContentLength > limit {
		return nil, outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if !e.bodyMemory.reserve(size) {
		return nil, notRun(outcome.Overload, defaultRetryAfter)
	}
	control := http.NewResponseController(rw)
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	e.bodyMemory.release(size - min(int64(len(body)), limit))
	if err == nil && int64(len(body)) <= limit {
		return body, nil
	}
	e.bodyMemory.release(min(int64(len(body)), limit))
	if err == nil {
		return nil, outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	}
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return nil, outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	}
	return nil, outcome.NotRunFailure{Reason: outcome.BodyCut}
}
