package entry_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/outcome"
)

func TestCompleteResponse(t *testing.T) {
	f := newFixture(t, nil)
	owner := newFakeTarget(t, nil)
	f.setOwner(owner.addr())
	a := f.call("GET", "/balance/k1", "")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.outcome, outcome.Done)
	assert.Equal(t, a.body, "ran /balance/k1 ")
	a = f.call("POST", "/plan/k1", "terms")
	assert.Equal(t, a.outcome, outcome.Done)
	assert.Equal(t, a.body, "ran /plan/k1 terms")
	assert.Equal(t, owner.totalRuns(), 2)
}
