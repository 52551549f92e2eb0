package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/settings"
)

// reasonNotHome is the reason with which an entry host refuses a relayed request. It is
// never sent to callers.
const reasonNotHome outcome.Reason = "not-home"

// errMalformed is returned for a message that can't be decoded.
var errMalformed = errors.New("entry: malformed message")

// Messages between entry hosts.
type (
	wireJob struct {
		_              struct{} `cbor:",toarray"`
		Caller         string
		Class          string
		Route          string
		Idempotent     bool
		IdempotencyKey string
		Fingerprint    []byte
		Service        string
		Hash           uint64
		TimeoutUS      uint64
		MaxBody        int64
		Method         string
		URI            string
		Header         http.Header
		Body           []byte
	}
	wireResult struct {
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
)

// maxRelayTimeout limits the timeout of a relayed request.
const maxRelayTimeout = 10 * time.Minute

// maxStatusCode is the highest HTTP status code.
const maxStatusCode = 599

func encodeJob(now time.Time, j *job) ([]byte, error) {
	r := &j.request
	return cbor.Marshal(&wireJob{
		Caller: string(j.caller), Class: string(j.class), Route: j.route,
		Idempotent: j.idempotent, IdempotencyKey: j.idempotencyKey, Fingerprint: j.fingerprint[:],
		Service: string(r.Service), Hash: uint64(j.hash),
		TimeoutUS: uint64(max(j.deadline.Sub(now), 0).Microseconds()), MaxBody: r.MaxBody,
		Method: r.Method, URI: r.URI, Header: r.Header, Body: r.Body,
	})
}

func decodeJob(now time.Time, body []byte) (*job, error) {
	var m wireJob
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if len(m.Fingerprint) != len(fingerprint{}) || m.MaxBody < 0 || m.TimeoutUS > uint64(maxRelayTimeout.Microseconds()) {
		return nil, errMalformed
	}
	j := &job{
		caller: settings.Caller(m.Caller), class: settings.Class(m.Class), route: m.Route,
		idempotent: m.Idempotent, idempotencyKey: m.IdempotencyKey, fingerprint: fingerprint(m.Fingerprint),
		hash: key.Hash(m.Hash), wake: make(chan slotEvent, 1),
		deadline: now.Add(time.Duration(m.TimeoutUS) * time.Microsecond),
	}
	j.request = forward.Request{
		Method: m.Method, URI: m.URI, Header: forward.SanitizeHeader(m.Header), Body: m.Body,
		Service: key.Service(m.Service), Deadline: j.deadline, MaxBody: m.MaxBody,
	}
	return j, nil
}

func encodeResult(result outcome.Result, waited bool) ([]byte, error) {
	m := wireResult{Outcome: string(outcome.Of(result)), Reason: string(outcome.ReasonOf(result)), Waited: waited}
	switch r := result.(type) {
	case outcome.Response:
		m.Status, m.Header, m.Body = r.Status, r.Header, r.Body
	case outcome.NotRunFailure:
		m.RetryMS = uint32(r.RetryAfter.Milliseconds())
	}
	return cbor.Marshal(&m)
}

func decodeResult(body []byte) (result outcome.Result, waited bool, err error) {
	var m wireResult
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, false, fmt.Errorf("%w: %w", errMalformed, err)
	}
	switch outcome.Outcome(m.Outcome) {
	case outcome.Done:
		if m.Status < http.StatusOK || m.Status > maxStatusCode {
			return nil, false, errMalformed
		}
		result = outcome.Response{Status: m.Status, Header: forward.SanitizeHeader(m.Header), Body: m.Body}
	case outcome.NotRun:
		result = outcome.NotRunFailure{
			Reason:     outcome.Reason(m.Reason),
			RetryAfter: time.Duration(m.RetryMS) * time.Millisecond,
		}
	case outcome.Unknown:
		result = outcome.UnknownFailure{Reason: outcome.Reason(m.Reason)}
	default:
		return nil, false, errMalformed
	}
	return result, m.Waited, nil
}
