// Package outcome defines the outcomes of a request that are reported to its caller: it
// is done, it certainly did not run, or it may have run.
package outcome

import (
	"net/http"
	"time"
)

// Header carries the Outcome in every response to a caller. HeaderReason carries the
// Reason if the outcome is not Done.
const (
	Header       = "Citrontray-Outcome"
	HeaderReason = "Citrontray-Reason"
)

// Outcome is the value of Header.
type Outcome string

// The outcomes. A request with the outcome NotRun did not run and will not, so that a
// retry is safe. One with the outcome Unknown may have run, or may still run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason is the value of HeaderReason, from a closed set.
type Reason string

// The reasons for NotRun.
const (
	Credential   Reason = "credential"     // no caller has this credential
	NoRoute      Reason = "no-route"       // the caller has no route for the path
	Method       Reason = "method"         // no route of the caller allows the method
	BadPath      Reason = "bad-path"       // the path is not in canonical form
	BadKey       Reason = "bad-key"        // no key, a malformed one, or one of another caller
	BadHeader    Reason = "bad-header"     // a header that callers may not send
	BodyTooBig   Reason = "body-too-big"   // the body exceeds the service's limit
	HeaderTooBig Reason = "header-too-big" // the headers exceed their limit
	BodyCut      Reason = "body-cut"       // the body ended early
	KeyReused    Reason = "key-reused"     // the idempotency key was used for another request
	Limited      Reason = "limited"        // the caller exceeds its own limit
	Overload     Reason = "overload"       // refused by admission control: the queue is full or too long
	Deadline     Reason = "deadline"       // the deadline passed before the request was sent
	CallerGone   Reason = "caller-gone"    // the caller disconnected before the request was sent
	NoOwner      Reason = "no-owner"       // no target currently owns the key
	Unreachable  Reason = "unreachable"    // no connection to the target could be made
	Refused      Reason = "refused"        // the target refused the request without running it
	Stopping     Reason = "stopping"       // this entry host is stopping
	Starting     Reason = "starting"       // this entry host has no settings yet
	Quarantined  Reason = "quarantined"    // targets have ended under the same request
)

// The reasons for Unknown.
const (
	SendCut      Reason = "send-cut"       // the connection broke while the request was sent
	AnswerCut    Reason = "answer-cut"     // the response broke off or could not be parsed
	AnswerLate   Reason = "answer-late"    // no complete response before the deadline
	AnswerWrong  Reason = "answer-wrong"   // the response belongs to another request
	AnswerTooBig Reason = "answer-too-big" // the response exceeds its limit or the memory left
	AnswerBad    Reason = "answer-bad"     // the response is unusable, for example without framing or the target's stamp
	// AnswerUnmarked: the status means that the request did not run, but the target has not
	// marked the response so.
	AnswerUnmarked Reason = "answer-unmarked"
)

// Result is the result of a request: a Response, a NotRunFailure or an
// UnknownFailure.
type Result interface{ result() }

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotRunFailure is the result of a request that did not run and will not.
type NotRunFailure struct {
	Reason Reason
	// RetryAfter is the delay after which a retry makes sense; zero stands for never.
	RetryAfter time.Duration
}

// UnknownFailure is the result of a request that may have run.
type UnknownFailure struct{ Reason Reason }

func (Response) result()       {}
func (NotRunFailure) result()  {}
func (UnknownFailure) result() {}

var notRunStatus = map[Reason]int{
	Credential:   http.StatusUnauthorized,
	NoRoute:      http.StatusNotFound,
	Method:       http.StatusMethodNotAllowed,
	BadPath:      http.StatusBadRequest,
	BadKey:       http.StatusBadRequest,
	BadHeader:    http.StatusBadRequest,
	BodyTooBig:   http.StatusRequestEntityTooLarge,
	HeaderTooBig: http.StatusRequestHeaderFieldsTooLarge,
	BodyCut:      http.StatusBadRequest,
	KeyReused:    http.StatusUnprocessableEntity,
	Limited:      http.StatusTooManyRequests,
	Overload:     http.StatusServiceUnavailable,
	Deadline:     http.StatusGatewayTimeout,
	CallerGone:   http.StatusServiceUnavailable,
	NoOwner:      http.StatusServiceUnavailable,
	Unreachable:  http.StatusServiceUnavailable,
	Refused:      http.StatusServiceUnavailable,
	Stopping:     http.StatusServiceUnavailable,
	Starting:     http.StatusServiceUnavailable,
	Quarantined:  http.StatusUnprocessableEntity,
}

// The lowest and the highest status of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// ValidStatus reports whether a response may have the status. Interim responses are included.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// MeansNotRun reports whether a status tells the caller that the request did not run and
// will not.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the HTTP status of a result.
func Status(r Result) int {
	switch r := r.(type) {
	case Response:
		return r.Status
	case NotRunFailure:
		if status, ok := notRunStatus[r.Reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	case UnknownFailure:
		if r.Reason == AnswerLate {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}

// Of returns the outcome of a result.
func Of(r Result) Outcome {
	switch r.(type) {
	case Response:
		return Done
	case NotRunFailure:
		return NotRun
	}
	return Unknown
}

// ReasonOf returns the reason of a failure, or "" for a response.
func ReasonOf(r Result) Reason {
	switch r := r.(type) {
	case NotRunFailure:
		return r.Reason
	case UnknownFailure:
		return r.Reason
	}
	return ""
}
