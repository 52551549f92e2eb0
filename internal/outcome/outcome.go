// Package outcome holds what a caller may learn of its request: that it is
// done, that it certainly did not run, or that it may have run.
package outcome

import (
	"net/http"
	"time"
)

// Header carries the Outcome on every answer to a caller; HeaderReason says
// why on those that are not Done.
const (
	Header       = "Citrontray-Outcome"
	HeaderReason = "Citrontray-Reason"
)

// Outcome is the value of Header.
type Outcome string

// The outcomes. A request with the outcome NotRun did not run and will not:
// it is safe to send it again. One with Unknown may have run, or may run yet.
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
	Method       Reason = "method"         // the caller's routes bar the method
	BadPath      Reason = "bad-path"       // the path is not in its plain form
	BadKey       Reason = "bad-key"        // no key, a malformed one or another's
	BadHeader    Reason = "bad-header"     // a header that may not be sent
	BodyTooBig   Reason = "body-too-big"   // the body is over the service's bound
	HeaderTooBig Reason = "header-too-big" // the headers are over their bound
	BodyCut      Reason = "body-cut"       // the body ended early
	KeyReused    Reason = "key-reused"     // idempotency key of another request
	Limited      Reason = "limited"        // over the caller's own limit
	Overload     Reason = "overload"       // the queue is full or too long
	Deadline     Reason = "deadline"       // the time ran out before it was sent
	CallerGone   Reason = "caller-gone"    // the caller hung up before it was sent
	NoOwner      Reason = "no-owner"       // no target owns the key now
	Unreachable  Reason = "unreachable"    // the target takes no connection
	Refused      Reason = "refused"        // the target refused it unrun
	Stopping     Reason = "stopping"       // this entry host is stopping
	Starting     Reason = "starting"       // this entry host has no settings yet
)

// The reasons for Unknown.
const (
	SendCut      Reason = "send-cut"       // the connection broke while sending
	AnswerCut    Reason = "answer-cut"     // no answer, or part of one
	AnswerLate   Reason = "answer-late"    // no whole answer within the deadline
	AnswerWrong  Reason = "answer-wrong"   // the answer belongs to another request
	AnswerTooBig Reason = "answer-too-big" // the answer is over the bound
	AnswerBad    Reason = "answer-bad"     // the answer is malformed or unframed
)

// Result is the end of a request: an Answer, a Failure of either kind.
type Result interface{ result() }

// Response is the whole answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotRunFailure tells that the request did not run and will not.
type NotRunFailure struct {
	Reason Reason
	// RetryAfter tells when a new try makes sense; zero stands for never.
	RetryAfter time.Duration
}

// UnknownFailure tells that the request may have run.
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
}

// Status returns the HTTP status of a failure.
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

// ReasonOf returns the reason of a failure, or "" for an answer.
func ReasonOf(r Result) Reason {
	switch r := r.(type) {
	case NotRunFailure:
		return r.Reason
	case UnknownFailure:
		return r.Reason
	}
	return ""
}
