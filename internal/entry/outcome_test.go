package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/loopback"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/target"
)

// expectation is the expected result of a row of docs/outcomes.md, either for a lookup,
// which is idempotent, or for a registration, which is not.
type expectation struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	runs    int
}

func done(runs int) expectation { return expectation{outcome.Done, "", runs} }

func unknown(reason outcome.Reason, runs int) expectation {
	return expectation{outcome.Unknown, reason, runs}
}

func notRun(reason outcome.Reason) expectation {
	return expectation{outcome.NotRun, reason, 0}
}

// responder responds to one request and reports whether the connection stays open.
type responder func(net.Conn, *http.Request, string) bool

// onFirstRequest uses bad for the first request and responds completely to the others.
func onFirstRequest(bad responder) responder {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	return func(c net.Conn, r *http.Request, id string) bool {
		select {
		case <-first:
			return bad(c, r, id)
		default:
			writeResponse(c, id, "whole")
			return true
		}
	}
}

// rawResponse sends a text in which ID is replaced by the request ID.
func rawResponse(text string, open bool) responder {
	return func(c net.Conn, _ *http.Request, id string) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
		return open
	}
}

// Header values for requests that must not reach their deadline, and for those that must.
const (
	longDeadlineMS  = "20000"
	shortDeadlineMS = "300"
)

const responseHead = "HTTP/1.1 200 OK\r\nCitrontray-Request: "

// TestTargetResponses tests the outcome of each response that a target can give.
func TestTargetResponses(t *testing.T) {
	tests := map[string]struct {
		respond          responder
		onlyFirst        bool // only the first request gets this response
		lookup, register expectation
	}{
		"target killed after the last byte": {
			func(net.Conn, *http.Request, string) bool { return false }, true,
			done(2), unknown(outcome.AnswerCut, 1),
		},
		"target always killed after the last byte": {
			func(net.Conn, *http.Request, string) bool { return false }, false,
			unknown(outcome.AnswerCut, 2), unknown(outcome.AnswerCut, 1),
		},
		"response broken off in its header": {
			rawResponse(responseHead+"ID\r\nContent-Le", false), true, done(2), unknown(outcome.AnswerCut, 1),
		},
		"response broken off in its body": {
			rawResponse(responseHead+"ID\r\nContent-Length: 10\r\n\r\n12345", false), true, done(2), unknown(outcome.AnswerCut, 1),
		},
		"chunked response broken off": {
			rawResponse(responseHead+"ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", false), true, done(2), unknown(outcome.AnswerCut, 1),
		},
		"response to another request": {
			rawResponse(responseHead+"another\r\nContent-Length: 2\r\n\r\nno", true), true, done(2), unknown(outcome.AnswerWrong, 1),
		},
		"response without an ID": {
			rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true), true, done(2), unknown(outcome.AnswerWrong, 1),
		},
		"response with two IDs": {
			rawResponse(responseHead+"ID\r\nCitrontray-Request: another\r\nContent-Length: 2\r\n\r\nno", true), true, done(2), unknown(outcome.AnswerWrong, 1),
		},
		"response larger than the limit": {
			rawResponse(responseHead+"ID\r\nContent-Length: 2000\r\n\r\n", true), true, done(2), unknown(outcome.AnswerTooBig, 1),
		},
		"chunked response larger than the limit": {
			rawResponse(responseHead+"ID\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"+strings.Repeat("x", 2000)+"\r\n0\r\n\r\n", true), true,
			done(2), unknown(outcome.AnswerTooBig, 1),
		},
		"response header larger than the limit": {
			rawResponse(responseHead+"ID\r\nX: "+strings.Repeat("x", 80<<10)+"\r\nContent-Length: 0\r\n\r\n", false), true,
			done(2), unknown(outcome.AnswerCut, 1),
		},
		"response without a length": {
			rawResponse(responseHead+"ID\r\n\r\nbody", false), true, done(2), unknown(outcome.AnswerBad, 1),
		},
		"response that is not HTTP": {
			rawResponse("hello\r\n\r\n", false), true, done(2), unknown(outcome.AnswerCut, 1),
		},
		"response that switches protocols": {
			rawResponse("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", true), true, done(2), unknown(outcome.AnswerCut, 1),
		},
		"interim response first": {
			rawResponse("HTTP/1.1 103 Early Hints\r\n\r\n"+responseHead+"ID\r\nContent-Length: 2\r\n\r\nok", true), false, done(1), done(1),
		},
		"error status with the ID": {
			rawResponse("HTTP/1.1 500 Internal Server Error\r\nCitrontray-Request: ID\r\nContent-Length: 0\r\n\r\n", true), false, done(1), done(1),
		},
		"chunked response": {
			rawResponse(responseHead+"ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true), false, done(1), done(1),
		},
		"no response before the deadline": {
			func(c net.Conn, _ *http.Request, _ string) bool {
				_, _ = c.Read(make([]byte, 1)) // until the connection is closed
				return false
			}, false,
			unknown(outcome.AnswerLate, 1), unknown(outcome.AnswerLate, 1),
		},
	}
	for name, test := range tests {
		t.Run(name+"/look", func(t *testing.T) {
			testTargetResponse(t, test.respond, test.onlyFirst, "GET", "/balance/k", test.lookup)
		})
		t.Run(name+"/register", func(t *testing.T) {
			testTargetResponse(t, test.respond, test.onlyFirst, "POST", "/plan/k", test.register)
		})
	}
}

