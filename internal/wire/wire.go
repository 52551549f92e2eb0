// Package wire converts the values that several codecs share: addresses and
// times.
package wire

import (
	"net/netip"
	"time"
)

// FormatAddr returns an address as text, "" for the zero address.
func FormatAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// ParseAddr parses an address; it returns the zero address for invalid text.
func ParseAddr(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// UnixNano returns t in nanoseconds since 1970 UTC, zero for the zero time.
func UnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// Time is the inverse of UnixNano; its result is in UTC.
func Time(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
