package docsync

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	// minDeltaBytes is the body size from which deltas are made.
	minDeltaBytes = 1 << 10
	// minCompressBytes is the body size from which a body is compressed.
	minCompressBytes = 256
	// maxWindowBytes bounds the window of the encoder: it covers the largest
	// document and its base.
	maxWindowBytes = 2 * MaxDocumentBytes
)

// encoding identifies the encoding of a document's body.
type encoding uint8

const (
	encodingRaw   encoding = iota + 1
	encodingZstd           // compressed with zstd
	encodingDelta          // compressed with zstd, with the body of the base version as dictionary
)

// encodedDoc is a document encoded for transfer.
type encodedDoc struct {
	name     Name
	version  Version
	encoding encoding
	base     Version // for encodingDelta
	payload  []byte
}

// errUnknownBase is returned where this process doesn't have the base of a
// delta.
var errUnknownBase = errors.New("docsync: base version of a delta is unknown")

// errMalformedDoc is returned for a document that can't be decoded.
var errMalformedDoc = errors.New("docsync: malformed document")

// encode encodes the newest version of a document for a process that has the
// version base: as a delta where this replica still has the body of that
// version, otherwise in full.
func (m *MemoryReplica) encode(name Name, base Version) (encodedDoc, bool) {
	m.mu.Lock()
	state := m.docs[name]
	if state == nil {
		m.mu.Unlock()
		return encodedDoc{}, false
	}
	doc, old := state.Document, state.body(base)
	if old == nil || len(doc.Body) < minDeltaBytes {
		base, old = Version{}, nil
	}
	encoded, ok := state.encodings[base]
	m.mu.Unlock()
	if !ok {
		encoded = encodeDoc(doc, base, old)
		m.cache(base, encoded)
	}
	return encoded, true
}

// body returns the body of an older version, nil where it isn't kept any more.
func (state *docState) body(at Version) []byte {
	i := slices.IndexFunc(state.older, func(d Document) bool { return d.Version == at })
	if i < 0 {
		return nil
	}
	return state.older[i].Body
}

// cache keeps an encoded document for other processes that have the same base.
func (m *MemoryReplica) cache(base Version, e encodedDoc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.docs[e.name]
	if state.Version != e.version {
		return
	}
	if state.encodings == nil {
		state.encodings = make(map[Version]encodedDoc, maxOlderVersions+1)
	}
	state.encodings[base] = e
}

// encodeDoc encodes a document as a delta against old, the body of the base
// version, or in full where old is nil or the delta is larger than half of the
// body.
func encodeDoc(doc Document, base Version, old []byte) encodedDoc {
	if old == nil {
		return encodeFull(doc)
	}
	delta, err := compressDelta(doc.Body, old)
	if err != nil || len(delta) > len(doc.Body)/2 {
		return encodeFull(doc)
	}
	return encodedDoc{name: doc.Name, version: doc.Version, encoding: encodingDelta, base: base, payload: delta}
}

func encodeFull(doc Document) encodedDoc {
	e := encodedDoc{name: doc.Name, version: doc.Version, encoding: encodingRaw, payload: doc.Body}
	if len(doc.Body) < minCompressBytes {
		return e
	}
	if encoded := compress(doc.Body); len(encoded) < len(doc.Body) {
		e.encoding, e.payload = encodingZstd, encoded
	}
	return e
}

// decode decodes a document; a delta needs its base in this replica.
func (m *MemoryReplica) decode(e encodedDoc) (Document, error) {
	doc := Document{Name: e.name, Version: e.version}
	switch e.encoding {
	case encodingRaw:
		doc.Body = e.payload
		return doc, nil
	case encodingZstd:
		body, err := decompress(e.payload, nil)
		doc.Body = body
		return doc, err
	case encodingDelta:
		base := m.bodyAt(e.name, e.base)
		if base == nil {
			return doc, errUnknownBase
		}
		body, err := decompress(e.payload, base)
		doc.Body = body
		return doc, err
	}
	return doc, errMalformedDoc
}

func (m *MemoryReplica) bodyAt(name Name, at Version) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.docs[name]
	if state == nil {
		return nil
	}
	if state.Version == at {
		return state.Body
	}
	return state.body(at)
}

// compress returns body as one zstd frame with a checksum.
func compress(body []byte) []byte {
	encoder, err := zstd.NewWriter(nil, encoderOptions(len(body))...)
	if err != nil {
		// The options are constant. Should they be rejected all the same, the
		// body is sent uncompressed.
		return body
	}
	return encoder.EncodeAll(body, nil)
}

// deltaEncoders pools the encoders of deltas: a new one allocates a megabyte,
// and a watcher encodes dozens of deltas a second.
var deltaEncoders sync.Pool

// compressDelta returns body as one zstd frame with a checksum, with base as
// its dictionary.
func compressDelta(body, base []byte) ([]byte, error) {
	size, dict := len(body)+len(base), zstd.WithEncoderDictRaw(0, base)
	encoder, _ := deltaEncoders.Get().(*zstd.Encoder)
	var err error
	if encoder == nil {
		encoder, err = zstd.NewWriter(nil, append(encoderOptions(size), dict)...)
	} else {
		err = encoder.ResetWithOptions(nil, zstd.WithWindowSize(windowSize(size)), dict)
	}
	if err != nil {
		return nil, fmt.Errorf("docsync: compress delta: %w", err)
	}
	out := encoder.EncodeAll(body, nil)
	deltaEncoders.Put(encoder)
	return out, nil
}

// encoderOptions returns the options of an encoder for size bytes.
func encoderOptions(size int) []zstd.EOption {
	return []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(size)),
	}
}

// windowSize returns the smallest valid window that covers size bytes, at most
// maxWindowBytes.
func windowSize(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < maxWindowBytes {
		window *= 2
	}
	return window
}

func decompress(payload, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDocumentBytes),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if base != nil {
		opts = append(opts, zstd.WithDecoderDictRaw(0, base))
	}
	decoder, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedDoc, err)
	}
	defer decoder.Close()
	body, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedDoc, err)
	}
	return body, nil
}
