// Package clock reads the clock used for leases and deadlines. It keeps running while
// the machine is suspended and never jumps with the wall clock; neither reading of Go's
// time.Now does both.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot. Values are comparable only with each other and only
// on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock: read CLOCK_BOOTTIME: %v", err)) // available since Linux 2.6.39
	}
	return time.Unix(ts.Unix())
}
