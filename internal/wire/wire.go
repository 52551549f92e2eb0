// Package wire maps the values that several codecs share: addresses and times.
package wire

import (
	"net/netip"
	"time"
)

// FormatAddr returns the text of an address, empty for the zero address.
func FormatAddr(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// ParseAddr returns the address of a text, the zero address where it is none.
func ParseAddr(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// UnixNano returns nanoseconds since 1970 in UTC, zero for the zero time.
func UnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// Time is the inverse of Nanos.
func Time(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
