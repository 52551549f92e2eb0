package host

import (
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/body"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/site"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// startingRetryAfter is the Retry-After hint while there is no configuration yet.
	startingRetryAfter = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After hint of a host that stops: another one takes the
	// request.
	stoppingRetryAfter = 50 * time.Millisecond
	// maxBodyBytes limits the body of a response, which is buffered whole. It also
	// limits request bodies where no limit is configured.
	maxBodyBytes = 16 << 20
	// maxBodyMemoryShare is the share of memory for the request and response bodies in
	// flight.
	maxBodyMemoryShare = 0.25
)

// bodyMemoryOf returns the memory for bodies in flight, in bytes.
func bodyMemoryOf(s *site.Site) int64 { return int64(maxBodyMemoryShare * float64(s.MemoryBytes)) }

// sentNotifier is a response writer that keeps the response until the client takes it.
type sentNotifier interface {
	// OnSent calls f once the response was written, or can't be.
	OnSent(f func())
}

// ServeHTTP handles one client request.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := r.Header.Get(h.names.Request)
	j, result := h.newJob(w, r, id, start)
	if result == nil {
		if s, ok := w.(sentNotifier); ok {
			s.OnSent(j.releaseMemory)
		} else {
			defer j.releaseMemory()
		}
		result = j.run(r.Context())
	}
	h.recordEnd(j, id, start, result)
	if id != "" {
		w.Header()[http.CanonicalHeaderKey(h.names.Request)] = []string{id}
	}
	if h.checkIsolated(time.Now()) {
		w.Header()["Connection"] = []string{"close"}
	}
	outcome.WriteFractional(w, result)
}

// newJob validates a request and reads its body. It returns a result if the request
// ends here.
func (h *Host) newJob(w http.ResponseWriter, r *http.Request, id string, now time.Time) (*job, outcome.Result) {
	v := h.views.view()
	if v.routes == nil || v.awaitsEvacuations {
		return nil, outcome.NotRunFailure{Reason: outcome.Starting, RetryAfter: startingRetryAfter}
	}
	route := v.routes.Find(r.Host, pathOf(r))
	if route == nil {
		return nil, outcome.NotRunFailure{Reason: outcome.NoRoute}
	}
	if id == "" {
		return nil, outcome.NotRunFailure{Reason: outcome.BadHeader}
	}
	limits := v.routes.Config().Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return nil, outcome.NotRunFailure{Reason: outcome.HeaderTooBig}
	}
	part := h.splitter.Next(route)
	service := v.routes.Service(part.Service)
	if service == nil {
		return nil, outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter}
	}
	j := &job{host: h, route: route, service: service, arrived: now, config: v.routes.Config().Version}
	j.setDeadlines(now, h.timeLeft(r), h.clientTimeouts.observe(route.Name, h.timeLeft(r)))
	if service.KeySpace == traffic.Ranged {
		point, err := strconv.ParseUint(r.Header.Get(h.names.Key), 10, 32)
		if err != nil || point >= key.Points {
			return nil, outcome.NotRunFailure{Reason: outcome.BadKey}
		}
		j.point = key.Point(point)
		h.keyCounter.count(service.Name, j.point)
	}
	h.retries.CountRequest(now, service.Name)
	content, result := h.readBody(r, limits.MaxBodyBytes, j.reserveMemory)
	if result == nil && h.stops.own().Late(time.Now(), j.deadline) {
		result = outcome.NotRunFailure{Reason: outcome.Stopping, RetryAfter: stoppingRetryAfter}
	}
	if result != nil {
		j.releaseMemory()
		return nil, result
	}
	header := forward.StripHopByHop(r.Header)
	for _, name := range []string{h.names.Request, h.names.Deadline, h.names.Expect} {
		header.Del(name)
	}
	j.request = forward.Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Header: header, Body: content,
		Deadline: j.deadline, MaxBody: maxBodyBytes, HeaderNames: h.names, Host: r.Host, Reserve: j.reserveMemory,
		AtMostOnce: !route.Idempotent,
	}
	j.fingerprint = h.quarantine.fingerprint(&j.request, header.Get(h.names.Key))
	return j, nil
}

// setDeadlines sets the deadline and the soft deadline. A client that sends a shorter
// timeout than usual is retrying after a refusal, so part of its latency objective is
// used up.
func (j *job) setDeadlines(now time.Time, clientTimeout, usualTimeout time.Duration) {
	timeout := j.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	objective := j.route.LatencyObjective
	if clientTimeout > 0 {
		objective -= max(usualTimeout-clientTimeout, 0)
		timeout = min(timeout, clientTimeout)
	}
	j.deadline, j.softDeadline = now.Add(timeout), now.Add(objective)
}

