package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// adminTimeout bounds an admin request.
const adminTimeout = 10 * time.Second

// AdminClient is a client of the admin interface of a fake in another process.
type AdminClient struct {
	addr   netip.AddrPort
	client *http.Client
}

// NewAdminClient returns a client of the admin interface at addr.
func NewAdminClient(addr netip.AddrPort) *AdminClient {
	return &AdminClient{addr: addr, client: &http.Client{Timeout: adminTimeout}}
}

// SetTargets adds targets to the platform's fleet list.
func (c *AdminClient) SetTargets(ctx context.Context, rows []place.TargetRow) error {
	out := make([]wireRow, len(rows))
	for i, row := range rows {
		out[i] = wireRow{
			Name: string(row.Target), Service: row.Service, Zone: string(row.Zone),
			State: uint8(row.State), Addr: row.Addr,
		}
	}
	return c.call(ctx, pathTargets, out, nil)
}

// SetHosts adds entry hosts to the platform's fleet list.
func (c *AdminClient) SetHosts(ctx context.Context, rows []place.HostRow) error {
	out := make([]wireRow, len(rows))
	for i, row := range rows {
		out[i] = wireRow{
			Name: string(row.Host), Zone: string(row.Zone),
			State: uint8(row.State), Lead: row.LeadAddr, Entry: row.EntryAddr,
		}
	}
	return c.call(ctx, pathHosts, out, nil)
}

// RunsOf returns how often each of the operations ran, in the same order.
func (c *AdminClient) RunsOf(ctx context.Context, operations []string) ([]uint32, error) {
	var out []uint32
	if err := c.call(ctx, pathRuns, operations, &out); err != nil {
		return nil, err
	}
	if len(out) != len(operations) {
		return nil, fmt.Errorf("fake: got %d counts for %d operations", len(out), len(operations))
	}
	return out, nil
}

// Ledger returns the counts of the ledger and the violations that it found.
func (c *AdminClient) Ledger(ctx context.Context) (LedgerCounts, []string, error) {
	var out wireLedger
	err := c.call(ctx, pathLedger, nil, &out)
	return LedgerCounts(out.Counts), out.Violations, err
}

// Act carries out an action on a target. The verb is kill, start, freeze, thaw,
// drain or heal.
func (c *AdminClient) Act(ctx context.Context, target place.Target, verb string) error {
	return c.call(ctx, pathAct, wireAct{Target: string(target), Verb: verb}, nil)
}

func (c *AdminClient) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	payload, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fake: %s: status %d: %s", path, response.StatusCode, payload)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(payload, out)
}
