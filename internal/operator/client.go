package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// ClientConfig names the entry hosts and the operator.
type ClientConfig struct {
	// Addrs are tried in turn.
	Addrs      []netip.AddrPort
	Credential string
	// Authority checks the hosts' certificates. Without it the calls are in
	// the clear: for trials on one machine.
	Authority *x509.CertPool
	// Timeout bounds one call at one host.
	Timeout time.Duration
}

// Client is a desk at the operators' API of any entry host.
type Client struct {
	ClientConfig
	scheme string
	client http.Client
}

// NewClient returns a client; it connects at the first call.
func NewClient(config ClientConfig) *Client {
	c := &Client{ClientConfig: config, scheme: "http://", client: http.Client{Timeout: config.Timeout}}
	if config.Authority != nil {
		c.scheme = "https://"
		c.client.Transport = &http.Transport{
			TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: config.Authority},
		}
	}
	return c
}

// transportError is a call that got no answer of the API.
type transportError struct {
	sent bool // some of the call may have reached the host
	err  error
}

// Error implements error.
func (e *transportError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *transportError) Unwrap() error { return e.err }

// Read implements Desk.
func (c *Client) Read(ctx context.Context) (View, error) {
	for _, addr := range c.Addrs {
		var out wireView
		err := c.call(ctx, addr, http.MethodGet, nil, &out)
		if err == nil {
			return out.view()
		}
		var denied *DeniedError
		if errors.As(err, &denied) {
			return View{}, err
		}
	}
	return View{}, fmt.Errorf("%w: no entry host gives the settings", platform.ErrUnavailable)
}

// Write implements Desk. The order's id makes it safe to send the same order
// to the next host after a lost answer: it is applied once.
func (c *Client) Write(ctx context.Context, order WriteRequest) (WriteResult, error) {
	if order.ID == "" {
		order.ID = uuid.NewString()
	}
	body, err := json.Marshal(wireWriteRequest{
		ID: order.ID, File: string(order.File), Rollback: order.Rollback, Below: order.Below,
		Expect: order.Expect, Reason: order.Reason, DryRun: order.DryRun,
	})
	if err != nil {
		return WriteResult{}, err
	}
	doubt := false
	for _, addr := range c.Addrs {
		var out wireWriteResult
		err := c.call(ctx, addr, http.MethodPost, body, &out)
		if err == nil {
			return out.writeResult(), nil
		}
		if isFinal(err, doubt) {
			return WriteResult{}, err
		}
		doubt = doubt || mayTakeEffect(err)
	}
	if doubt {
		return WriteResult{}, fmt.Errorf("%w (write %s)", settings.ErrUnresolved, order.ID)
	}
	return WriteResult{}, fmt.Errorf("%w: no entry host can write", settings.ErrNotAccepted)
}

// mayTakeEffect reports whether a failed write may yet take effect.
func mayTakeEffect(err error) bool {
	var lost *transportError
	if errors.As(err, &lost) {
		return lost.sent
	}
	return errors.Is(err, settings.ErrUnresolved)
}

// isFinal reports whether no other host need be asked. While an earlier host may
// still write, only a conflict is certain: it stands in each later revision,
// so that the earlier host meets it too.
func isFinal(err error, doubt bool) bool {
	var lost *transportError
	var conflict *settings.ConflictError
	switch {
	case errors.As(err, &conflict):
		return true
	case errors.As(err, &lost), errors.Is(err, settings.ErrNotAccepted), errors.Is(err, settings.ErrUnresolved):
		return false
	}
	return !doubt
}

// call makes one call at one host.
func (c *Client) call(ctx context.Context, addr netip.AddrPort, method string, body []byte, out any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+addr.String()+pathSettings, bytes.NewReader(body))
	if err != nil {
		return &transportError{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return &transportError{sent: sent.Load(), err: err}
	}
	defer response.Body.Close()
	answer := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes))
	if response.StatusCode == http.StatusOK {
		if err := answer.Decode(out); err != nil {
			return &transportError{sent: true, err: err}
		}
		return nil
	}
	var failed wireError
	if err := answer.Decode(&failed); err != nil || failed.Code == "" {
		return &transportError{sent: true, err: fmt.Errorf("status %d", response.StatusCode)}
	}
	return failed.err()
}
