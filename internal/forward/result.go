// Package forward sends requests to targets over kept connections and says of
// each failure whether the request may have run.
//
// It has its own small pool over net/http's reader, not http.Transport: that
// one sends a request again by itself when a kept connection breaks, for every
// request with an Idempotency-Key header, and so would run it twice.
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

// Request is one request to a target. Header holds only what may be
// forwarded; the headers of package target are added here.
type Request struct {
	ID       string
	Method   string
	URI      string // path and query as the caller sent them
	Header   http.Header
	Body     []byte
	Service  key.Service
	Shard    key.Shard
	Epoch    grant.Epoch
	Deadline time.Time
	// MaxBody bounds the body of the answer, in bytes.
	MaxBody int64
	// Reserve reserves memory for that many more bytes of the answer, and reports whether
	// there is any left; nil takes no account.
	Reserve func(bytes int64) bool
	// MaxIdle is how long a connection may have been idle to be used; zero
	// stands for any time.
	MaxIdle time.Duration
	// HeaderNames are set for targets without shards; Service, Shard and Epoch are
	// not sent to them.
	HeaderNames *target.HeaderNames
	// Host is the client's Host header, and Expect the only target that may
	// take the request. Both are sent only with Names.
	Host   string
	Expect place.Target
}

// Result is what is known of a request after one try.
type Result interface{ result() }

// Completed is the whole answer to this very request.
type Completed struct {
	outcome.Response

	Signal target.Signal
}

// Refused tells that the target refused the request and did not run it.
type Refused struct {
	Refusal target.Refusal
	// Status is the status of the refusal.
	Status int
	Signal target.Signal
}

// NotSent tells that no byte of the request left: it did not run.
type NotSent struct{ Err error }

// Uncertain tells that the request may have run.
type Uncertain struct {
	Reason outcome.Reason
	Err    error
	// Idle is how long the connection had been idle before; zero for a new one.
	Idle time.Duration
}

func (Completed) result() {}
func (Refused) result()   {}
func (NotSent) result()   {}
func (Uncertain) result() {}
