// Package transfer bounds the bytes of large responses that a host has in flight, so that they
// delay no small ones on its link and leave them memory. It does no I/O.
package transfer

import (
	"time"

	"citrontray.example/citrontray/internal/site"
)

// Bytes is a number of bytes.
type Bytes int64

// Rate is a number of bytes per second.
type Rate float64

// duration returns how long a number of bytes takes, zero if the rate is unknown.
func (r Rate) duration(n Bytes) time.Duration {
	if r <= 0 || n <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}

const (
	// linkWindow is how long the link takes for the bytes of large responses in flight. A
	// response spends about half of its time in flight at its target, so that a shorter window
	// would leave a link of 10 Mbit/s idle while requests wait. A longer one delays small
	// responses for longer than their objectives of 0.6 to 1 s allow.
	linkWindow = 500 * time.Millisecond
	// memoryShare is the share of the memory for bodies that large responses may take.
	memoryShare = 0.5
	// bitsPerByte converts the rate of a link.
	bitsPerByte = 8
	// minLinkRate is the lowest rate of a link that is taken for one. A lower rate would stop
	// large responses for minutes.
	minLinkRate site.BitRate = 64e3
	// maxLinkRate is the highest rate that is a bound, far above that of any machine.
	maxLinkRate site.BitRate = 1e12
)

// Limits bounds the large responses of a host. Zero values stand for no bound.
type Limits struct {
	// Link bounds the bytes in flight that use the link, Rate is the link's rate.
	Link Bytes
	Rate Rate
	// Memory bounds the bytes in flight that use memory.
	Memory Bytes
}

// LimitsOf returns the limits for a link, whose rate is zero if it is unknown, and the memory
// for all bodies. It reports whether the rate was usable; an unusable one is no bound.
func LimitsOf(link site.BitRate, bodyMemory int64) (limits Limits, ok bool) {
	limits.Memory = Bytes(memoryShare * float64(max(bodyMemory, 0)))
	switch {
	case link == 0, link >= maxLinkRate:
		return limits, true
	case !(link >= minLinkRate): // also for a rate that is not a number
		return limits, false
	}
	limits.Rate = Rate(link / bitsPerByte)
	limits.Link = Bytes(float64(limits.Rate) * linkWindow.Seconds())
	return limits, true
}
