package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"citrontray.example/citrontray/internal/body"
)

// MaxMessage bounds the body of a message and of a response, in bytes.
const MaxMessage = 8 << 20

// Protocol names the version of the message format in the TLS handshake (ALPN).
const Protocol = "citrontray/1"

const (
	// requestHeaderSize: one byte for the kind, four for the timeout in
	// milliseconds, in network order, the rest zero. The zeros make the
	// smallest message larger than 42 bytes on the wire: a restarted process
	// doesn't respond to smaller packets with a stateless reset, and the caller
	// would keep the old connection until its idle timeout.
	requestHeaderSize = 24
	// usedHeaderSize is the size of the kind and the timeout in the header.
	usedHeaderSize = 5
	// responseHeaderSize: one byte for the status.
	responseHeaderSize = 1
	// maxErrorText bounds the text of a RemoteError, in bytes.
	maxErrorText = 1 << 10
)

// status is the first byte of a response.
type status byte

const (
	statusOK status = iota + 1
	statusFailed
	statusRefused
)

// ErrTooLarge is returned for a message above MaxMessage, which was not sent.
var ErrTooLarge = errors.New("peer: message too large")

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = errors.New("peer: malformed message")

// ErrRefused is returned where the other process has no handler for this kind,
// or where one of the two roles may not send or serve it. The message had no
// effect.
var ErrRefused = errors.New("peer: refused")

// RemoteError is an error that the handler of the other process returned.
type RemoteError struct{ Text string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: remote: " + e.Text }

// request is a received message.
type request struct {
	kind    Kind
	timeout time.Duration
	body    []byte
}

func appendRequestHeader(dst []byte, kind Kind, timeout time.Duration) []byte {
	dst = append(dst, byte(kind))
	millis := min(max(timeout.Milliseconds(), 1), maxTimeout.Milliseconds())
	dst = binary.BigEndian.AppendUint32(dst, uint32(millis))
	var zeros [requestHeaderSize - usedHeaderSize]byte
	return append(dst, zeros[:]...)
}

func readRequest(r io.Reader) (request, error) {
	var header [requestHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return request{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	content, err := readBounded(r, nil)
	if err != nil {
		return request{}, err
	}
	timeout := time.Duration(binary.BigEndian.Uint32(header[1:usedHeaderSize])) * time.Millisecond
	return request{kind: Kind(header[0]), timeout: min(timeout, maxTimeout), body: content}, nil
}

func encodeResponse(body []byte, err error) []byte {
	var refused bool
	switch {
	case err == nil && len(body) <= MaxMessage:
		return append([]byte{byte(statusOK)}, body...)
	case err == nil:
		err = ErrTooLarge
	case errors.Is(err, ErrRefused):
		refused = true
	}
	text := err.Error()
	text = text[:min(len(text), maxErrorText)]
	if refused {
		return append([]byte{byte(statusRefused)}, text...)
	}
	return append([]byte{byte(statusFailed)}, text...)
}

func readResponse(r io.Reader, reserve body.Reserve) ([]byte, error) {
	var header [responseHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	content, err := readBounded(r, reserve)
	switch {
	case errors.Is(err, ErrTooLarge):
		// The message was handled, so the caller must not get the error of one that was not sent.
		return nil, fmt.Errorf("%w: response above %d bytes", ErrNoResponse, MaxMessage)
	case err != nil:
		return nil, err
	}
	switch status(header[0]) {
	case statusOK:
		return content, nil
	case statusFailed:
		return nil, &RemoteError{Text: string(content[:min(len(content), maxErrorText)])}
	case statusRefused:
		return nil, ErrRefused
	}
	return nil, ErrMalformed
}

// readBounded reads to the end; it returns ErrTooLarge beyond MaxMessage bytes.
func readBounded(r io.Reader, reserve body.Reserve) ([]byte, error) {
	content, err := body.Read(r, -1, MaxMessage, reserve)
	switch {
	case err == nil:
		return content, nil
	case errors.Is(err, body.ErrTooLarge):
		return nil, ErrTooLarge
	case errors.Is(err, body.ErrNoMemory):
		return nil, err
	}
	return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
}
