package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

var errNotInRange = errors.New("is not a number from")

// hashPrefix is the prefix of credential hashes in the file format.
const hashPrefix = "sha256:"

// forever is the text of an unlimited duration.
const forever = "forever"

// HashCredential returns the hash that is stored in place of a credential.
func HashCredential(credential string) [32]byte { return sha256.Sum256([]byte(credential)) }

// FormatHash formats a credential hash for the file format.
func FormatHash(hash [32]byte) string { return hashPrefix + hex.EncodeToString(hash[:]) }

// textField returns the codec of a string field of at most high bytes.
func textField[R any, T ~string](at func(*R) *T, high int) textCodec[R] {
	read := func(row *R, values []string) error {
		if len(values[0]) > high {
			return fmt.Errorf("is longer than %d bytes", high)
		}
		*at(row) = T(values[0])
		return nil
	}
	show := func(row *R) []string { return []string{string(*at(row))} }
	return textCodec[R]{parse: read, format: show}
}

// enumField returns the codec of a field that takes one of the given words.
func enumField[R any, T ~string](at func(*R) *T, words ...T) textCodec[R] {
	read := func(row *R, values []string) error {
		for _, w := range words {
			if string(w) == values[0] {
				*at(row) = w
				return nil
			}
		}
		return fmt.Errorf("is not one of %v", words)
	}
	show := func(row *R) []string { return []string{string(*at(row))} }
	return textCodec[R]{parse: read, format: show}
}

// ParseHash parses the output of FormatHash.
func ParseHash(s string) (hash [32]byte, err error) {
	sum, ok := strings.CutPrefix(s, hashPrefix)
	raw, err := hex.DecodeString(sum)
	if !ok || err != nil || len(raw) != len(hash) {
		return hash, errors.New("is not sha256: and 64 hexadecimal digits; never write the credential itself")
	}
	copy(hash[:], raw)
	return hash, nil
}

// textCodec parses a field of R from text and formats it as text.
type textCodec[R any] struct {
	parse  func(row *R, values []string) error
	format func(row *R) []string
}

// integer constrains the integer types of fields.
type integer interface{ ~int | ~int64 | ~uint32 }

// intField returns the codec of an integer field between low and high.
func intField[R any, T integer](at func(*R) *T, low, high int64) textCodec[R] {
	read := func(row *R, values []string) error {
		n, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%w %d to %d", errNotInRange, low, high)
		}
		*at(row) = T(n)
		return nil
	}
	show := func(row *R) []string { return []string{strconv.FormatInt(int64(*at(row)), 10)} }
	return textCodec[R]{parse: read, format: show}
}

// floatField returns the codec of a positive number of at most high.
func floatField[R any](at func(*R) *float64, high float64) textCodec[R] {
	read := func(row *R, values []string) error {
		n, err := strconv.ParseFloat(values[0], 64)
		if err != nil || math.IsNaN(n) || n <= 0 || n > high {
			return fmt.Errorf("%w above 0 to %g", errNotInRange, high)
		}
		*at(row) = n
		return nil
	}
	show := func(row *R) []string { return []string{strconv.FormatFloat(*at(row), 'g', -1, 64)} }
	return textCodec[R]{parse: read, format: show}
}

// boolField returns the codec of a boolean field.
func boolField[R any](at func(*R) *bool) textCodec[R] {
	read := func(row *R, values []string) error {
		switch values[0] {
		case "true":
			*at(row) = true
		case "false":
			*at(row) = false
		default:
			return errors.New("is neither true nor false")
		}
		return nil
	}
	show := func(row *R) []string { return []string{strconv.FormatBool(*at(row))} }
	return textCodec[R]{parse: read, format: show}
}

// durationField returns the codec of a duration between low and high. If low is
// zero, "forever" stands for zero.
func durationField[R any](at func(*R) *time.Duration, low, high time.Duration) textCodec[R] {
	read := func(row *R, values []string) error {
		if values[0] == forever && low == 0 {
			*at(row) = 0
			return nil
		}
		d, err := time.ParseDuration(values[0])
		if err != nil || d < low || d > high || d <= 0 {
			return fmt.Errorf("is not a duration from %v to %v", low, high)
		}
		*at(row) = d
		return nil
	}
	show := func(row *R) []string {
		if *at(row) == 0 {
			return []string{forever}
		}
		return []string{at(row).String()}
	}
	return textCodec[R]{parse: read, format: show}
}

// listField returns the codec of a list of strings that valid accepts.
func listField[R any, T ~string](at func(*R) *[]T, valid func(string) bool) textCodec[R] {
	read := func(row *R, values []string) error {
		out := make([]T, 0, len(values))
		seen := make(map[string]bool, len(values))
		for _, v := range values {
			if !valid(v) {
				return fmt.Errorf("contains %q, which is not allowed here", v)
			}
			if seen[v] {
				return fmt.Errorf("contains %q twice", v)
			}
			seen[v] = true
			out = append(out, T(v))
		}
		*at(row) = out
		return nil
	}
	show := func(row *R) []string {
		out := make([]string, 0, len(*at(row)))
		for _, v := range *at(row) {
			out = append(out, string(v))
		}
		return out
	}
	return textCodec[R]{parse: read, format: show}
}

// hashField returns the codec of a credential hash.
func hashField[R any](at func(*R) *[32]byte) textCodec[R] {
	read := func(row *R, values []string) error {
		sum, err := ParseHash(values[0])
		*at(row) = sum
		return err
	}
	show := func(row *R) []string { return []string{FormatHash(*at(row))} }
	return textCodec[R]{parse: read, format: show}
}
