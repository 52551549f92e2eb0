package docsync

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
)

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = errors.New("docsync: malformed message")

const (
	maxWireElements = 2 * MaxDocuments
	maxWireNesting  = 8
	maxNameBytes    = 256
)

// request is a message from one process to another.
type request interface{ request() }

// poll asks for documents that are newer than those of the sender. known lists
// the sender's versions: in the first poll, and in all polls where they are
// few.
type poll struct {
	replica instanceID
	cursor  cursor
	wait    time.Duration
	known   []header
}

// fetch asks for the newest versions of documents. wanted names the documents,
// each with the version that the sender has.
type fetch struct{ wanted []header }

// push sends documents that the sender published itself.
type push struct{ docs []encodedDoc }

func (poll) request()  {}
func (fetch) request() {}
func (push) request()  {}

// header names one version of a document.
type header struct {
	name    Name
	version Version
}

// pollResponse lists the newer documents; inline contains the small ones and
// small deltas.
type pollResponse struct {
	replica instanceID
	cursor  cursor
	newer   []header
	inline  []encodedDoc
}

// fetchResponse contains the newest versions of the requested documents.
type fetchResponse struct{ docs []encodedDoc }

// pushResponse names the documents whose delta had an unknown base; the sender
// sends them again in full.
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

var wireDecoder = compat.NewDecoder(cbor.DecOptions{
	MaxArrayElements: maxWireElements,
	MaxMapPairs:      maxWireElements,
	MaxNestedLevels:  maxWireNesting,
})

func encodeRequest(req request) ([]byte, error) {
	var w wireRequest
	switch req := req.(type) {
	case poll:
		w.Poll = &wirePoll{
			Replica: uint64(req.replica),
			Cursor:  uint64(req.cursor),
			WaitMS:  uint32(req.wait.Milliseconds()),
			Known:   wireHeaders(req.known),
		}
	case fetch:
		w.Fetch = wireHeaders(req.wanted)
	case push:
		w.Push = wireDocs(req.docs)
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
		decoded, err := docsOf(w.Push)
		return push{docs: decoded}, err
	}
	return nil, ErrMalformed
}

func encodePollResponse(resp pollResponse) ([]byte, error) {
	return encodeWire(wireResponse{
		Replica: uint64(resp.replica),
		Cursor:  uint64(resp.cursor),
		Newer:   wireHeaders(resp.newer),
		Docs:    wireDocs(resp.inline),
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
	inlined, err := docsOf(w.Docs)
	return pollResponse{replica: instanceID(w.Replica), cursor: cursor(w.Cursor), newer: newer, inline: inlined}, err
}

func encodeFetchResponse(resp fetchResponse) ([]byte, error) {
	return encodeWire(wireResponse{Docs: wireDocs(resp.docs)})
}

func decodeFetchResponse(data []byte) (fetchResponse, error) {
	var w wireResponse
	if err := decodeWire(data, &w); err != nil {
		return fetchResponse{}, err
	}
	decoded, err := docsOf(w.Docs)
	return fetchResponse{docs: decoded}, err
}

func encodePushResponse(resp pushResponse) ([]byte, error) {
	var w wireResponse
	for _, name := range resp.resend {
		w.Resend = append(w.Resend, string(name))
	}
	return encodeWire(w)
}

func decodePushResponse(data []byte) (pushResponse, error) {
	var w wireResponse
	if err := decodeWire(data, &w); err != nil {
		return pushResponse{}, err
	}
	var resp pushResponse
	for _, name := range w.Resend {
		resp.resend = append(resp.resend, Name(name))
	}
	return resp, nil
}

func encodeWire(w any) ([]byte, error) {
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("docsync: encode: %w", err)
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

func wireDocs(docs []encodedDoc) []wireDoc {
	out := make([]wireDoc, len(docs))
	for i, doc := range docs {
		out[i] = wireDoc{
			Header:    wireHeaderOf(header{name: doc.name, version: doc.version}),
			Encoding:  uint8(doc.encoding),
			BaseMajor: doc.base.Major,
			BaseMinor: doc.base.Minor,
			Payload:   doc.payload,
		}
	}
	return out
}

func docsOf(wire []wireDoc) ([]encodedDoc, error) {
	out := make([]encodedDoc, len(wire))
	for i, doc := range wire {
		h, err := headerOf(doc.Header)
		if err != nil {
			return nil, err
		}
		if len(doc.Payload) > MaxDocumentBytes {
			return nil, ErrMalformed
		}
		out[i] = encodedDoc{
			name:     h.name,
			version:  h.version,
			encoding: encoding(doc.Encoding),
			base:     Version{Major: doc.BaseMajor, Minor: doc.BaseMinor},
			payload:  doc.Payload,
		}
	}
	return out, nil
}
