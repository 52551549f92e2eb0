package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// WatchTimeout is the platform's own limit on the wait of a watch.
const WatchTimeout = 10 * time.Second

// maxClientConns bounds the connections of one client to one address.
const maxClientConns = 16

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addrs are the platform's addresses. The next one is tried where nothing
	// was sent to the one before.
	Addrs []netip.AddrPort
	// Timeout bounds each call; a watch may take WatchTimeout on top.
	Timeout time.Duration
	// Host and Zone identify the caller; they may be empty.
	Host place.Host
	Zone place.Zone
}

// Client accesses the platform over HTTP and JSON. It implements Store.
type Client struct {
	config    ClientConfig
	client    *http.Client
	addrIndex atomic.Uint64 // index into Addrs of the address in use
}

// NewClient returns a client; it connects with the first call.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, client: &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:     maxClientConns,
			MaxIdleConnsPerHost: maxClientConns,
			DisableCompression:  true,
		},
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, path Path) (Entry, error) {
	var out wireEntry
	err := c.read(ctx, pathGet, wirePath{Path: string(path)}, &out)
	return out.entry(), err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix Path) ([]Entry, Revision, error) {
	var out wireList
	if err := c.read(ctx, pathList, wirePath{Path: string(prefix)}, &out); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, len(out.Entries))
	for i, w := range out.Entries {
		entries[i] = w.entry()
	}
	return entries, Revision(out.Revision), nil
}

// Write implements Store.
func (c *Client) Write(ctx context.Context, path Path, value []byte, expect Revision) (Revision, error) {
	in := wireWrite{Path: string(path), Value: value, Expect: uint64(expect)}
	var out wireRevision
	err := c.call(ctx, pathWrite, in, &out, c.config.Timeout)
	return Revision(out.Revision), withPath(path, err)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, path Path, expect Revision) error {
	in := wireWrite{Path: string(path), Expect: uint64(expect)}
	return withPath(path, c.call(ctx, pathDelete, in, nil, c.config.Timeout))
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix Path, from Revision) ([]Change, Revision, error) {
	in := wireWatch{Prefix: string(prefix), From: uint64(from)}
	var out wireList
	err := c.call(ctx, pathWatch, in, &out, c.config.Timeout+WatchTimeout)
	if err != nil {
		return nil, from, unknownAsUnavailable(err)
	}
	changes := make([]Change, len(out.Entries))
	for i, w := range out.Entries {
		changes[i] = Change{Entry: w.entry(), Deleted: w.Deleted}
	}
	return changes, Revision(out.Revision), nil
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	var out wireLease
	err := c.call(ctx, pathAcquire, wireLease{Name: name, Holder: holder, TTL: int64(ttl)}, &out, c.config.Timeout)
	return out.lease(), err
}

// Release implements Store.
func (c *Client) Release(ctx context.Context, name, holder string) error {
	return c.call(ctx, pathRelease, wireLease{Name: name, Holder: holder}, nil, c.config.Timeout)
}

// Fleet implements Store.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	var out wireFleet
	err := c.read(ctx, pathFleet, struct{}{}, &out)
	return out.fleet(), err
}

// read makes a read-only call. A lost response is reported as ErrUnavailable:
// the call had no effect.
func (c *Client) read(ctx context.Context, path string, in, out any) error {
	return unknownAsUnavailable(c.call(ctx, path, in, out, c.config.Timeout))
}

// call tries the addresses in turn for as long as nothing was sent.
func (c *Client) call(ctx context.Context, path string, in, out any, timeout time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("platform: encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = fmt.Errorf("%w: no address configured", ErrUnavailable)
	for range c.config.Addrs {
		index := c.addrIndex.Load()
		addr := c.config.Addrs[index%uint64(len(c.config.Addrs))]
		err = c.send(ctx, addr, path, body, out)
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
		c.addrIndex.CompareAndSwap(index, index+1)
	}
	return err
}

// send makes one call to one address. The error is ErrUnavailable only where
// the platform refused the call or nothing was sent.
func (c *Client) send(ctx context.Context, addr netip.AddrPort, path string, body []byte, out any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerHost, string(c.config.Host))
	request.Header.Set(headerZone, string(c.config.Zone))
	response, err := c.client.Do(request)
	if err != nil {
		if sent.Load() {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	return decodeResponse(response, out)
}

func decodeResponse(response *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return decodeBody(body, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var current wireRevision
		if err := decodeBody(body, &current); err != nil {
			return err
		}
		return &ConflictError{Current: Revision(current.Revision)}
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: refused", ErrUnavailable)
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
}

func decodeBody(body []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// unknownAsUnavailable turns ErrOutcomeUnknown into ErrUnavailable, for
// read-only calls.
func unknownAsUnavailable(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	return err
}

// withPath adds the path to a conflict error.
func withPath(path Path, err error) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Path = path
	}
	return err
}
