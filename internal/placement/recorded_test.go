package placement

import (
	"encoding/base64"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestFieldsOfLaterBuild guards against a report of a later build being refused or misread. The
// added fields are within the limit on nesting.
func TestFieldsOfLaterBuild(t *testing.T) {
	const golden = "hWNzdmNiejEZBdxJA6wCCvsHAegHgYMbgAAAAAAAAAAYMgE="
	body, err := base64.StdEncoding.DecodeString(golden)
	assert.NilError(t, err)
	want, err := DecodeReport(body)
	assert.NilError(t, err)
	var fields []any
	assert.NilError(t, cbor.Unmarshal(body, &fields))
	const hotKeys = 4
	list := fields[hotKeys].([]any)
	list[0] = append(list[0].([]any), 7, "new", []any{1})
	body, err = cbor.Marshal(append(fields, 7, map[string]any{"x": []any{1}}))
	assert.NilError(t, err)
	got, err := DecodeReport(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
