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

// maxResponseBytes bounds an answer that a caller reads.
const maxResponseBytes = 32 << 20

// dialAttempts is how many entry hosts the balancer tries for one request, as
// long as nothing of it was sent.
const dialAttempts = 3

// responseGrace is how long a caller waits past the route's timeout.
const responseGrace = 3 * time.Second

// What a caller sees of the system, as docs/outcomes.md promises it. The load
// stands outside and shares no code with the data path.
const (
	headerOutcome  = "Citrontray-Outcome"
	headerReason   = "Citrontray-Reason"
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// The reasons of refusals that are for load, not for want of an owner.
const (
	reasonOverload = "overload"
	reasonLimited  = "limited"
)

// errResent ends a look-up whose connection was cut: net/http would send it
// again by itself. An answer not-run to the second copy then says nothing of
// the first, which may have run.
var errResent = errors.New("load: connection cut before the answer")

// endState is how a call ended for its caller.
type endState uint8

const (
	endDone    endState = iota // the whole answer to its own request
	endNotRun                  // refused, certainly not run
	endUnknown                 // told that it may have run
	endLost                    // no answer, or one without an outcome
	endWrong                   // an answer cut or another's
)

// call is one request of a caller.
type call struct {
	stream    *Stream
	key       string
	operation string
	payload   []byte
	due       time.Time
	// probe tells that the call only looks whether its shard is served.
	probe bool
}

// callResult is what a call came to.
type callResult struct {
	state  endState
	reason string
	status int
	err    error // of the connection
}

// caller makes calls through a balancer.
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

// do sends the call to a ready entry host. It goes to a second one only
// where nothing was sent to the first.
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

// send makes one try; sent is false where not one byte went out.
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

// request builds the call's request. The body can't be read twice, so that
// the HTTP client never resends it by itself.
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

// checkResponse checks an answer against its call.
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
