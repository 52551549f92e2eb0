package peer

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
)

func TestResponsesRoundTrip(t *testing.T) {
	var remote *RemoteError
	body, err := readResponse(bytes.NewReader(encodeResponse([]byte("yes"), nil)), nil)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "yes")
	_, err = readResponse(bytes.NewReader(encodeResponse(nil, ErrRefused)), nil)
	assert.ErrorIs(t, err, ErrRefused)
	_, err = readResponse(bytes.NewReader(encodeResponse(nil, errors.New("no"))), nil)
	assert.Assert(t, errors.As(err, &remote))
	_, err = readResponse(bytes.NewReader(nil), nil)
	assert.ErrorIs(t, err, ErrNoResponse)
}

// TestLongResponseIsNotUnsent: a response above the limit does not count as a message that was
// too large to be sent.
func TestLongResponseIsNotUnsent(t *testing.T) {
	_, err := readResponse(bytes.NewReader(append([]byte{byte(statusOK)}, make([]byte, MaxMessage+1)...)), nil)
	assert.ErrorIs(t, err, ErrNoResponse)
	assert.Assert(t, !errors.Is(err, ErrTooLarge))
}

func FuzzReadRequest(f *testing.F) {
	compattest.AddSeeds(f)
	f.Add(append(appendRequestHeader(nil, KindSync, time.Second), "body"...))
	f.Add([]byte{1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := readRequest(bytes.NewReader(data))
		if err != nil {
			return
		}
		assert.Assert(t, req.timeout >= 0 && req.timeout <= maxTimeout)
		assert.Assert(t, len(req.body) <= len(data))
	})
}

func FuzzReadResponse(f *testing.F) {
	compattest.AddSeeds(f)
	f.Add(encodeResponse([]byte("yes"), nil))
	f.Add(encodeResponse(nil, errors.New("no")))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readResponse(bytes.NewReader(data), nil)
		assert.Assert(t, err == nil || body == nil)
	})
}
