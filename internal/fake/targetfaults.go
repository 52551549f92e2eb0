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

// OperationParameter is the query parameter by which a caller names its own
// operation; runs are counted by it.
const OperationParameter = "operation"

// oversizedPadding is the length of an oversized answer.
const oversizedPadding = 16 << 20

// responseDelay is how long a late answer is held back.
const responseDelay = 3 * time.Second

// TargetFaults is what goes wrong at one target. The probabilities are from 0
// to 1, for each request.
type TargetFaults struct {
	// Reset closes the connection before the answer, Truncated within it.
	Reset, Truncated float64
	// DelayResponse holds the answer back for 3 s; Crossed gives the answer of an
	// earlier request; Oversized gives 16 MiB.
	DelayResponse, SwapResponse, Oversized float64
	// Shed refuses as busy.
	Shed float64
	// Slow is added to each run.
	Slow time.Duration
	// PaddingBytes pads each answer.
	PaddingBytes int
	// ReportIdle makes the health endpoint always tell that it is idle.
	ReportIdle bool
	// Draining makes the target ask to leave in its answers to orders.
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

// occurs decides a probability.
func (TargetFaults) occurs(probability float64) bool {
	return probability > 0 && rand.Float64() < probability
}

// Freeze stops the target between any two steps of its work, as if the
// process were paused; its clock goes on.
func (t *Target) Freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.thawed:
		t.thawed = make(chan struct{})
	default:
	}
}

// Thaw lets the target go on as if nothing had happened.
func (t *Target) Thaw() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.thawed:
	default:
		close(t.thawed)
	}
}

// waitThawed waits while the target is frozen; it reports false where its life has
// ended.
func (t *Target) waitThawed(l *targetProcess) bool {
	t.mu.Lock()
	gate := t.thawed
	t.mu.Unlock()
	select {
	case <-gate:
	case <-l.done:
	}
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Kill ends the target's process: connections are cut, holdings are gone.
func (t *Target) Kill() {
	t.mu.Lock()
	l := t.process
	t.process = nil
	if l == nil {
		t.mu.Unlock()
		return
	}
	now := time.Now()
	for shard := range l.held {
		t.ledger.recordRelease(now, t.config.Service, t.config.Name, shard)
	}
	t.mu.Unlock()
	_ = l.server.Close()
	<-l.done
}

// Stop ends the target after the work in flight, or at the end of ctx.
func (t *Target) Stop(ctx context.Context) {
	t.mu.Lock()
	l := t.process
	t.mu.Unlock()
	if l != nil {
		_ = l.server.Shutdown(ctx)
	}
	t.Kill()
}

// abortIfKilled waits while the target is frozen. A process that was killed sends no
// answer: returning from the handler would send an empty one with status 200.
func (t *Target) abortIfKilled(l *targetProcess) {
	if !t.waitThawed(l) {
		panic(http.ErrAbortHandler)
	}
}

// respond writes an answer, or what the faults make of it.
func (t *Target) respond(w http.ResponseWriter, faults TargetFaults, answer response) {
	if faults.occurs(faults.DelayResponse) {
		time.Sleep(responseDelay)
	}
	if faults.occurs(faults.Reset) {
		panic(http.ErrAbortHandler)
	}
	if faults.occurs(faults.SwapResponse) {
		answer = t.swapResponse(answer)
		w.Header().Set(target.HeaderRequest, answer.request)
	}
	if faults.occurs(faults.Oversized) {
		answer.body = append(answer.body, make([]byte, oversizedPadding)...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	if faults.occurs(faults.Truncated) {
		w.Write(answer.body[:len(answer.body)/2])
		_ = http.NewResponseController(w).Flush() // else nothing would go out
		panic(http.ErrAbortHandler)
	}
	w.Write(answer.body)
}

// swapResponse returns the answer given before and keeps this one for the next.
func (t *Target) swapResponse(answer response) response {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.lastResponse
	t.lastResponse = answer
	if previous.body == nil {
		return answer
	}
	return previous
}

// ResponseBody is the answer to a request: its path and query, the checksum of
// its body, padding, and the checksum of all that. CheckAnswer knows it again.
func ResponseBody(uri string, payload []byte, padding int) []byte {
	var out bytes.Buffer
	out.WriteString(uri)
	out.WriteByte('\n')
	out.Write(checksum(payload))
	out.Write(make([]byte, padding))
	out.Write(checksum(out.Bytes()))
	return out.Bytes()
}

// CheckResponse reports whether body is the whole answer to that request.
func CheckResponse(body []byte, uri string, payload []byte) bool {
	cut := len(body) - checksumBytes
	if cut < 0 || !bytes.Equal(checksum(body[:cut]), body[cut:]) {
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
