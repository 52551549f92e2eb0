package target

import (
	"strconv"
	"strings"
	"time"
)

// Load is what a target states about its load.
type Load struct {
	// Running and Waiting are its requests, of all callers.
	Running, Waiting int
	Slots            int
	// Slowdown is how long work takes there now, relative to the usual time; zero if the
	// target does not state it.
	Slowdown float64
	// Age is how long ago the head of the response that states it arrived.
	Age time.Duration
}

// Valid reports whether a target may state the load.
func (l *Load) Valid() bool {
	count := func(n int) bool { return n >= 0 && n <= maxLoadCount }
	return count(l.Running) && count(l.Waiting) && count(l.Slots) && l.Slots > 0 && l.Slowdown >= 0 && l.Slowdown <= maxSlowdown && l.Age >= 0
}

const (
	// maxLoadCount bounds the numbers of requests and slots in a load.
	maxLoadCount = 10_000
	// loadPercent is the unit of the slowdown in a load.
	loadPercent = 100
	// maxSlowdown bounds a stated slowdown. No target is useful that is slower.
	maxSlowdown = 100
)

// ParseLoad parses the values of the load's header: the requests that run, those that wait,
// and the slots, separated by commas, and optionally the slowdown in percent. It returns nil
// for anything else, as a load that is partly understood would steer requests wrongly.
func ParseLoad(values []string) *Load {
	if len(values) != 1 {
		return nil
	}
	const counts, all = 3, 4
	fields := strings.Split(values[0], ",")
	if len(fields) != counts && len(fields) != all {
		return nil
	}
	var numbers [all]float64
	for i, field := range fields {
		n, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || !(n >= 0 && n <= maxLoadCount) { // also rejects NaN
			return nil
		}
		numbers[i] = n
	}
	load := &Load{Running: int(numbers[0]), Waiting: int(numbers[1]), Slots: int(numbers[2])}
	if len(fields) == all {
		if numbers[counts] <= 0 {
			return nil
		}
		load.Slowdown = min(numbers[counts]/loadPercent, maxSlowdown)
	}
	if load.Slots == 0 {
		return nil
	}
	return load
}
