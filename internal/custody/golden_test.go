package custody_test

import (
	"encoding/base64"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/custody"
)

// TestGolden: the golden document, written by revision 2bbdf8e, is decoded to the same
// value, and this is encoded to the same bytes. During an upgrade, hosts of two releases
// read and write the stored document.
func TestGolden(t *testing.T) {
	const golden = "pgFjc3ZjAmZoMS85LzIDhGJ6MWJ6MmJ6M2AEgwACAQWDAQMABoMZASwbAAABAAAAAAAH"
	want := custody.Doc{Service: "svc", WriteID: "h1/9/2", Rows: []custody.Row{
		{Zone: "z1", Next: "z2", Floor: 300},
		{Zone: "z3", Floor: 1 << 40},
		{Zone: "z2", Next: "z1", Floor: 7},
	}}
	body, err := base64.StdEncoding.DecodeString(golden)
	assert.NilError(t, err)
	got, err := custody.Decode(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	again, err := custody.Encode(want)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, body)
}
