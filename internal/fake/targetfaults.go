package fake

import (
	"bytes"
	"context"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"citrontray.example/citrontray/internal/target"
)

// OperationParameter is the query parameter with the caller's own ID of an
// operation, by which runs are counted.
const OperationParameter = "operation"

// oversizedPadding is the number of bytes added to an oversized response.
const oversizedPadding = 16 << 20

// responseDelay is the delay of a delayed response.
const responseDelay = 3 * time.Second

// TargetFaults are the faults of one target. The probabilities, from 0 to 1,
// apply to each request.
type TargetFaults struct {
	// Reset closes the connection before the response, Truncated in the middle
	// of it.
	Reset, Truncated float64
	// DelayResponse delays the response by 3 s, SwapResponse sends that of an
	// earlier request, Oversized adds 16 MiB to it.
	DelayResponse, SwapResponse, Oversized float64
	// Shed refuses the request as busy.
	Shed float64
	// Slow is added to the duration of each run.
	Slow time.Duration
	// PaddingBytes is added to the size of each response.
	PaddingBytes int
	// ReportIdle makes the health endpoint always report an idle target.
	ReportIdle bool
	// Draining makes the target announce in its responses to orders that it is
	// leaving.
	Draining bool
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

func (t *Target) currentFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// occurs decides at random whether a fault of the probability occurs.
func (TargetFaults) occurs(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

// Freeze stops the target between any two steps of its work, as if the process
// were paused; its clock continues.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.thawed:
		t.thawed = make(chan struct{})
	default:
	}
}

// Thaw resumes a frozen target.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.thawed:
	default:
		close(t.thawed)
	}
}

// waitThawed waits while the target is frozen; it reports false where the
// process has ended.
func (t *Target) waitThawed(p *targetProcess) bool {
	t.mu.Lock()
	thaw := t.thawed
	t.mu.Unlock()
	select {
	case <-thaw:
	case <-p.done:
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the target's process: its connections are closed and it holds no
// shards any more.
func (t *Target) Kill() {
	t.mu.Lock()
	p := t.process
	t.process = nil
	if p == nil {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	for shard := range p.held {
		t.ledger.recordRelease(now, t.config.Service, t.config.Name, shard)
	}
	t.mu.Unlock()
	_ = p.server.Close()
	<-p.done
}

// Stop ends the target's process after the work in flight, or at the end of
// ctx.
func (t *Target) Stop(ctx context.Context) {
	t.mu.Lock()
	p := t.process
	t.mu.Unlock()
	if p != nil {
		_ = p.server.Shutdown(ctx)
	}
	t.Kill()
}

// abortIfKilled waits while the target is frozen and aborts the handler of a
// killed process. A return from the handler would send an empty response with
// status 200.
func (t *Target) abortIfKilled(p *targetProcess) {
	if !t.waitThawed(p) {
		panic(http.ErrAbortHandler)
	}
}

// respond sends a response as the faults change it.
func (t *Target) respond(w http.ResponseWriter, faults TargetFaults, resp response) {
	if faults.occurs(faults.DelayResponse) {
		time.Sleep(responseDelay)
	}
	if faults.occurs(faults.Reset) {
		panic(http.ErrAbortHandler)
	}
	if faults.occurs(faults.SwapResponse) {
		resp = t.swapResponse(resp)
		w.Header().Set(target.HeaderRequest, resp.request)
	}
	if faults.occurs(faults.Oversized) {
		resp.body = append(resp.body, make([]byte, oversizedPadding)...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	if faults.occurs(faults.Truncated) {
		w.Write(resp.body[:len(resp.body)/2])
		_ = http.NewResponseController(w).Flush() // otherwise nothing would be sent
		panic(http.ErrAbortHandler)
	}
	w.Write(resp.body)
}

// swapResponse returns the previous response and keeps this one for the next
// call.
func (t *Target) swapResponse(resp response) response {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.lastResponse
	t.lastResponse = resp
	if previous.body == nil {
		return resp
	}
	return previous
}

// ResponseBody returns the body of the response to a request: the request's
// path and query, the checksum of its body, padding, and the checksum of these.
// CheckResponse verifies it.
func ResponseBody(uri string, payload []byte, padding int) []byte {
	var out bytes.Buffer
	out.WriteString(uri)
	out.WriteByte('\n')
	out.Write(checksum(payload))
	out.Write(make([]byte, padding))
	out.Write(checksum(out.Bytes()))
	return out.Bytes()
}

// CheckResponse reports whether body is a complete response to that request.
func CheckResponse(body []byte, uri string, payload []byte) bool {
	split := len(body) - checksumBytes
	if split < 0 || !bytes.Equal(checksum(body[:split]), body[split:]) {
		return false
	}
	want := append([]byte(uri+"\n"), checksum(payload)...)
	return bytes.HasPrefix(body, want)
}

const checksumBytes = 8

func checksum(b []byte) []byte {
	h := fnv.New64a()
	h.Write(b) //nolint:errcheck // never fails
	return binary.BigEndian.AppendUint64(nil, h.Sum64())
}
