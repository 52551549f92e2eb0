// Package forward sends requests to targets over pooled connections, and reports for each
// failure whether the request may have run.
//
// It has its own small connection pool on top of net/http's reader instead of
// http.Transport, which retries every request with an Idempotency-Key header when an
// idle connection breaks, and so could run it twice.
package forward

import (
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// Request is a request to a target. Header holds only headers that may be forwarded;
// the headers of package target are added to them.
type Request struct {
	ID       string
	Method   string
	URI      string // escaped path and query, as the caller sent them
	Header   http.Header
	Body     []byte
	Service  key.Service
	Shard    key.Shard
	Epoch    grant.Epoch
	Deadline time.Time
	// MaxBody bounds the body of the response, in bytes.
	MaxBody int64
	// Reserve reserves memory for more bytes of the response and reports whether it
	// was available. If nil, memory is not accounted for.
	Reserve func(bytes int64) bool
	// MaxIdle is how long a connection may have been idle to be reused; zero stands
	// for no limit.
	MaxIdle time.Duration
	// NotAfter is the time from which the request is no longer sent, also if connecting
	// took until then; zero stands for no limit.
	NotAfter time.Time
	// AtMostOnce is set if the request must not run twice. A refusal then has to name it.
	AtMostOnce bool
	// HeaderNames is set for targets without shards. Service, Shard and Epoch are not
	// sent to them.
	HeaderNames *target.HeaderNames
	// Host is the client's Host header, and Expect the only target that may run the
	// request. They are sent only if HeaderNames is set.
	Host   string
	Expect place.Target
}

// Result is the result of one attempt: Completed, Refused, NotSent or Uncertain.
type Result interface{ result() }

// Completed is a complete response to the request.
type Completed struct {
	outcome.Response

	Signal target.Signal
}

// Refused is the result if the target refused the request and did not run it.
type Refused struct {
	Refusal target.Refusal
	// Status is the HTTP status of the refusal.
	Status int
	// Named is set if the response carries the request's ID.
	Named bool
	// Carried is how many requests the connection had carried before.
	Carried int
	Signal  target.Signal
}

// NotSent is the result if no byte of the request was sent, so that it did not run.
type NotSent struct{ Err error }

// Uncertain is the result if the request may have run.
type Uncertain struct {
	Reason outcome.Reason
	Err    error
	// Idle is how long the connection had been idle before the request; zero for a
	// new one.
	Idle time.Duration
}

func (Completed) result() {}
func (Refused) result()   {}
func (NotSent) result()   {}
func (Uncertain) result() {}