func testTargetResponse(t *testing.T, respond responder, onlyFirst bool, method, path string, want expectation) {
	if onlyFirst {
		respond = onFirstRequest(respond)
	}
	f := newFixture(t, nil)
	owner := newFakeTarget(t, respond)
	f.setOwner(owner.addr())
	deadline := longDeadlineMS
	if want.reason == outcome.AnswerLate {
		deadline = shortDeadlineMS
	}
	a := f.call(method, path, "", target.HeaderDeadline, deadline)
	assert.Equal(t, a.outcome, want.outcome, a.body)
	assert.Equal(t, a.reason, want.reason)
	assert.Equal(t, owner.totalRuns(), want.runs)
	if want.outcome == outcome.Unknown {
		assert.Assert(t, !strings.Contains(a.body, owner.addr().String()), "the response contains the target's address")
	}
}

// TestRefusals tests the outcome of each refusal, which guarantees that the request did
// not run.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		refusal target.Refusal
		first   bool // only the first request is refused
		want    expectation
	}{
		"not the owner, always": {target.RefusalOwner, false, notRun(outcome.NoOwner)},
		"not the owner, once":   {target.RefusalOwner, true, done(1)},
		"busy, once":            {target.RefusalBusy, true, done(1)},
		"busy, always":          {target.RefusalBusy, false, notRun(outcome.Deadline)},
		"deadline":              {target.RefusalDeadline, false, notRun(outcome.Deadline)},
		"draining":              {target.RefusalDraining, false, notRun(outcome.NoOwner)},
		"unknown reason":        {"other", false, notRun(outcome.Refused)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			refused := 0
			answered := 0
			f := newFixture(t, nil)
			owner := newFakeTarget(t, func(c net.Conn, _ *http.Request, id string) bool {
				if test.first && refused > 0 {
					answered++
					writeResponse(c, id, "whole")
					return true
				}
				refused++
				writeRefusal(c, id, test.refusal)
				return true
			})
			f.setOwner(owner.addr())
			deadline := longDeadlineMS
			if test.want.outcome == outcome.NotRun {
				deadline = shortDeadlineMS
			}
			a := f.call("POST", "/plan/k", "", target.HeaderDeadline, deadline)
			assert.Equal(t, a.outcome, test.want.outcome)
			assert.Equal(t, a.reason, test.want.reason)
			assert.Equal(t, answered, test.want.runs)
		})
	}
}

