package dispatch

import (
	"math"
	"strconv"
	"time"

	"citrontray.example/citrontray/internal/target"
)

const (
	// slowdownUnit is the unit of a slowdown on the wire.
	slowdownUnit = 1e-3
	// maxLoadAge bounds the age of a load on the wire. An older one is not used.
	maxLoadAge = time.Minute
)

// loadToWire returns the load as decimal numbers: running, waiting, slots, the slowdown in
// thousandths, and the age in microseconds. They are sent in a field that a Done does not use
// otherwise: builds up to fd071b4 refuse messages with additional elements, so that their
// homes would not learn that the ticket is released.
func loadToWire(l *target.Load) []string {
	if l == nil {
		return nil
	}
	numbers := []int64{int64(l.Running), int64(l.Waiting), int64(l.Slots), int64(math.Round(l.Slowdown / slowdownUnit)), micros(l.Age)}
	out := make([]string, len(numbers))
	for i, n := range numbers {
		out[i] = strconv.FormatInt(n, 10)
	}
	return out
}

// decodeLoad returns the load, nil without one or for values that no target may state. Later
// builds may append numbers.
func decodeLoad(fields []string) *target.Load {
	var numbers [5]int64
	if len(fields) < len(numbers) {
		return nil
	}
	for i := range numbers {
		n, err := strconv.ParseInt(fields[i], 10, 32)
		if err != nil && i < len(numbers)-1 {
			return nil
		}
		numbers[i] = n // an age that is out of range is the greatest one
	}
	l := &target.Load{
		Running: int(numbers[0]), Waiting: int(numbers[1]), Slots: int(numbers[2]), Slowdown: float64(numbers[3]) * slowdownUnit,
		Age: duration(min(numbers[4], micros(maxLoadAge))),
	}
	if !l.Valid() {
		return nil
	}
	return l
}
