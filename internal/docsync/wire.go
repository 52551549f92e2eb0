package docsync

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is returned for a message that can't be read.
var ErrMalformed = errors.New("spread: malformed message")

const (
	maxWireElements = 2 * MaxDocuments
	maxWireNesting  = 8
	maxNameBytes    = 256
)

// request is what one process asks or tells another.
type request interface{ request() }

// poll asks for what is newer than the asking process has. Known tells what it
// has, where that is little or the cursor is of another life of the board.
type poll struct {
	replica instanceID
	cursor  cursor
	wait    time.Duration
	known   []header
}

// fetch asks for the newest versions of documents.
type fetch struct{ wanted []header }

// push hands over documents that the sender published.
type push struct{ docs []encodedDoc }

func (poll) request()  {}
func (fetch) request() {}
func (push) request()  {}

// header names one version of a document.
type header struct {
	name    Name
	version Version
}

// pollResponse tells what is newer; small documents and changes come along.
type pollResponse struct {
	replica instanceID
	cursor  cursor
	newer   []header
	inline  []encodedDoc
}

// fetchResponse answers a fetch.
type fetchResponse struct{ docs []encodedDoc }

// pushResponse names the documents whose delta had no base; they come whole.
type pushResponse struct{ resend []Name }

type wireHeader struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Major uint64
	Minor uint64
}

type wireDoc struct {
	_         struct{} `cbor:",toarray"`
	Header    wireHeader
	Encoding  uint8
	BaseMajor uint64
	BaseMinor uint64
	Payload   []byte
}

type wireRequest struct {
	Poll  *wirePoll    `cbor:"1,keyasint,omitempty"`
	Fetch []wireHeader `cbor:"2,keyasint,omitempty"`
	Push  []wireDoc    `cbor:"3,keyasint,omitempty"`
}

type wirePoll struct {
	_       struct{} `cbor:",toarray"`
	Replica uint64
	Cursor  uint64
	WaitMS  uint32
	Known   []wireHeader
}

type wireResponse struct {
	Replica uint64       `cbor:"1,keyasint,omitempty"`
	Cursor  uint64       `cbor:"2,keyasint,omitempty"`
	Newer   []wireHeader `cbor:"3,keyasint,omitempty"`
	Docs    []wireDoc    `cbor:"4,keyasint,omitempty"`
	Resend  []string     `cbor:"5,keyasint,omitempty"`
}

var wireDecoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxWireElements,
		MaxMapPairs:      maxWireElements,
		MaxNestedLevels:  maxWireNesting,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func encodeRequest(q request) ([]byte, error) {
	var w wireRequest
	switch q := q.(type) {
	case poll:
		w.Poll = &wirePoll{
			Replica: uint64(q.replica),
			Cursor:  uint64(q.cursor),
			WaitMS:  uint32(q.wait.Milliseconds()),
			Known:   wireHeaders(q.known),
		}
	case fetch:
		w.Fetch = wireHeaders(q.wanted)
	case push:
		w.Push = wireDocs(q.docs)
	}
	return encodeWire(w)
}

func decodeRequest(data []byte) (request, error) {
	var w wireRequest
	if err := decodeWire(data, &w); err != nil {
		return nil, err
	}
	switch {
	case w.Poll != nil:
		known, err := headersOf(w.Poll.Known)
		return poll{
			replica: instanceID(w.Poll.Replica),
			cursor:  cursor(w.Poll.Cursor),
			wait:    time.Duration(w.Poll.WaitMS) * time.Millisecond,
			known:   known,
		}, err
	case w.Fetch != nil:
		wanted, err := headersOf(w.Fetch)
		return fetch{wanted: wanted}, err
	case w.Push != nil:
		parcels, err := docsOf(w.Push)
		return push{docs: parcels}, err
	}
	return nil, ErrMalformed
}

func encodePollResponse(a pollResponse) ([]byte, error) {
	return encodeWire(wireResponse{
		Replica: uint64(a.replica),
		Cursor:  uint64(a.cursor),
		Newer:   wireHeaders(a.newer),
		Docs:    wireDocs(a.inline),
	})
}

func decodePollResponse(data []byte) (pollResponse, error) {
	var w wireResponse
	if err := decodeWire(data, &w); err != nil {
		return pollResponse{}, err
	}
	newer, err := headersOf(w.Newer)
	if err != nil {
		return pollResponse{}, err
	}
	small, err := docsOf(w.Docs)
	return pollResponse{replica: instanceID(w.Replica), cursor: cursor(w.Cursor), newer: newer, inline: small}, err
}

func encodeFetchResponse(a fetchResponse) ([]byte, error) {
	return encodeWire(wireResponse{Docs: wireDocs(a.docs)})
}

func decodeFetchResponse(data []byte) (fetchResponse, error) {
	var w wireResponse
	if err := decodeWire(data, &w); err != nil {
		return fetchResponse{}, err
	}
	parcels, err := docsOf(w.Docs)
	return fetchResponse{docs: parcels}, err
}

func encodePushResponse(a pushResponse) ([]byte, error) {
	var w wireResponse
	for _, name := range a.resend {
		w.Resend = append(w.Resend, string(name))
	}
	return encodeWire(w)
}

func decodePushResponse(data []byte) (pushResponse, error) {
	var w wireResponse
	if err := decodeWire(data, &w); err != nil {
		return pushResponse{}, err
	}
	var a pushResponse
	for _, name := range w.Resend {
		a.resend = append(a.resend, Name(name))
	}
	return a, nil
}

func encodeWire(w any) ([]byte, error) {
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("spread: encode: %w", err)
	}
	return data, nil
}

func decodeWire(data []byte, w any) error {
	if err := wireDecoder.Unmarshal(data, w); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func wireHeaders(headers []header) []wireHeader {
	out := make([]wireHeader, len(headers))
	for i, h := range headers {
		out[i] = wireHeaderOf(h)
	}
	return out
}

func wireHeaderOf(h header) wireHeader {
	return wireHeader{Name: string(h.name), Major: h.version.Major, Minor: h.version.Minor}
}

func headersOf(wire []wireHeader) ([]header, error) {
	out := make([]header, len(wire))
	for i, w := range wire {
		h, err := headerOf(w)
		if err != nil {
			return nil, err
		}
		out[i] = h
	}
	return out, nil
}

func headerOf(w wireHeader) (header, error) {
	if w.Name == "" || len(w.Name) > maxNameBytes {
		return header{}, ErrMalformed
	}
	return header{name: Name(w.Name), version: Version{Major: w.Major, Minor: w.Minor}}, nil
}

func wireDocs(parcels []encodedDoc) []wireDoc {
	out := make([]wireDoc, len(parcels))
	for i, p := range parcels {
		out[i] = wireDoc{
			Header:    wireHeaderOf(header{name: p.name, version: p.version}),
			Encoding:  uint8(p.encoding),
			BaseMajor: p.base.Major,
			BaseMinor: p.base.Minor,
			Payload:   p.payload,
		}
	}
	return out
}

func docsOf(wire []wireDoc) ([]encodedDoc, error) {
	out := make([]encodedDoc, len(wire))
	for i, w := range wire {
		h, err := headerOf(w.Header)
		if err != nil {
			return nil, err
		}
		if len(w.Payload) > MaxDocumentBytes {
			return nil, ErrMalformed
		}
		out[i] = encodedDoc{
			name:     h.name,
			version:  h.version,
			encoding: encoding(w.Encoding),
			base:     Version{Major: w.BaseMajor, Minor: w.BaseMinor},
			payload:  w.Payload,
		}
	}
	return out, nil
}
