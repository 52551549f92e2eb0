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

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addrs are the API addresses of entry hosts, tried in order.
	Addrs      []netip.AddrPort
	Credential string
	// Authority verifies the hosts' certificates. Without it calls are not
	// encrypted, which is meant for trials on one machine.
	Authority *x509.CertPool
	// Timeout limits each call to one host.
	Timeout time.Duration
}

// Client implements API over HTTP, at any entry host.
type Client struct {
	ClientConfig
	scheme string
	client http.Client
}

// NewClient returns a client. It connects on the first call.
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

// transportError is the error of a call without a valid API response.
type transportError struct {
	sent bool // the host may have received the call
	err  error
}

// Error implements error.
func (e *transportError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *transportError) Unwrap() error { return e.err }

// Read implements API.
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
	return View{}, fmt.Errorf("%w: no entry host returned the settings", platform.ErrUnavailable)
}

// Write implements API. The request's ID makes it safe to send the same request to
// the next host after a lost response: it is applied once.
func (c *Client) Write(ctx context.Context, request WriteRequest) (WriteResult, error) {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	body, err := json.Marshal(wireWriteRequest{
		ID: request.ID, File: string(request.File), Rollback: request.Rollback, Below: request.Below,
		Expect: request.Expect, Reason: request.Reason, DryRun: request.DryRun,
	})
	if err != nil {
		return WriteResult{}, err
	}
	inDoubt := false
	for _, addr := range c.Addrs {
		var out wireWriteResult
		err := c.call(ctx, addr, http.MethodPost, body, &out)
		if err == nil {
			return out.writeResult(), nil
		}
		if isFinal(err, inDoubt) {
			return WriteResult{}, err
		}
		inDoubt = inDoubt || mayTakeEffect(err)
	}
	if inDoubt {
		return WriteResult{}, fmt.Errorf("%w (write %s)", settings.ErrUnresolved, request.ID)
	}
	return WriteResult{}, fmt.Errorf("%w: no entry host could write", settings.ErrNotAccepted)
}

// mayTakeEffect reports whether a failed write may have taken effect or still may.
func mayTakeEffect(err error) bool {
	var lost *transportError
	if errors.As(err, &lost) {
		return lost.sent
	}
	return errors.Is(err, settings.ErrUnresolved)
}

// isFinal reports whether there is no need to try another host. While a write at an
// earlier host is in doubt, only a conflict is final: the conflicting write is part of all
// later revisions, so the earlier host's write conflicts as well.
func isFinal(err error, inDoubt bool) bool {
	var lost *transportError
	var conflict *settings.ConflictError
	switch {
	case errors.As(err, &conflict):
		return true
	case errors.As(err, &lost), errors.Is(err, settings.ErrNotAccepted), errors.Is(err, settings.ErrUnresolved):
		return false
	}
	return !inDoubt
}

// call makes one call to one host.
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
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes))
	if response.StatusCode == http.StatusOK {
		if err := decoder.Decode(out); err != nil {
			return &transportError{sent: true, err: err}
		}
		return nil
	}
	var failed wireError
	if err := decoder.Decode(&failed); err != nil || failed.Code == "" {
		return &transportError{sent: true, err: fmt.Errorf("response has status %d", response.StatusCode)}
	}
	return failed.err()
}
