package settings

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/platform"
)

// documentVersion is incremented when earlier releases could misread a document.
const documentVersion = 1

// MaxDocumentBytes bounds the encoded document. The platform's service accepts
// values of up to a megabyte.
const MaxDocumentBytes = 1_000_000

// maxUncompressedBytes bounds the document before compression.
const maxUncompressedBytes = 32 << 20

// ErrTooLarge is returned by Commit for settings larger than MaxDocumentBytes.
var ErrTooLarge = errors.New("settings: document too large")

type wireDocument struct {
	Version uint        `cbor:"1,keyasint"`
	Number  uint64      `cbor:"2,keyasint"`
	Items   []wireItem  `cbor:"3,keyasint"`
	History []wireWrite `cbor:"4,keyasint"`
}

type wireItem struct {
	Path   string      `cbor:"1,keyasint"`
	Fields []wireField `cbor:"2,keyasint"`
}

type wireField struct {
	Name   string   `cbor:"1,keyasint"`
	List   bool     `cbor:"2,keyasint,omitempty"`
	Values []string `cbor:"3,keyasint"`
}

type wireWrite struct {
	ID     string   `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"`
	At     int64    `cbor:"3,keyasint"` // Unix milliseconds
	By     string   `cbor:"4,keyasint"`
	Reason string   `cbor:"5,keyasint"`
	Paths  []string `cbor:"6,keyasint"`
	Before []string `cbor:"7,keyasint"`
}

var (
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUncompressedBytes))
	cborEncMode    = mustEncMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // cannot happen: the options are fixed
	}
	return mode
}

// Encode encodes s as a document. The encoding is deterministic. It leaves out
// Revision, which the store assigns.
func Encode(s *Settings) []byte {
	doc := wireDocument{Version: documentVersion, Number: s.Number}
	for _, item := range s.Items() {
		doc.Items = append(doc.Items, toWire(item))
	}
	for _, w := range s.History {
		doc.History = append(doc.History, writeToWire(w))
	}
	body, err := cborEncMode.Marshal(doc)
	if err != nil {
		panic(err) // cannot happen: the document holds only strings, numbers and booleans
	}
	return zstdEncoder.EncodeAll(body, nil)
}

// Decode decodes a document. Fields and paths of a later release are dropped;
// the settings can be read, but Commit refuses to write over them.
func Decode(body []byte) (*Settings, error) {
	flat, err := zstdDecoder.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("settings: decompress: %w", err)
	}
	var doc wireDocument
	if err := cbor.Unmarshal(flat, &doc); err != nil {
		return nil, fmt.Errorf("settings: decode: %w", err)
	}
	if doc.Version == 0 || doc.Version > documentVersion {
		return nil, fmt.Errorf("settings: document version %d, this release reads up to %d", doc.Version, documentVersion)
	}
	items, unknown := knownItems(doc.Items)
	var found finding.List
	s := fromItems(items, &found)
	if err := found.Err(); err != nil {
		return nil, fmt.Errorf("settings: invalid document: %w", err)
	}
	s.Number, s.unknownFields = doc.Number, unknown
	for _, w := range doc.History {
		s.History = append(s.History, writeFromWire(w))
	}
	s.index = newIndex(s)
	return s, nil
}

// decodeEntry decodes the document of a store entry.
func decodeEntry(e platform.Entry) (*Settings, error) {
	s, err := Decode(e.Value)
	if err != nil {
		return nil, err
	}
	s.Revision = e.Revision
	return s, nil
}

// knownItems converts items and drops the paths and fields that this release
// does not know.
func knownItems(wire []wireItem) (items []Item, unknown bool) {
	for _, w := range wire {
		k := kindOf(Path(w.Path))
		if k == nil {
			unknown = true
			continue
		}
		item := Item{Path: Path(w.Path)}
		for _, f := range w.Fields {
			if !k.hasField(f.Name) {
				unknown = true
				continue
			}
			item.Fields = append(item.Fields, Field{Name: f.Name, List: f.List, Values: f.Values})
		}
		items = append(items, item)
	}
	return items, unknown
}

func toWire(item Item) wireItem {
	w := wireItem{Path: string(item.Path)}
	for _, f := range item.Fields {
		w.Fields = append(w.Fields, wireField{Name: f.Name, List: f.List, Values: f.Values})
	}
	return w
}

func writeToWire(w Write) wireWrite {
	out := wireWrite{ID: w.ID, Number: w.Number, At: w.At.UnixMilli(), By: w.By, Reason: w.Reason, Before: w.Before}
	for _, p := range w.Paths {
		out.Paths = append(out.Paths, string(p))
	}
	return out
}

func writeFromWire(w wireWrite) Write {
	out := Write{ID: w.ID, Number: w.Number, At: time.UnixMilli(w.At).UTC(), By: w.By, Reason: w.Reason, Before: w.Before}
	for _, p := range w.Paths {
		out.Paths = append(out.Paths, Path(p))
	}
	return out
}