// TestDuplicateResponse tests that the second copy of a response reaches no caller.
func TestDuplicateResponse(t *testing.T) {
	f := newFixture(t, nil)
	owner := newFakeTarget(t, func(c net.Conn, r *http.Request, id string) bool {
		whole := fmt.Sprintf("%s%s\r\nContent-Length: %d\r\n\r\n%s", responseHead, id, len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(c, whole+whole)
		return true
	})
	f.setOwner(owner.addr())
	for i := range 20 {
		path := fmt.Sprintf("/plan/k%d", i)
		a := f.call("POST", path, "")
		assert.Equal(t, a.outcome, outcome.Done)
		assert.Equal(t, a.body, path)
	}
}

func TestUnreachableTarget(t *testing.T) {
	f := newFixture(t, nil)
	addr, err := loopback.Addr()
	assert.NilError(t, err)
	f.setOwner(addr)
	a := f.call("POST", "/plan/k", "", target.HeaderDeadline, "300")
	assert.Equal(t, a.outcome, outcome.NotRun)
	assert.Assert(t, a.reason == outcome.Unreachable || a.reason == outcome.Deadline, a.reason)
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

func TestNoOwner(t *testing.T) {
	f := newFixture(t, nil)
	a := f.call("POST", "/plan/k", "", target.HeaderDeadline, "100")
	assert.Equal(t, a.outcome, outcome.NotRun)
	assert.Equal(t, a.reason, outcome.NoOwner)
}

// TestOwnerAppearsWhileParked tests that a request waits for an owner of its key.
func TestOwnerAppearsWhileParked(t *testing.T) {
	f := newFixture(t, nil)
	owner := newFakeTarget(t, nil)
	got := make(chan response, 1)
	go func() { got <- f.call("POST", "/plan/k", "") }()
	waitFor(t, func() bool { return f.entry.Waiting() == 1 })
	f.setOwner(owner.addr())
	assert.Equal(t, (<-got).outcome, outcome.Done)
	assert.Equal(t, owner.totalRuns(), 1)
}

// newBlockingTarget starts a target that responds once the channel is closed.
func newBlockingTarget(t *testing.T) (*fakeTarget, chan struct{}) {
	free := make(chan struct{})
	return newFakeTarget(t, func(c net.Conn, _ *http.Request, id string) bool {
		<-free
		writeResponse(c, id, "whole")
		return true
	}), free
}

// fillSlots occupies all slots of the target of the plan service, and returns a channel
// for the responses.
func (f *fixture) fillSlots(owner *fakeTarget) chan response {
	out := make(chan response, 3)
	for i := range 3 {
		go func() { out <- f.call("POST", fmt.Sprintf("/plan/fill%d", i), "") }()
	}
	waitFor(f.T, func() bool { return owner.totalRuns() == 3 })
	return out
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met in time")
}

func TestDeadlinePassesInQueue(t *testing.T) {
	f := newFixture(t, nil)
	owner, free := newBlockingTarget(t)
	f.setOwner(owner.addr())
	filled := f.fillSlots(owner)
	a := f.call("POST", "/plan/late", "", target.HeaderDeadline, "100")
	assert.Equal(t, a.outcome, outcome.NotRun)
	assert.Equal(t, a.reason, outcome.Deadline)
	close(free)
	for range 3 {
		assert.Equal(t, (<-filled).outcome, outcome.Done)
	}
	assert.Equal(t, owner.totalRuns(), 3)
}

func TestCallerDisconnectsWhileQueued(t *testing.T) {
	f := newFixture(t, nil)
	owner, free := newBlockingTarget(t)
	f.setOwner(owner.addr())
	filled := f.fillSlots(owner)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/plan/gone", http.NoBody)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+clerkCredential)
	failed := make(chan error, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		failed <- err
	}()
	waitFor(t, func() bool { return f.entry.Waiting() == 1 })
	cancel()
	assert.Assert(t, <-failed != nil)
	waitFor(t, func() bool { return f.entry.Waiting() == 0 })
	close(free)
	for range 3 {
		<-filled
	}
	assert.Equal(t, owner.totalRuns(), 3)
}

func TestQueueFull(t *testing.T) {
	f := newFixture(t, func(c *entryConfig) { c.Queue = queue.Config{MaxLen: 1} })
	owner, free := newBlockingTarget(t)
	f.setOwner(owner.addr())
	filled := f.fillSlots(owner)
	waits := make(chan response, 1)
	go func() { waits <- f.call("POST", "/plan/waits", "") }()
	waitFor(t, func() bool { return f.entry.Waiting() == 1 })
	a := f.call("POST", "/plan/over", "")
	assert.Equal(t, a.outcome, outcome.NotRun)
	assert.Equal(t, a.reason, outcome.Overload)
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	close(free)
	for range 3 {
		<-filled
	}
	assert.Equal(t, (<-waits).outcome, outcome.Done)
}

// TestStopDropsQueue tests that at a stop queued requests end as not run and requests in
// flight complete.
func TestStopDropsQueue(t *testing.T) {
	f := newFixture(t, nil)
	owner, free := newBlockingTarget(t)
	f.setOwner(owner.addr())
	filled := f.fillSlots(owner)
	waits := make(chan response, 1)
	go func() { waits <- f.call("POST", "/plan/waits", "") }()
	waitFor(t, func() bool { return f.entry.Waiting() == 1 })
	f.entry.DropWaiting()
	a := <-waits
	assert.Equal(t, a.outcome, outcome.NotRun)
	assert.Equal(t, a.reason, outcome.Stopping)
	assert.Assert(t, !f.entry.Ready())
	close(free)
	for range 3 {
		assert.Equal(t, (<-filled).outcome, outcome.Done)
	}
}

// TestOwnerMovesWhileQueued tests that a queued request goes to the new owner of its key.
func TestOwnerMovesWhileQueued(t *testing.T) {
	f := newFixture(t, nil)
	old, free := newBlockingTarget(t)
	f.setOwner(old.addr())
	filled := f.fillSlots(old)
	waits := make(chan response, 1)
	go func() { waits <- f.call("POST", "/plan/waits", "") }()
	waitFor(t, func() bool { return f.entry.Waiting() == 1 })
	owner := newFakeTarget(t, nil)
	f.setOwner(owner.addr())
	assert.Equal(t, (<-waits).outcome, outcome.Done)
	assert.Equal(t, owner.totalRuns(), 1)
	close(free)
	for range 3 {
		assert.Equal(t, (<-filled).outcome, outcome.Done)
	}
	assert.Equal(t, old.totalRuns(), 3)
}

// TestBodyLimits tests the limit of one body, with a length or chunked, and the limit of
// the entry host's memory.
func TestBodyLimits(t *testing.T) {
	tests := map[string]struct {
		size   int
		memory int64
		chunks bool
		want   expectation
		status int
	}{
		"at the limit":            {maxBodyBytes, 1 << 20, false, done(1), http.StatusOK},
		"over the limit":          {maxBodyBytes + 1, 1 << 20, false, notRun(outcome.BodyTooBig), http.StatusRequestEntityTooLarge},
		"at the limit, chunked":   {maxBodyBytes, 1 << 20, true, done(1), http.StatusOK},
		"over the limit, chunked": {maxBodyBytes + 1, 1 << 20, true, notRun(outcome.BodyTooBig), http.StatusRequestEntityTooLarge},
		"no memory left":          {maxBodyBytes, maxBodyBytes - 1, false, notRun(outcome.Overload), http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(c *entryConfig) { c.BodyMemory = test.memory })
			owner := newFakeTarget(t, func(c net.Conn, _ *http.Request, id string) bool {
				writeResponse(c, id, "whole")
				return true
			})
			f.setOwner(owner.addr())
			var body io.Reader = strings.NewReader(strings.Repeat("x", test.size))
			if test.chunks {
				body = io.MultiReader(body)
			}
			req, err := http.NewRequest(http.MethodPost, f.server.URL+"/plan/k", body)
			assert.NilError(t, err)
			a := f.send(req)
			assert.Equal(t, a.status, test.status)
			assert.Equal(t, a.outcome, test.want.outcome)
			assert.Equal(t, a.reason, test.want.reason)
			assert.Equal(t, owner.totalRuns(), test.want.runs)
		})
	}
}

