package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
)

// TestRecordedFrames guards against a frame of another build being refused or misread.
func TestRecordedFrames(t *testing.T) {
	seen := make(map[string]int)
	for _, r := range compattest.Recordings(t) {
		t.Run(r.Commit+" "+r.Name, func(t *testing.T) {
			seen[r.Name]++
			if r.Name == "request" {
				laterHeader := bytes.Clone(r.Body) // a later build may use the rest of the header
				laterHeader[requestHeaderSize-1] = 7
				for _, body := range [][]byte{r.Body, laterHeader} {
					got, err := readRequest(bytes.NewReader(body))
					assert.NilError(t, err)
					assert.Equal(t, got.kind, Kind(3))
					assert.Equal(t, got.timeout, 1500*time.Millisecond)
					assert.Equal(t, string(got.body), "body")
				}
				return
			}
			got, err := readResponse(bytes.NewReader(r.Body), nil)
			switch r.Name {
			case "response":
				assert.NilError(t, err)
				assert.Equal(t, string(got), "body")
			case "response-failed":
				assert.ErrorContains(t, err, "peer: remote: text")
			case "response-refused":
				assert.ErrorIs(t, err, ErrRefused)
			default:
				t.Fatal("unknown recording")
			}
		})
	}
	const commits = 2
	assert.DeepEqual(t, seen, map[string]int{"request": commits, "response": commits, "response-failed": commits, "response-refused": commits})
}

// TestUnknownStatusIsMalformed guards against a status of a later build being taken for a
// known one.
func TestUnknownStatusIsMalformed(t *testing.T) {
	for _, unknown := range []status{0, statusRefused + 1, 255} {
		_, err := readResponse(bytes.NewReader([]byte{byte(unknown), 'x'}), nil)
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

// TestRefusedMessageNamesSenderAndKind guards against a refused message that leaves no line.
func TestRefusedMessageNamesSenderAndKind(t *testing.T) {
	for name, test := range map[string]struct {
		kind Kind
		role Role
	}{
		"unknown kind":       {200, RoleLead},
		"not for its sender": {KindRelay, RoleOperator},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			p := &Peer{log: slog.New(slog.NewJSONHandler(&logged, nil)), handlers: map[Kind]Handler{
				KindRelay: func(context.Context, Identity, []byte) ([]byte, error) { return nil, nil },
			}}
			_, err := p.dispatch(t.Context(), Identity{Host: "h2", Role: test.role}, request{kind: test.kind})
			assert.ErrorIs(t, err, ErrRefused)
			var line struct {
				Level, From, Role string
				Kind              int
			}
			assert.NilError(t, json.Unmarshal(logged.Bytes(), &line))
			assert.Equal(t, line.Level, "WARN")
			assert.Equal(t, line.From, "h2")
			assert.Equal(t, line.Role, string(test.role))
			assert.Equal(t, line.Kind, int(test.kind))
		})
	}
}
