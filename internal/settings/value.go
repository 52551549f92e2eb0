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

var errNumber = errors.New("is not a number from")

// hashPrefix starts a credential's hash in the file format.
const hashPrefix = "sha256:"

// forever is the text of a duration without a bound.
const forever = "forever"

// HashCredential returns the hash under which a bearer credential is kept.
func HashCredential(credential string) [32]byte { return sha256.Sum256([]byte(credential)) }

// HashText returns a credential's hash as the file format writes it.
func HashText(hash [32]byte) string { return hashPrefix + hex.EncodeToString(hash[:]) }

// text makes a field of one string of at most high bytes.
func text[R any, T ~string](at func(*R) *T, high int) access[R] {
	read := func(row *R, values []string) error {
		if len(values[0]) > high {
			return fmt.Errorf("is longer than %d bytes", high)
		}
		*at(row) = T(values[0])
		return nil
	}
	show := func(row *R) []string { return []string{string(*at(row))} }
	return access[R]{read: read, show: show}
}

// oneOf makes a field that takes one of a few words.
func oneOf[R any, T ~string](at func(*R) *T, words ...T) access[R] {
	read := func(row *R, values []string) error {
		for _, w := range words {
			if string(w) == values[0] {
				*at(row) = w
				return nil
			}
		}
		return fmt.Errorf("is none of %v", words)
	}
	show := func(row *R) []string { return []string{string(*at(row))} }
	return access[R]{read: read, show: show}
}

// ParseHash reads what HashText writes.
func ParseHash(s string) (hash [32]byte, err error) {
	sum, ok := strings.CutPrefix(s, hashPrefix)
	raw, err := hex.DecodeString(sum)
	if !ok || err != nil || len(raw) != len(hash) {
		return hash, errors.New("is not sha256: and 64 hexadecimal digits; never write the credential itself")
	}
	copy(hash[:], raw)
	return hash, nil
}

// access reads a field of R from text and shows it as text.
type access[R any] struct {
	read func(row *R, values []string) error
	show func(row *R) []string
}

// integer is the whole numbers of the rows.
type integer interface{ ~int | ~int64 | ~uint32 }

// count makes a field of a whole number in a range.
func count[R any, T integer](at func(*R) *T, low, high int64) access[R] {
	read := func(row *R, values []string) error {
		n, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%w %d to %d", errNumber, low, high)
		}
		*at(row) = T(n)
		return nil
	}
	show := func(row *R) []string { return []string{strconv.FormatInt(int64(*at(row)), 10)} }
	return access[R]{read: read, show: show}
}

// rate makes a field of a number above zero.
func rate[R any](at func(*R) *float64, high float64) access[R] {
	read := func(row *R, values []string) error {
		n, err := strconv.ParseFloat(values[0], 64)
		if err != nil || math.IsNaN(n) || n <= 0 || n > high {
			return fmt.Errorf("%w above 0 to %g", errNumber, high)
		}
		*at(row) = n
		return nil
	}
	show := func(row *R) []string { return []string{strconv.FormatFloat(*at(row), 'g', -1, 64)} }
	return access[R]{read: read, show: show}
}

// toggle makes a field that is true or false.
func toggle[R any](at func(*R) *bool) access[R] {
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
	return access[R]{read: read, show: show}
}

// span makes a field of a duration in a range; zero is written as forever
// where the range starts at zero.
func span[R any](at func(*R) *time.Duration, low, high time.Duration) access[R] {
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
	return access[R]{read: read, show: show}
}

// list makes a field of strings of a named type, each a name of a path part.
func list[R any, T ~string](at func(*R) *[]T, valid func(string) bool) access[R] {
	read := func(row *R, values []string) error {
		out := make([]T, 0, len(values))
		seen := make(map[string]bool, len(values))
		for _, v := range values {
			if !valid(v) {
				return fmt.Errorf("holds %q, which is not allowed here", v)
			}
			if seen[v] {
				return fmt.Errorf("names %q twice", v)
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
	return access[R]{read: read, show: show}
}

// hash makes a field of a credential's hash.
func hash[R any](at func(*R) *[32]byte) access[R] {
	read := func(row *R, values []string) error {
		sum, err := ParseHash(values[0])
		*at(row) = sum
		return err
	}
	show := func(row *R) []string { return []string{HashText(*at(row))} }
	return access[R]{read: read, show: show}
}
