package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/relay"
)

func TestJobRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	j := &job{
		caller: "clerk", class: "bulk", route: "plan", idempotent: true, hash: 7, idempotencyKey: "key",
		fingerprint: fingerprint{1, 2}, deadline: now.Add(time.Second),
	}
	j.request = forward.Request{
		Method: "POST", URI: "/plan/k", Header: http.Header{"Accept": {"x"}}, Body: []byte("body"),
		Service: "plan", MaxBody: 5, Deadline: j.deadline,
	}
	body, err := encodeJob(now, j)
	assert.NilError(t, err)
	got, err := decodeJob(now, body)
	assert.NilError(t, err)
	got.wake = nil
	assert.DeepEqual(t, got.request, j.request)
	assert.Equal(t, got.fingerprint, j.fingerprint)
	assert.Equal(t, got.idempotencyKey, j.idempotencyKey)
	assert.Assert(t, got.deadline.Equal(j.deadline))
	later, err := decodeJob(now, compattest.WithNewFields(t, body, wireJob{}))
	assert.NilError(t, err, "fields of a later build")
	assert.DeepEqual(t, later.request, j.request)
	assert.Equal(t, later.fingerprint, j.fingerprint)
}

func TestResultRoundTrip(t *testing.T) {
	tests := map[string]outcome.Result{
		"answer":  outcome.Response{Status: 201, Header: http.Header{"Accept": {"x"}}, Body: []byte("body")},
		"not run": outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: 2 * time.Second},
		"unknown": outcome.UnknownFailure{Reason: outcome.AnswerCut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := relay.EncodeResult(test, true)
			assert.NilError(t, err)
			got, waited, err := decodeResult(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test)
			assert.Assert(t, waited)
		})
	}
}

func FuzzDecode(f *testing.F) {
	body, _ := encodeJob(time.Unix(1000, 0), &job{deadline: time.Unix(1001, 0)})
	f.Add(body)
	body, _ = relay.EncodeResult(outcome.Response{Status: 200, Body: []byte("x")}, false)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		if j, err := decodeJob(time.Unix(1000, 0), body); err == nil && j.deadline.After(time.Unix(1000, 0).Add(maxRelayTimeout)) {
			t.Fatal("deadline exceeds maxRelayTimeout")
		}
		if r, _, err := decodeResult(body); err == nil && r == nil {
			t.Fatal("no result")
		}
	})
}
