package host

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/platform"
)

func TestCallResult(t *testing.T) {
	tests := map[string]struct {
		err  error
		want string
	}{
		"done":        {nil, "done"},
		"missing":     {platform.ErrNotFound, "missing"},
		"conflict":    {&platform.TxnConflictError{}, "conflict"},
		"ended":       {platform.ErrSessionEnded, "ended"},
		"unavailable": {fmt.Errorf("%w: status 503", platform.ErrUnavailable), "unavailable"},
		"unknown":     {platform.ErrOutcomeUnknown, "unknown"},
		"any other":   {errors.New("other"), "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, callResult(test.err), test.want) })
	}
}
