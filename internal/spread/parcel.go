package spread

import (
	"errors"
	"fmt"
	"slices"

	"github.com/klauspost/compress/zstd"
)

const (
	// deltaFrom is the size of a body, in bytes, from which deltas are made.
	deltaFrom = 1 << 10
	// packFrom is the size of a body, in bytes, from which it is compressed.
	packFrom = 256
	// windowBytes is the window of the encoder: it covers a large document
	// and its base.
	windowBytes = 2 * MaxDocument
)

// form tells how a document's body travels.
type form uint8

const (
	formRaw    form = iota + 1
	formPacked      // compressed
	formDelta       // compressed against the body of the base version
)

// parcel is a document on its way.
type parcel struct {
	name    Name
	version Version
	form    form
	base    Version // for formDelta
	payload []byte
}

// errBase is returned where the base of a delta is not known here.
var errBase = errors.New("spread: base of a delta is unknown")

// errParcel is returned for a parcel that can't be opened.
var errParcel = errors.New("spread: malformed document")

// pack returns the newest version of a document for a process that has the
// version base, as a delta where that is smaller.
func (m *Memory) pack(name Name, base Version) (parcel, bool) {
	m.mu.Lock()
	r := m.rows[name]
	if r == nil {
		m.mu.Unlock()
		return parcel{}, false
	}
	doc, old := r.Document, r.body(base)
	payload, cached := r.deltas[base]
	m.mu.Unlock()
	if old == nil || len(doc.Body) < deltaFrom {
		return packWhole(doc), true
	}
	if !cached {
		payload = compress(doc.Body, old)
		m.cacheDelta(doc, base, payload)
	}
	if len(payload) >= len(doc.Body) {
		return packWhole(doc), true
	}
	return parcel{name: name, version: doc.Version, form: formDelta, base: base, payload: payload}, true
}

// body returns the body that the row had at a version, nil where it is gone.
func (r *row) body(at Version) []byte {
	i := slices.IndexFunc(r.older, func(d Document) bool { return d.Version == at })
	if i < 0 {
		return nil
	}
	return r.older[i].Body
}

func (m *Memory) cacheDelta(doc Document, base Version, payload []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[doc.Name]
	if r.Version != doc.Version {
		return
	}
	if r.deltas == nil {
		r.deltas = make(map[Version][]byte, keptVersions)
	}
	r.deltas[base] = payload
}

func packWhole(doc Document) parcel {
	p := parcel{name: doc.Name, version: doc.Version, form: formRaw, payload: doc.Body}
	if len(doc.Body) < packFrom {
		return p
	}
	if packed := compress(doc.Body, nil); len(packed) < len(doc.Body) {
		p.form, p.payload = formPacked, packed
	}
	return p
}

// open returns the document of a parcel; a delta needs its base on the board.
func (m *Memory) open(p parcel) (Document, error) {
	doc := Document{Name: p.name, Version: p.version}
	switch p.form {
	case formRaw:
		doc.Body = p.payload
		return doc, nil
	case formPacked:
		body, err := expand(p.payload, nil)
		doc.Body = body
		return doc, err
	case formDelta:
		base := m.bodyAt(p.name, p.base)
		if base == nil {
			return doc, errBase
		}
		body, err := expand(p.payload, base)
		doc.Body = body
		return doc, err
	}
	return doc, errParcel
}

func (m *Memory) bodyAt(name Name, at Version) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[name]
	if r == nil {
		return nil
	}
	if r.Version == at {
		return r.Body
	}
	return r.body(at)
}

// compress returns body as one zstd frame with a checksum. With a base, the
// frame refers to the base for all that both have in common.
func compress(body, base []byte) []byte {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(body) + len(base))),
	}
	if base != nil {
		opts = append(opts, zstd.WithEncoderDictRaw(0, base))
	}
	encoder, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		// The options are constant: without compression all still works.
		return body
	}
	return encoder.EncodeAll(body, nil)
}

// windowFor returns the smallest valid window that covers size bytes.
func windowFor(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < windowBytes {
		window *= 2
	}
	return window
}

func expand(payload, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDocument),
		zstd.WithDecoderMaxWindow(windowBytes),
	}
	if base != nil {
		opts = append(opts, zstd.WithDecoderDictRaw(0, base))
	}
	decoder, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errParcel, err)
	}
	defer decoder.Close()
	body, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errParcel, err)
	}
	return body, nil
}
