// Package relay encodes the requests that a host passes to another one, which sends them
// to a target, their results, and the questions of a host whether others reach a target.
package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/traffic"
)

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = errors.New("relay: malformed message")

// maxTimeout limits the timeout of a relayed request.
const maxTimeout = 10 * time.Minute

// Request is a client's request that a host passes to another one.
type Request struct {
	ID     string
	Method string
	URI    string // escaped path and query, as the client sent them
	Host   string // the client's Host header
	Header http.Header
	Body   []byte
	// Config is the version of the configuration by which the passing host chose Service.
	Config  traffic.Version
	Service key.Service
	Point   key.Point
	// Timeout is the time left until the deadline, SoftTimeout that until the soft
	// deadline, which may be negative.
	Timeout, SoftTimeout time.Duration
	// Attempts and Arrivals are the attempts of the passing host that count against the
	// route's limit, and those that may have reached a target.
	Attempts, Arrivals int
}

type wireRequest struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Config    uint64
	Service   string
	Point     uint32
	TimeoutUS int64
	SoftUS    int64
	Attempts  int
	Arrivals  int
}

// Encode returns the request in its wire form.
func (r *Request) Encode() ([]byte, error) {
	body, err := cbor.Marshal(&wireRequest{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Config: uint64(r.Config), Service: string(r.Service), Point: uint32(r.Point),
		TimeoutUS: r.Timeout.Microseconds(), SoftUS: r.SoftTimeout.Microseconds(), Attempts: r.Attempts, Arrivals: r.Arrivals,
	})
	if err != nil {
		return nil, fmt.Errorf("relay: encode request: %w", err)
	}
	return body, nil
}

// DecodeRequest reads a request that Encode wrote.
func DecodeRequest(body []byte) (Request, error) {
	var w wireRequest
	if err := compat.Unmarshal(body, &w); err != nil {
		return Request{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	limit := maxTimeout.Microseconds()
	if w.ID == "" || w.TimeoutUS < 0 || w.TimeoutUS > limit || w.SoftUS < -limit || w.SoftUS > limit ||
		w.Point >= key.Points || w.Attempts < 0 || w.Arrivals < 0 {
		return Request{}, ErrMalformed
	}
	return Request{
		ID: w.ID, Method: w.Method, URI: w.URI, Host: w.Host, Header: w.Header, Body: w.Body,
		Config: traffic.Version(w.Config), Service: key.Service(w.Service), Point: key.Point(w.Point),
		Timeout: time.Duration(w.TimeoutUS) * time.Microsecond, SoftTimeout: time.Duration(w.SoftUS) * time.Microsecond,
		Attempts: w.Attempts, Arrivals: w.Arrivals,
	}, nil
}

type wireResult struct {
	_       struct{} `cbor:",toarray"`
	Outcome string
	Reason  string
	RetryMS uint32
	Status  int
	Header  http.Header
	Body    []byte
	// Waited reports whether the request waited for a slot.
	Waited bool
}

// EncodeResult returns a result in its wire form. waited reports whether the request waited
// for a slot.
func EncodeResult(result outcome.Result, waited bool) ([]byte, error) {
	m := wireResult{Outcome: string(outcome.Of(result)), Reason: string(outcome.ReasonOf(result)), Waited: waited}
	switch r := result.(type) {
	case outcome.Response:
		m.Status, m.Header, m.Body = r.Status, r.Header, r.Body
	case outcome.NotRunFailure:
		m.RetryMS = uint32(r.RetryAfter.Milliseconds())
	}
	return cbor.Marshal(&m)
}

// DecodeResult reads a result that EncodeResult wrote.
func DecodeResult(body []byte) (result outcome.Result, waited bool, err error) {
	var m wireResult
	if err := compat.Unmarshal(body, &m); err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch outcome.Outcome(m.Outcome) {
	case outcome.Done:
		if m.Status < http.StatusOK || !outcome.ValidStatus(m.Status) {
			return nil, false, ErrMalformed
		}
		result = outcome.Response{Status: m.Status, Header: m.Header, Body: m.Body}
	case outcome.NotRun:
		result = outcome.NotRunFailure{
			Reason:     outcome.Reason(m.Reason),
			RetryAfter: time.Duration(m.RetryMS) * time.Millisecond,
		}
	case outcome.Unknown:
		result = outcome.UnknownFailure{Reason: outcome.Reason(m.Reason)}
	default:
		return nil, false, ErrMalformed
	}
	return result, m.Waited, nil
}
