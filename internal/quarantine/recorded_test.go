package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
)

// TestRecorded guards against records of another build being refused or misread.
func TestRecorded(t *testing.T) {
	want := []Record{
		{
			Fingerprint: 1 << 63, Suspicion: Suspicion{Generation: 3, Ends: 2, Trusted: true}, Service: "svc",
			Last: []End{{Target: "t1", Incarnation: 1 << 40}, {Target: "t2", Incarnation: 7}}, Age: 1500 * time.Millisecond,
		},
		{Fingerprint: 5, Service: "svc"},
	}
	compattest.Check(t, map[string]any{"records": []wireRecord{}}, func(t *testing.T, _ string, body []byte) {
		got, err := Decode(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}
