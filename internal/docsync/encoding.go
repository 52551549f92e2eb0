package docsync

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/klauspost/compress/zstd"
)

const (
	// minDeltaBytes is the size of a body, in bytes, from which deltas are made.
	minDeltaBytes = 1 << 10
	// minCompressBytes is the size of a body, in bytes, from which it is compressed.
	minCompressBytes = 256
	// maxWindowBytes is the window of the encoder: it covers a large document
	// and its base.
	maxWindowBytes = 2 * MaxDocumentBytes
)

// encoding tells how a document's body travels.
type encoding uint8

const (
	encodingRaw   encoding = iota + 1
	encodingZstd           // compressed
	encodingDelta          // compressed against the body of the base version
)

// encodedDoc is a document on its way.
type encodedDoc struct {
	name     Name
	version  Version
	encoding encoding
	base     Version // for formDelta
	payload  []byte
}

// errUnknownBase is returned where the base of a delta is not known here.
var errUnknownBase = errors.New("spread: base of a delta is unknown")

// errMalformedDoc is returned for a parcel that can't be opened.
var errMalformedDoc = errors.New("spread: malformed document")

// encode returns the newest version of a document for a process that has the
// version base, as a delta where this board still knows that version.
func (m *MemoryReplica) encode(name Name, base Version) (encodedDoc, bool) {
	m.mu.Lock()
	r := m.docs[name]
	if r == nil {
		m.mu.Unlock()
		return encodedDoc{}, false
	}
	doc, old := r.Document, r.body(base)
	if old == nil || len(doc.Body) < minDeltaBytes {
		base, old = Version{}, nil
	}
	packed, cached := r.encodings[base]
	m.mu.Unlock()
	if !cached {
		packed = encodeDoc(doc, base, old)
		m.cache(base, packed)
	}
	return packed, true
}

// body returns the body that the row had at a version, nil where it is gone.
func (r *docState) body(at Version) []byte {
	i := slices.IndexFunc(r.older, func(d Document) bool { return d.Version == at })
	if i < 0 {
		return nil
	}
	return r.older[i].Body
}

// cache keeps a parcel for others that ask from the same base.
func (m *MemoryReplica) cache(base Version, p encodedDoc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.docs[p.name]
	if r.Version != p.version {
		return
	}
	if r.encodings == nil {
		r.encodings = make(map[Version]encodedDoc, maxOlderVersions+1)
	}
	r.encodings[base] = p
}

// encodeDoc returns a document as a delta against old, the body of the base
// version, or whole where that is nil or most of it has changed.
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
	p := encodedDoc{name: doc.Name, version: doc.Version, encoding: encodingRaw, payload: doc.Body}
	if len(doc.Body) < minCompressBytes {
		return p
	}
	if packed := compress(doc.Body); len(packed) < len(doc.Body) {
		p.encoding, p.payload = encodingZstd, packed
	}
	return p
}

// decode returns the document of a parcel; a delta needs its base on the board.
func (m *MemoryReplica) decode(p encodedDoc) (Document, error) {
	doc := Document{Name: p.name, Version: p.version}
	switch p.encoding {
	case encodingRaw:
		doc.Body = p.payload
		return doc, nil
	case encodingZstd:
		body, err := decompress(p.payload, nil)
		doc.Body = body
		return doc, err
	case encodingDelta:
		base := m.bodyAt(p.name, p.base)
		if base == nil {
			return doc, errUnknownBase
		}
		body, err := decompress(p.payload, base)
		doc.Body = body
		return doc, err
	}
	return doc, errMalformedDoc
}

func (m *MemoryReplica) bodyAt(name Name, at Version) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.docs[name]
	if r == nil {
		return nil
	}
	if r.Version == at {
		return r.Body
	}
	return r.body(at)
}

// compress returns body as one zstd frame with a checksum.
func compress(body []byte) []byte {
	encoder, err := zstd.NewWriter(nil, encoderOptions(len(body))...)
	if err != nil {
		// The options are constant: without compression all still works.
		return body
	}
	return encoder.EncodeAll(body, nil)
}

// deltaEncoders keeps encoders for deltas: a new one takes a megabyte, and a
// watcher makes some dozens a second.
var deltaEncoders sync.Pool

// compressDelta returns body as one zstd frame with a checksum, which refers to
// the base for all that both have in common.
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
		return nil, fmt.Errorf("spread: delta: %w", err)
	}
	out := encoder.EncodeAll(body, nil)
	deltaEncoders.Put(encoder)
	return out, nil
}

// encoderOptions returns the options of an encoder for that many bytes.
func encoderOptions(size int) []zstd.EOption {
	return []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(size)),
	}
}

// windowSize returns the smallest valid window that covers size bytes.
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