// defaultTimeout is the timeout of routes that set none.
const defaultTimeout = 10 * time.Second

// timeLeft returns the timeout in the client's deadline header, or zero.
func (h *Host) timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(h.names.Deadline), 64)
	const maxMillis = 1e9
	if err != nil || ms <= 0 || ms > maxMillis {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// pathOf returns the path as sent by the client, still escaped.
func pathOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return pathOfURI(r.RequestURI)
	}
	return r.URL.EscapedPath()
}

// pathOfURI returns the path in a request line, still escaped.
func pathOfURI(uri string) string {
	if !strings.HasPrefix(uri, "/") {
		if u, err := url.Parse(uri); err == nil && u.IsAbs() {
			return u.EscapedPath()
		}
	}
	p, _, _ := strings.Cut(uri, "?")
	return p
}

// headerBytes returns the approximate size of a request's head.
func headerBytes(r *http.Request) int {
	const separators = 4 // ": " and CRLF
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// readBody reads a body of at most limit bytes into memory that it reserves.
func (h *Host) readBody(r *http.Request, limit int64, reserve body.Reserve) ([]byte, outcome.Result) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	}
	out, err := body.Read(r.Body, r.ContentLength, limit, reserve)
	switch {
	case err == nil:
		return out, nil
	case errors.Is(err, body.ErrTooLarge):
		return nil, outcome.NotRunFailure{Reason: outcome.BodyTooBig}
	case errors.Is(err, body.ErrNoMemory):
		return nil, outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: defaultRetryAfter}
	}
	h.log.Info("Request body not read.", slog.Any("error", err))
	if own := h.stops.own(); own != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, outcome.NotRunFailure{Reason: outcome.Stopping, RetryAfter: stoppingRetryAfter}
	}
	return nil, outcome.NotRunFailure{Reason: outcome.BodyCut}
}

// recordEnd counts the request and logs a single line with its result and the reasons
// for it.
func (h *Host) recordEnd(j *job, id string, start time.Time, result outcome.Result) {
	took := time.Since(start)
	attrs := []any{
		slog.String("request", id), slog.String("outcome", string(outcome.Of(result))),
		slog.Int("status", outcome.Status(result)), millisAttr("took", took),
	}
	if reason := outcome.ReasonOf(result); reason != "" {
		attrs = append(attrs, slog.String("reason", string(reason)))
	}
	if failure, ok := result.(outcome.NotRunFailure); ok && failure.RetryAfter > 0 {
		attrs = append(attrs, millisAttr("retry", failure.RetryAfter))
	}
	service := key.Service("")
	if j != nil {
		service = j.service.Name
		attrs = append(attrs, j.logAttrs()...)
	}
	h.metrics.countRequest(service, result, took)
	if p := proofFor(j, result); p != "" {
		h.metrics.countNotRun(service, p)
		attrs = append(attrs, p.attrs()...)
	}
	h.log.Info("Request ended.", attrs...)
}

// logAttrs returns the attributes that describe how the request was processed.
func (j *job) logAttrs() []any {
	attrs := []any{
		slog.String("route", string(j.route.Name)), slog.String("service", string(j.service.Name)),
		slog.Uint64("config", uint64(j.config)), slog.Int("sent", j.arrivals), slog.String("target", string(j.lastTarget)),
		millisAttr("queued", j.queued), millisAttr("given", j.deadline.Sub(j.arrived)), slog.String("home", string(j.home)),
		slog.Uint64("ticket", uint64(j.ticketID)),
	}
	if j.refusal != 0 {
		attrs = append(attrs, slog.String("refusal", j.refusal.String()))
	}
	if j.relayedTo != "" {
		attrs = append(attrs, slog.String("relayed", string(j.relayedTo)))
	}
	if d := j.denied; d != nil {
		attrs = append(attrs, slog.Float64("budget", d.Left), slog.Float64("limit", d.Limit), slog.Int("hosts", d.Hosts), slog.Bool("sharing", d.Sharing))
	}
	if j.roomID != 0 {
		attrs = append(attrs, millisAttr("room", j.roomWait))
	}
	if j.service.KeySpace == traffic.Ranged {
		attrs = append(attrs, slog.Int("key", int(j.point)), slog.Uint64("term", uint64(j.table.Term)),
			slog.Uint64("table", j.table.Sequence), millisAttr("age", j.tableAge), millisAttr("parked", j.parked),
			slog.Bool("cold", j.cold))
	}
	return attrs
}
