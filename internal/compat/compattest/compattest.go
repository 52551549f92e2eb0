// Package compattest supports tests of formats that two builds exchange.
package compattest

import (
	"bufio"
	"encoding/base64"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// Recording is what an earlier commit has written.
type Recording struct {
	Commit string
	Name   string
	Body   []byte
}

// Recordings returns the recordings in testdata/recorded.txt, which has a commit, a name and
// the bytes in base64 in each line.
func Recordings(t testing.TB) []Recording {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "recorded.txt"))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var out []Recording
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		assert.Equal(t, len(fields), 3, lines.Text())
		body, err := base64.StdEncoding.DecodeString(fields[2])
		assert.NilError(t, err)
		out = append(out, Recording{Commit: fields[0], Name: fields[1], Body: body})
	}
	assert.NilError(t, lines.Err())
	return out
}

// AddSeeds adds all recordings to the seeds of a fuzz test.
func AddSeeds(f *testing.F) {
	f.Helper()
	for _, r := range Recordings(f) {
		f.Add(r.Body)
	}
}

// Check decodes the recordings, also with the fields that a later build could add to wire,
// the struct or slice that they were encoded from, and passes each to check. It fails if a
// format has no recording.
func Check(t *testing.T, wire map[string]any, check func(t *testing.T, name string, body []byte)) {
	t.Helper()
	recorded := make(map[string]bool)
	for _, r := range Recordings(t) {
		example, ok := wire[r.Name]
		if !ok {
			continue
		}
		recorded[r.Name] = true
		t.Run(r.Commit+" "+r.Name, func(t *testing.T) { check(t, r.Name, r.Body) })
		t.Run(r.Commit+" "+r.Name+" and fields of a later build", func(t *testing.T) {
			check(t, r.Name, WithNewFields(t, r.Body, example))
		})
	}
	for name := range wire {
		assert.Assert(t, recorded[name], "%s is not recorded", name)
	}
}

// WithNewFields adds unknown fields at the end of each struct in an encoded value. wire is a
// value of the type that it was encoded from.
func WithNewFields(t testing.TB, body []byte, wire any) []byte {
	t.Helper()
	var value any
	assert.NilError(t, cbor.Unmarshal(body, &value))
	out, err := cbor.Marshal(grow(value, reflect.TypeOf(wire)))
	assert.NilError(t, err)
	return out
}

func grow(value any, t reflect.Type) any {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	const newKey = 99
	added := []any{"new", 7, map[string]any{"x": true}}
	switch v := value.(type) {
	case []any:
		switch t.Kind() {
		case reflect.Slice:
			for i := range v {
				v[i] = grow(v[i], t.Elem())
			}
		case reflect.Struct:
			at := 0
			for i := range t.NumField() {
				if f := t.Field(i); f.IsExported() {
					v[at] = grow(v[at], f.Type)
					at++
				}
			}
			return append(v, 5, nil, added)
		}
	case map[any]any:
		if t.Kind() != reflect.Struct {
			break
		}
		for i := range t.NumField() {
			f := t.Field(i)
			key, err := strconv.ParseUint(strings.Split(f.Tag.Get("cbor"), ",")[0], 10, 64)
			if old, ok := v[key]; ok && err == nil {
				v[key] = grow(old, f.Type)
			}
		}
		v[newKey], v["new"] = added, 3
	}
	return value
}
