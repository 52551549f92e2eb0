package target

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// Rate is a number of requests per second.
type Rate float64

// maxRate bounds the rate of a limit. A higher one limits nothing.
const maxRate Rate = 1e6

// Limit is what a response states about the target's rate limit, which applies to
// the requests of all hosts together: NoLimit, RateLimit or InvalidLimit.
type Limit interface{ limit() }

// NoLimit is the statement of a response that advertises no limit: there is none, or the last
// one has ended.
type NoLimit struct{}

// RateLimit is a limit on the requests that the target accepts per second.
type RateLimit struct{ Rate Rate }

// InvalidLimit is a limit that can't be parsed. It states nothing.
type InvalidLimit struct{ Value string }

func (NoLimit) limit()      {}
func (RateLimit) limit()    {}
func (InvalidLimit) limit() {}

// ParseLimit parses the values of the limit's header in a response with the status. A
// limit is a single decimal number without a sign or an exponent. It returns nil for an
// error or a refusal without the header: these need not come from the part of the target
// that knows the limit, so they are no evidence that it ended.
func ParseLimit(values []string, status int) Limit {
	if len(values) == 0 {
		if status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests {
			return nil
		}
		return NoLimit{}
	}
	value := strings.TrimSpace(values[0])
	rate, err := strconv.ParseFloat(value, 64) // infinity with ErrRange
	if len(values) > 1 || strings.Trim(value, "0123456789.") != "" || err != nil && !errors.Is(err, strconv.ErrRange) {
		return InvalidLimit{Value: strings.Join(values, ", ")}
	}
	return RateLimit{Rate: min(Rate(rate), maxRate)}
}
