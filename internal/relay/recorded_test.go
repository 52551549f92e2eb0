package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/outcome"
)

// TestRecordedRequests guards against a request of another build being refused or misread.
func TestRecordedRequests(t *testing.T) {
	compattest.Check(t, map[string]any{"request": wireRequest{}}, func(t *testing.T, _ string, body []byte) {
		got, err := DecodeRequest(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, sample())
	})
}

// TestRecordedResults guards against a result of another build being refused or misread.
func TestRecordedResults(t *testing.T) {
	want := map[string]outcome.Result{
		"result-done":    outcome.Response{Status: http.StatusCreated, Header: http.Header{"Accept": {"x"}}, Body: []byte("body")},
		"result-not-run": outcome.NotRunFailure{Reason: outcome.Overload, RetryAfter: 700 * time.Millisecond},
		"result-unknown": outcome.UnknownFailure{Reason: outcome.AnswerCut},
	}
	wire := make(map[string]any)
	for name := range want {
		wire[name] = wireResult{}
	}
	compattest.Check(t, wire, func(t *testing.T, name string, body []byte) {
		got, waited, err := DecodeResult(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want[name])
		assert.Equal(t, waited, name == "result-done")
	})
}

// TestRecordedQuestions guards against a question of another build being refused or misread.
func TestRecordedQuestions(t *testing.T) {
	compattest.Check(t, map[string]any{"target": wireTarget{}}, func(t *testing.T, _ string, body []byte) {
		name, incarnation, err := DecodeTarget(body)
		assert.NilError(t, err)
		assert.Equal(t, string(name), "t1")
		assert.Equal(t, uint64(incarnation), uint64(1<<40))
	})
}

// TestRecordedReach guards against an answer of another build being misread.
func TestRecordedReach(t *testing.T) {
	want := map[string]Reach{"reach-0": ReachUnknown, "reach-1": ReachOpen, "reach-2": ReachRefused}
	found := 0
	for _, r := range compattest.Recordings(t) {
		reach, ok := want[r.Name]
		if !ok {
			continue
		}
		found++
		assert.Equal(t, DecodeReach(r.Body), reach, r.Name)
		assert.Equal(t, DecodeReach(append(r.Body, 0)), ReachUnknown, r.Name)
	}
	assert.Equal(t, found, len(want))
}

// TestUnknownOutcomeIsMalformed guards against an outcome of a later build being taken for
// one that this build knows.
func TestUnknownOutcomeIsMalformed(t *testing.T) {
	body, err := cbor.Marshal(wireResult{Outcome: "new", Status: http.StatusOK})
	assert.NilError(t, err)
	_, _, err = DecodeResult(body)
	assert.ErrorIs(t, err, ErrMalformed)
}

// TestRequestOfOlderBuild guards against a request without the last fields being refused.
func TestRequestOfOlderBuild(t *testing.T) {
	full := sample()
	body, err := full.Encode()
	assert.NilError(t, err)
	var fields []any
	assert.NilError(t, compat.Unmarshal(body, &fields))
	const withoutCounts = 2
	body, err = cbor.Marshal(fields[:len(fields)-withoutCounts])
	assert.NilError(t, err)
	got, err := DecodeRequest(body)
	assert.NilError(t, err)
	want := sample()
	want.Attempts, want.Arrivals = 0, 0
	assert.DeepEqual(t, got, want)
}
