package outcome

import (
	"net/http"
	"strconv"
	"time"
)

// Write writes a result to the caller: the target's response unchanged, or a small
// JSON body with the outcome, the reason and the retry delay. The body contains
// nothing internal, such as a target's name or address.
func Write(w http.ResponseWriter, r Result) {
	write(w, r, strconv.Itoa(retrySeconds(r)))
}

// WriteFractional is Write for callers that accept fractions of a second in
// Retry-After, which RFC 9110 does not allow. If requests take a tenth of a second,
// slots become free long before a whole second has passed.
func WriteFractional(w http.ResponseWriter, r Result) {
	retry := "0"
	if f, ok := r.(NotRunFailure); ok && f.RetryAfter > 0 {
		millis := (f.RetryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
		retry = strconv.FormatFloat(millis.Seconds(), 'f', -1, 64)
	}
	write(w, r, retry)
}

// write writes a result with a retry delay in seconds, "0" for none.
func write(w http.ResponseWriter, r Result, retry string) {
	h := w.Header()
	if resp, ok := r.(Response); ok {
		writeResponse(w, resp)
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

func writeResponse(w http.ResponseWriter, resp Response) {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	h[Header] = []string{string(Done)}
	if bodyAllowed(resp.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	}
	w.WriteHeader(resp.Status)
	if len(resp.Body) == 0 {
		return
	}
	if k, ok := w.(bodyKeeper); ok {
		k.KeepBody(resp.Body)
		return
	}
	_, _ = w.Write(resp.Body)
}

// bodyKeeper is a response writer that does not copy a body which does not change any more.
type bodyKeeper interface{ KeepBody(p []byte) }

// bodyAllowed reports whether a response may have a body. RFC 9110 allows none with
// 204 and 304.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// retrySeconds returns the retry delay in seconds, rounded up to whole ones for
// Retry-After.
func retrySeconds(r Result) int {
	f, ok := r.(NotRunFailure)
	if !ok || f.RetryAfter <= 0 {
		return 0
	}
	return int((f.RetryAfter + time.Second - 1) / time.Second)
}

// failureBody returns the JSON body of a failure. It needs no escaping, since all
// strings are from closed sets without characters that JSON escapes.
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
