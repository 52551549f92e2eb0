package target

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Signal is a target's instruction to the host about further requests, sent in a
// response.
type Signal struct {
	// Leaving is set if the target stops soon and should get no new requests.
	Leaving bool
	// Pause is how long this host should send no requests after a refused one; zero
	// for none.
	Pause time.Duration
	// Limit is what the response states about the target's rate limit; nil if it
	// states nothing.
	Limit Limit
	// Load is the target's load when it sent the response; nil if the response does not
	// state it.
	Load *Load
	// InvalidLoad is the start of a load that can't be parsed, quoted, empty if there is none.
	InvalidLoad string
	// Warmup is how much longer the target is cold; zero if the response does not state it.
	Warmup time.Duration
}

// maxInvalidLoad is how many bytes of an invalid load are kept for the log.
const maxInvalidLoad = 64

// maxWarmupMillis bounds a stated warm-up.
const maxWarmupMillis = 10 * 60 * 1000

// maxPauseSeconds bounds the pause that a target may ask for: a longer one is not
// meant as a pause.
const maxPauseSeconds = 24 * 60 * 60

// SignalOf returns the signal in the response to a request or an order for the target
// expected. It is empty if the response names another target, which has the address now.
// A Retry-After that is not a number of seconds is ignored.
func SignalOf(resp *http.Response, names *HeaderNames, expected place.Target) Signal {
	var signal Signal
	if name := resp.Header.Get(names.Target); name != "" && expected != "" && name != string(expected) {
		return signal
	}
	signal.Leaving = names.Leaving != "" && resp.Header.Get(names.Leaving) == "1"
	if names.Limit != "" {
		signal.Limit = ParseLimit(resp.Header.Values(names.Limit), resp.StatusCode)
	}
	if names.Load != "" {
		values := resp.Header.Values(names.Load)
		if signal.Load = ParseLoad(values); signal.Load == nil && len(values) > 0 {
			text := strings.Join(values, ", ")
			signal.InvalidLoad = strconv.Quote(text[:min(len(text), maxInvalidLoad)])
		}
	}
	if names.Warmup != "" {
		millis, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get(names.Warmup)), 64)
		if err == nil && millis > 0 {
			signal.Warmup = time.Duration(min(millis, maxWarmupMillis) * float64(time.Millisecond))
		}
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return signal
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get("Retry-After")), 64)
	if err == nil && seconds > 0 {
		signal.Pause = time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
	}
	return signal
}
