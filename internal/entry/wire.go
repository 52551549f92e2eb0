package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/relay"
	"citrontray.example/citrontray/internal/settings"
)

// reasonNotHome is the reason with which an entry host refuses a relayed request. It is
// never sent to callers.
const reasonNotHome outcome.Reason = "not-home"

// errMalformed is returned for a message that can't be decoded.
var errMalformed = errors.New("entry: malformed message")

// wireJob is a request between entry hosts.
type wireJob struct {
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

// maxRelayTimeout limits the timeout of a relayed request.
const maxRelayTimeout = 10 * time.Minute

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
	if err := compat.Unmarshal(body, &m); err != nil {
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

// decodeResult reads a result of another entry host.
func decodeResult(body []byte) (result outcome.Result, waited bool, err error) {
	result, waited, err = relay.DecodeResult(body)
	if r, ok := result.(outcome.Response); ok {
		r.Header = forward.SanitizeHeader(r.Header)
		result = r
	}
	return result, waited, err
}
