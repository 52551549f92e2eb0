package body

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestRead: memory is reserved before it is used, twice what was read at most, and a body beyond
// its length, its limit or the memory ends the reading.
func TestRead(t *testing.T) {
	errCut := errors.New("cut")
	for name, test := range map[string]struct {
		source        io.Reader
		length, limit int64
		memory        int64
		read          int
		err           error
	}{
		"empty":                   {strings.NewReader(""), -1, 100, 1 << 20, 0, nil},
		"unknown length":          {strings.NewReader(strings.Repeat("x", 100_000)), -1, 1 << 20, 1 << 20, 100_000, nil},
		"known length":            {strings.NewReader(strings.Repeat("x", 100_000)), 100_000, 1 << 20, 100_001, 100_000, nil},
		"at the limit":            {strings.NewReader(strings.Repeat("x", 5000)), -1, 5000, 1 << 20, 5000, nil},
		"beyond the limit":        {strings.NewReader(strings.Repeat("x", 5001)), -1, 5000, 1 << 20, 0, ErrTooLarge},
		"claims too much":         {strings.NewReader("x"), 5001, 5000, 1 << 20, 0, ErrTooLarge},
		"longer than it claims":   {strings.NewReader(strings.Repeat("x", 5000)), 4999, 1 << 20, 1 << 20, 0, ErrTooLarge},
		"no memory left":          {strings.NewReader(strings.Repeat("x", 100_000)), -1, 1 << 20, 50_000, 0, ErrNoMemory},
		"claims more than memory": {strings.NewReader("x"), 1 << 20, 1 << 21, 8 << 10, 1, nil},
		"cut":                     {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errCut)), -1, 100, 1 << 20, 0, errCut},
		"byte by byte":            {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 5000))), -1, 1 << 20, 1 << 20, 5000, nil},
	} {
		t.Run(name, func(t *testing.T) {
			reserved := int64(0)
			got, err := Read(test.source, test.length, test.limit, func(n int64) bool {
				reserved += n
				return reserved <= test.memory
			})
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Equal(t, len(got), test.read)
			assert.Assert(t, int64(cap(got)) <= reserved)
		})
	}
}
