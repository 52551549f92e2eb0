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

// maxAnswerBytes bounds an answer that a caller reads.
const maxAnswerBytes = 32 << 20

// dialTries is how many entry hosts the balancer tries for one request, as
// long as nothing of it was sent.
const dialTries = 3

// answerSlack is how long a caller waits past the route's timeout.
const answerSlack = 3 * time.Second

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

// ending is how a call ended for its caller.
type ending uint8

const (
	endDone    ending = iota // the whole answer to its own request
	endNotRun                // refused, certainly not run
	endUnknown               // told that it may have run
	endLost                  // no answer, or one without an outcome
	endWrong                 // an answer cut or another's
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

// ended is what a call came to.
type ended struct {
	ending ending
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

// make sends the call to a ready entry host. It goes to a second one only
// where nothing was sent to the first.
func (c *caller) make(ctx context.Context, call call) ended {
	ctx, cancel := context.WithTimeout(ctx, call.stream.Timeout+answerSlack)
	defer cancel()
	for range dialTries {
		addr, ok := c.balancer.Pick()
		if !ok {
			break
		}
		end, sent := c.send(ctx, addr, call)
		if sent {
			return end
		}
	}
	return ended{ending: endLost, reason: "no entry host"}
}

// send makes one try; sent is false where not one byte went out.
func (c *caller) send(ctx context.Context, addr netip.AddrPort, call call) (end ended, sent bool) {
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
		return ended{ending: endLost, reason: "bad request"}, true
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ended{ending: endLost, reason: "connection", err: errors.Join(err, context.Cause(ctx))}, wrote.Load()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return ended{ending: endWrong, reason: "cut", status: response.StatusCode, err: err}, true
	}
	return call.judge(response, body), true
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

// judge checks an answer against its call.
func (c call) judge(response *http.Response, body []byte) ended {
	end := ended{
		reason: response.Header.Get(headerReason),
		status: response.StatusCode,
	}
	switch response.Header.Get(headerOutcome) {
	case outcomeDone:
		end.ending = endDone
		if !fake.CheckResponse(body, c.uri(), c.payload) {
			end.ending = endWrong
		}
	case outcomeNotRun:
		end.ending = endNotRun
	case outcomeUnknown:
		end.ending = endUnknown
	default:
		end.ending = endLost
	}
	return end
}
