package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/target"
)

// maxResponseBytes bounds the body of a response that a caller reads.
const maxResponseBytes = 32 << 20

// dialAttempts is the number of entry hosts tried for one request while none of it has
// been sent.
const dialAttempts = 3

// responseGrace is how long a caller waits for the response after the route's timeout.
const responseGrace = 3 * time.Second

// The interface to callers, as docs/outcomes.md specifies it. The load generator shares no
// code with the data path, so that it checks it independently.
const (
	headerOutcome  = "Citrontray-Outcome"
	headerReason   = "Citrontray-Reason"
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Reasons of requests that were refused because of load, not for lack of an owner.
const (
	reasonOverload = "overload"
	reasonLimited  = "limited"
)

// errResent ends a lookup whose connection broke off, since net/http would resend it by
// itself. A response not-run to the second copy would say nothing about the first, which
// may have run.
var errResent = errors.New("load: connection broke off before the response")

// endState is how a call ended for its caller.
type endState uint8

const (
	endDone    endState = iota // complete response to this request
	endNotRun                  // refused, certainly not run
	endUnknown                 // reported as possibly run
	endLost                    // no response, or one without an outcome
	endWrong                   // incomplete response, or one to another request
)

// call is a request of a caller.
type call struct {
	stream    *Stream
	key       string
	operation string
	payload   []byte
	due       time.Time
	// probe is set if the call only checks whether its shard is served.
	probe bool
}

// callResult is the result of a call.
type callResult struct {
	state  endState
	reason string
	status int
	err    error // connection error
}

// caller sends calls through a balancer.
type caller struct {
	client   *http.Client
	balancer *Balancer
}

func newCaller(balancer *Balancer) *caller {
	return &caller{balancer: balancer, client: &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024,
			DisableCompression:  true,
		},
	}}
}

// do sends the call to a ready entry host. It tries another host only if nothing was sent
// to the previous one.
func (c *caller) do(ctx context.Context, call call) callResult {
	ctx, cancel := context.WithTimeout(ctx, call.stream.Timeout+responseGrace)
	defer cancel()
	for range dialAttempts {
		addr, ok := c.balancer.Pick()
		if !ok {
			break
		}
		end, sent := c.send(ctx, addr, call)
		if sent {
			return end
		}
	}
	return callResult{state: endLost, reason: "no entry host"}
}

// send makes one attempt; sent is false if nothing was sent.
func (c *caller) send(ctx context.Context, addr netip.AddrPort, call call) (end callResult, sent bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) {
			if wrote.Load() {
				cancel(errResent)
			}
		},
		WroteHeaders: func() { wrote.Store(true) },
	}
	request, err := call.request(httptrace.WithClientTrace(ctx, trace), addr)
	if err != nil {
		return callResult{state: endLost, reason: "bad request"}, true
	}
	response, err := c.client.Do(request)
	if err != nil {
		return callResult{state: endLost, reason: "connection", err: errors.Join(err, context.Cause(ctx))}, wrote.Load()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return callResult{state: endWrong, reason: "cut", status: response.StatusCode, err: err}, true
	}
	return call.checkResponse(response, body), true
}

// request builds the HTTP request. Its body cannot be read twice, so that the HTTP client
// does not resend it by itself.
func (c call) request(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
	url := "http://" + addr.String() + c.uri()
	var body io.Reader
	if len(c.payload) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(c.payload)}
	}
	request, err := http.NewRequestWithContext(ctx, c.stream.Method, url, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.payload))
	request.Header.Set("Authorization", "Bearer "+c.stream.Credential)
	if !c.stream.Idempotent {
		request.Header.Set(target.HeaderIdempotency, c.operation)
	}
	return request, nil
}

func (c call) uri() string { return c.stream.uri(c.key, c.operation) }

// checkResponse checks a response against its call.
func (c call) checkResponse(response *http.Response, body []byte) callResult {
	end := callResult{
		reason: response.Header.Get(headerReason),
		status: response.StatusCode,
	}
	switch response.Header.Get(headerOutcome) {
	case outcomeDone:
		end.state = endDone
		if !fake.CheckResponse(body, c.uri(), c.payload) {
			end.state = endWrong
		}
	case outcomeNotRun:
		end.state = endNotRun
	case outcomeUnknown:
		end.state = endUnknown
	default:
		end.state = endLost
	}
	return end
}
