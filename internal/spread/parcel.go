package spread

import (
	"errors"
	"fmt"
	"slices"
	"sync"

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
// version base, as a delta where this board still knows that version.
func (m *Memory) pack(name Name, base Version) (parcel, bool) {
	m.mu.Lock()
	r := m.rows[name]
	if r == nil {
		m.mu.Unlock()
		return parcel{}, false
	}
	doc, old := r.Document, r.body(base)
	if old == nil || len(doc.Body) < deltaFrom {
		base, old = Version{}, nil
	}
	packed, cached := r.packed[base]
	m.mu.Unlock()
	if !cached {
		packed = packDocument(doc, base, old)
		m.cache(base, packed)
	}
	return packed, true
}

// body returns the body that the row had at a version, nil where it is gone.
func (r *row) body(at Version) []byte {
	i := slices.IndexFunc(r.older, func(d Document) bool { return d.Version == at })
	if i < 0 {
		return nil
	}
	return r.older[i].Body
}

// cache keeps a parcel for others that ask from the same base.
func (m *Memory) cache(base Version, p parcel) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[p.name]
	if r.Version != p.version {
		return
	}
	if r.packed == nil {
		r.packed = make(map[Version]parcel, keptVersions+1)
	}
	r.packed[base] = p
}

// packDocument returns a document as a delta against old, the body of the base
// version, or whole where that is nil or most of it has changed.
func packDocument(doc Document, base Version, old []byte) parcel {
	if old == nil {
		return packWhole(doc)
	}
	delta, err := compressDelta(doc.Body, old)
	if err != nil || len(delta) > len(doc.Body)/2 {
		return packWhole(doc)
	}
	return parcel{name: doc.Name, version: doc.Version, form: formDelta, base: base, payload: delta}
}

func packWhole(doc Document) parcel {
	p := parcel{name: doc.Name, version: doc.Version, form: formRaw, payload: doc.Body}
	if len(doc.Body) < packFrom {
		return p
	}
	if packed := compress(doc.Body); len(packed) < len(doc.Body) {
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
		err = encoder.ResetWithOptions(nil, zstd.WithWindowSize(windowFor(size)), dict)
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
		zstd.WithWindowSize(windowFor(size)),
	}
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
