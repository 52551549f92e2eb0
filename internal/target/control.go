package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"citrontray.example/citrontray/internal/grant"
)

// maxControlConnections is how many connections for orders one target sees of
// one process; two let an order pass one that hangs.
const maxControlConnections = 2

// controlIdleTimeout is how long an unused connection is kept; renewals come much
// more often.
const controlIdleTimeout = 30 * time.Second

// HTTPControl carries orders over HTTP. It implements Control.
type HTTPControl struct {
	client *http.Client
}

// NewControl returns a control whose orders take at most timeout.
func NewControl(timeout time.Duration) *HTTPControl {
	return &HTTPControl{client: &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			MaxConnsPerHost:     maxControlConnections,
			MaxIdleConnsPerHost: maxControlConnections,
			IdleConnTimeout:     controlIdleTimeout,
			DisableCompression:  true,
		},
	}}
}

// Order implements Control. Any error leaves open whether the order took
// effect.
func (c *HTTPControl) Order(ctx context.Context, addr netip.AddrPort, order grant.Order) (grant.Response, error) {
	body, err := EncodeOrder(order)
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: encode the order")
	}
	url := "http://" + addr.String() + OrderPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: order for %s", addr)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: order for %s", addr)
	}
	defer response.Body.Close()
	return readAnswer(response)
}

// Close closes the kept connections.
func (c *HTTPControl) Close() { c.client.CloseIdleConnections() }

func readAnswer(response *http.Response) (grant.Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes+1))
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: read the answer")
	}
	if len(body) > maxMessageBytes {
		return grant.Response{}, fmt.Errorf("target: answer is longer than %d bytes", maxMessageBytes)
	}
	if response.StatusCode != http.StatusOK {
		return grant.Response{}, fmt.Errorf("target: order answered with status %d", response.StatusCode)
	}
	answer, err := DecodeAnswer(body)
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: decode the answer")
	}
	return answer, nil
}
