package peer

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAnswersRoundTrip(t *testing.T) {
	var remote *RemoteError
	body, err := readAnswer(bytes.NewReader(encodeAnswer([]byte("yes"), nil)))
	assert.NilError(t, err)
	assert.Equal(t, string(body), "yes")
	_, err = readAnswer(bytes.NewReader(encodeAnswer(nil, ErrRefused)))
	assert.ErrorIs(t, err, ErrRefused)
	_, err = readAnswer(bytes.NewReader(encodeAnswer(nil, errors.New("no"))))
	assert.Assert(t, errors.As(err, &remote))
	_, err = readAnswer(bytes.NewReader(nil))
	assert.ErrorIs(t, err, ErrLost)
}

func FuzzReadRequest(f *testing.F) {
	f.Add(append(appendRequestHeader(nil, KindSpread, time.Second), "body"...))
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

func FuzzReadAnswer(f *testing.F) {
	f.Add(encodeAnswer([]byte("yes"), nil))
	f.Add(encodeAnswer(nil, errors.New("no")))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readAnswer(bytes.NewReader(data))
		assert.Assert(t, err == nil || body == nil)
	})
}