// TestIdleConnectionClosed tests that a registration is not sent on an idle connection
// that the target has closed. Its outcome would be unknown.
func TestIdleConnectionClosed(t *testing.T) {
	f := newFixture(t, nil)
	closed := make(chan struct{}, 100)
	owner := newFakeTarget(t, func(c net.Conn, _ *http.Request, id string) bool {
		writeResponse(c, id, "whole")
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	f.setOwner(owner.addr())
	for i := range 10 {
		assert.Equal(t, f.call("POST", fmt.Sprintf("/plan/k%d", i), "").outcome, outcome.Done)
		<-closed
	}
	assert.Equal(t, owner.totalRuns(), 10)
}

// TestResetWhileSending tests that the outcome is unknown if the connection is reset
// before the whole request was read.
func TestResetWhileSending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // connections that are opened ahead send nothing yet
				_, _ = c.Read(make([]byte, 10))
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	f := newFixture(t, nil)
	f.setOwner(l.Addr().(*net.TCPAddr).AddrPort())
	a := f.call("POST", "/plan/k", strings.Repeat("x", maxBodyBytes), target.HeaderDeadline, longDeadlineMS)
	assert.Equal(t, a.outcome, outcome.Unknown)
	a = f.call("GET", "/balance/k", "", target.HeaderDeadline, longDeadlineMS)
	assert.Equal(t, a.outcome, outcome.Unknown)
}

// TestCallerDisconnectsInFlight tests that a lookup is canceled at its target when its
// caller disconnects, and that a registration completes.
func TestCallerDisconnectsInFlight(t *testing.T) {
	tests := map[string]struct {
		method, path string
		canceled     bool
	}{
		"look-up":      {"GET", "/balance/k", true},
		"registration": {"POST", "/plan/k", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			started, free, sawEnd := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			owner := newFakeTarget(t, func(c net.Conn, _ *http.Request, id string) bool {
				close(started)
				if test.canceled {
					_, err := c.Read(make([]byte, 1))
					sawEnd <- errors.Is(err, io.EOF)
					return false
				}
				<-free
				writeResponse(c, id, "whole")
				sawEnd <- false
				return false
			})
			f := newFixture(t, nil)
			f.setOwner(owner.addr())
			ctx, cancel := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, test.method, f.server.URL+test.path, http.NoBody)
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+clerkCredential)
			go func() {
				<-started
				cancel()
			}()
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.ErrorIs(t, err, context.Canceled)
			close(free)
			assert.Equal(t, <-sawEnd, test.canceled)
		})
	}
}

// TestOwnerMovesFromFrozenTarget tests that a lookup in flight at a frozen target is
// retried at the new owner once there is one, and that a registration is not.
func TestOwnerMovesFromFrozenTarget(t *testing.T) {
	tests := map[string]struct {
		method, path string
		outcome      outcome.Outcome
		retries      int
		deadline     string
	}{
		"look-up":      {"GET", "/balance/k", outcome.Done, 1, longDeadlineMS},
		"registration": {"POST", "/plan/k", outcome.Unknown, 0, "1500"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			frozen := newFakeTarget(t, func(c net.Conn, _ *http.Request, _ string) bool {
				_, _ = c.Read(make([]byte, 1)) // until the connection is closed
				return false
			})
			f.setOwner(frozen.addr())
			got := make(chan response, 1)
			go func() { got <- f.call(test.method, test.path, "", target.HeaderDeadline, test.deadline) }()
			waitFor(t, func() bool { return frozen.totalRuns() == 1 })
			owner := newFakeTarget(t, nil)
			f.setOwner(owner.addr())
			assert.Equal(t, (<-got).outcome, test.outcome)
			assert.Equal(t, owner.totalRuns(), test.retries)
		})
	}
}
