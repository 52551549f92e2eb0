// Package compat decodes CBOR that another build has written. That build may know more or
// fewer fields of a message: the decoders ignore additional array elements and map keys and
// leave missing ones at zero.
package compat

import (
	"encoding/binary"
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Decoder decodes CBOR within limits. The limits also apply to what it ignores.
type Decoder struct{ mode cbor.DecMode }

var defaultDecoder = NewDecoder(cbor.DecOptions{})

// NewDecoder returns a decoder with the given options, which must be valid.
func NewDecoder(options cbor.DecOptions) Decoder {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return Decoder{mode: mode}
}

// Unmarshal decodes data into the value that v points to, with the default limits.
func Unmarshal(data []byte, v any) error { return defaultDecoder.Unmarshal(data, v) }

// Unmarshal decodes data into the value that v points to.
func (d Decoder) Unmarshal(data []byte, v any) error {
	err := d.mode.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	var mismatch *cbor.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	// The data is well-formed and within the limits, but an array may be longer or shorter
	// than its struct, which the library refuses.
	target := reflect.ValueOf(v).Elem()
	fitted, ok := d.fit(nil, data, target.Type())
	if !ok {
		return err
	}
	target.SetZero()
	return d.mode.Unmarshal(fitted, v)
}

const (
	majorInteger = 0
	majorArray   = 4
	majorMap     = 5
	// majorBits is how far the major type is shifted in the first byte of an item.
	majorBits = 5
	null      = 0xf6
)

// fit appends an item that is to be decoded into a value of type t, with the arrays of structs
// cut or padded to the length of the struct. It returns false for an item that it can't fit.
func (d Decoder) fit(dst, item []byte, t reflect.Type) (out []byte, ok bool) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	major, count, rest, ok := head(item)
	if !ok {
		return nil, false
	}
	start := item[:len(item)-len(rest)]
	switch {
	case t.Kind() == reflect.Slice && major == majorArray:
		return d.fitList(append(dst, start...), rest, count, t.Elem())
	case t.Kind() == reflect.Struct && major == majorArray && isArray(t):
		return d.fitArray(dst, rest, count, fieldsOf(t))
	case t.Kind() == reflect.Struct && major == majorMap:
		return d.fitMap(append(dst, start...), rest, count, t)
	}
	return append(dst, item...), true
}

// fitList fits the items of an array that is decoded into a slice of t.
func (d Decoder) fitList(dst, items []byte, count uint64, t reflect.Type) (out []byte, ok bool) {
	for range count {
		if dst, items, ok = d.fitNext(dst, items, t); !ok {
			return nil, false
		}
	}
	return dst, true
}

// fitArray fits the items of an array that is decoded into a struct.
func (d Decoder) fitArray(dst, items []byte, count uint64, fields []reflect.StructField) (out []byte, ok bool) {
	dst = appendArrayHead(dst, len(fields))
	for i, f := range fields {
		if uint64(i) >= count {
			dst = append(dst, null)
			continue
		}
		if dst, items, ok = d.fitNext(dst, items, f.Type); !ok {
			return nil, false
		}
	}
	return dst, true
}

// fitMap fits the pairs of a map that is decoded into the struct t.
func (d Decoder) fitMap(dst, pairs []byte, count uint64, t reflect.Type) (out []byte, ok bool) {
	for range count {
		var key cbor.RawMessage
		if key, pairs, ok = d.next(pairs); !ok {
			return nil, false
		}
		if dst, pairs, ok = d.fitNext(append(dst, key...), pairs, valueType(t, key)); !ok {
			return nil, false
		}
	}
	return dst, true
}

// fitNext fits the first item of data and returns what follows it. It copies the item if t
// is nil.
func (d Decoder) fitNext(dst, data []byte, t reflect.Type) (out, rest []byte, ok bool) {
	item, rest, ok := d.next(data)
	if !ok {
		return nil, nil, false
	}
	if t == nil {
		return append(dst, item...), rest, true
	}
	out, ok = d.fit(dst, item, t)
	return out, rest, ok
}

// next returns the first item of data and what follows it.
func (d Decoder) next(data []byte) (item cbor.RawMessage, rest []byte, ok bool) {
	rest, err := d.mode.UnmarshalFirst(data, &item)
	return item, rest, err == nil
}

// head reads the head of an item. It returns false for one of indefinite length, which no
// build writes.
func head(item []byte) (major byte, count uint64, rest []byte, ok bool) {
	const (
		infoMask  = 1<<majorBits - 1
		firstLong = 24 // the count is in the next 1, 2, 4 or 8 bytes
		lastLong  = 27
	)
	if len(item) == 0 {
		return 0, 0, nil, false
	}
	major, info := item[0]>>majorBits, item[0]&infoMask
	if info < firstLong {
		return major, uint64(info), item[1:], true
	}
	size := 1 << (info - firstLong)
	if info > lastLong || len(item) <= size {
		return 0, 0, nil, false
	}
	var long [8]byte
	copy(long[len(long)-size:], item[1:1+size])
	return major, binary.BigEndian.Uint64(long[:]), item[1+size:], true
}

// appendArrayHead appends the head of an array of n elements.
func appendArrayHead(dst []byte, n int) []byte {
	const longest = 23 // of a head of one byte
	if n <= longest {
		return append(dst, majorArray<<majorBits|byte(n))
	}
	return binary.BigEndian.AppendUint16(append(dst, majorArray<<majorBits|25), uint16(n))
}

// isArray reports whether the struct t is encoded as an array.
func isArray(t reflect.Type) bool {
	f, ok := t.FieldByName("_")
	return ok && strings.Contains(f.Tag.Get("cbor"), ",toarray")
}

// fieldsOf returns the encoded fields of the struct t in order, those of embedded structs in
// place of these, as the library encodes them.
func fieldsOf(t reflect.Type) []reflect.StructField {
	out := make([]reflect.StructField, 0, t.NumField())
	for i := range t.NumField() {
		switch f := t.Field(i); {
		case f.Anonymous && f.Type.Kind() == reflect.Struct && isArray(f.Type):
			out = append(out, fieldsOf(f.Type)...)
		case f.IsExported():
			out = append(out, f)
		}
	}
	return out
}

// valueType returns the type of the field of the struct t with an encoded key, nil if there
// is none.
func valueType(t reflect.Type, key []byte) reflect.Type {
	major, number, _, ok := head(key)
	if !ok || major != majorInteger {
		return nil
	}
	prefix := strconv.FormatUint(number, 10) + ",keyasint"
	for _, f := range fieldsOf(t) {
		if strings.HasPrefix(f.Tag.Get("cbor"), prefix) {
			return f.Type
		}
	}
	return nil
}
