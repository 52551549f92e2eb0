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

// maxControlConnections is how many connections for orders a process opens to one
// target. With two, an order need not wait for another one that hangs.
const maxControlConnections = 2

// controlIdleTimeout is how long an idle connection is kept. Renewals are much more
// frequent.
const controlIdleTimeout = 30 * time.Second

// HTTPControl sends orders over HTTP. It implements Control.
type HTTPControl struct {
	client *http.Client
}

// NewControl returns an HTTPControl whose orders time out after timeout.
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

// Order implements Control. After an error, the order may or may not have taken
// effect.
func (c *HTTPControl) Order(ctx context.Context, addr netip.AddrPort, order grant.Order) (grant.Response, error) {
	body, err := EncodeOrder(order)
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: encode order")
	}
	url := "http://" + addr.String() + OrderPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: create order for %s", addr)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: send order to %s", addr)
	}
	defer response.Body.Close()
	return readResponse(response)
}

// Close closes the idle connections.
func (c *HTTPControl) Close() { c.client.CloseIdleConnections() }

func readResponse(resp *http.Response) (grant.Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes+1))
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: read response")
	}
	if len(body) > maxMessageBytes {
		return grant.Response{}, fmt.Errorf("target: response is longer than %d bytes", maxMessageBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return grant.Response{}, fmt.Errorf("target: order failed with status %d", resp.StatusCode)
	}
	response, err := DecodeResponse(body)
	if err != nil {
		return grant.Response{}, oops.Wrapf(err, "target: decode response")
	}
	return response, nil
}
