package outcome

import (
	"net/http"
	"strconv"
	"time"
)

// Write sends a result to the caller: the answer as it came, or a small JSON
// body with the outcome, the reason and the retry hint. Nothing internal, such
// as a target's name or address, is in it.
func Write(w http.ResponseWriter, r Result) {
	write(w, r, strconv.Itoa(retrySeconds(r)))
}

// WriteFractional is Write for callers that read fractions of a second in
// Retry-After, which RFC 9110 does not have: work that takes a tenth of a
// second has room again long before a second has passed.
func WriteFractional(w http.ResponseWriter, r Result) {
	retry := "0"
	if f, ok := r.(NotRunFailure); ok && f.RetryAfter > 0 {
		millis := (f.RetryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
		retry = strconv.FormatFloat(millis.Seconds(), 'f', -1, 64)
	}
	write(w, r, retry)
}

// write writes a result with a retry hint in seconds, "0" for none.
func write(w http.ResponseWriter, r Result, retry string) {
	h := w.Header()
	if a, ok := r.(Response); ok {
		writeAnswer(w, a)
		return
	}
	reason := ReasonOf(r)
	h["Content-Type"] = []string{"application/json"}
	h["Cache-Control"] = []string{"no-store"}
	h[Header] = []string{string(Of(r))}
	h[HeaderReason] = []string{string(reason)}
	if retry != "0" {
		h["Retry-After"] = []string{retry}
	}
	if reason == Credential {
		h["Www-Authenticate"] = []string{"Bearer"}
	}
	body := failureBody(Of(r), reason, retry)
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(Status(r))
	_, _ = w.Write(body)
}

func writeAnswer(w http.ResponseWriter, a Response) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h[Header] = []string{string(Done)}
	if bodyAllowed(a.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	w.WriteHeader(a.Status)
	if len(a.Body) > 0 {
		_, _ = w.Write(a.Body)
	}
}

// bodyAllowed follows RFC 9110: no body with 204 and 304.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// retrySeconds rounds a retry hint up: the header counts whole seconds.
func retrySeconds(r Result) int {
	f, ok := r.(NotRunFailure)
	if !ok || f.RetryAfter <= 0 {
		return 0
	}
	return int((f.RetryAfter + time.Second - 1) / time.Second)
}

// failureBody writes the body by hand: all its strings are from closed sets
// without characters that JSON escapes.
func failureBody(o Outcome, reason Reason, retry string) []byte {
	b := make([]byte, 0, 96)
	b = append(b, `{"outcome":"`...)
	b = append(b, o...)
	b = append(b, `","reason":"`...)
	b = append(b, reason...)
	b = append(b, `","retry_after":`...)
	b = append(b, retry...)
	return append(b, "}\n"...)
}
