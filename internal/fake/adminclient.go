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

// adminTimeout bounds an admin call.
const adminTimeout = 10 * time.Second

// AdminClient reaches the admin pages of a stand-in in another process.
type AdminClient struct {
	addr   netip.AddrPort
	client *http.Client
}

// NewAdminClient returns a remote for the admin pages at addr.
func NewAdminClient(addr netip.AddrPort) *AdminClient {
	return &AdminClient{addr: addr, client: &http.Client{Timeout: adminTimeout}}
}

// SetTargets enters targets in the platform's list.
func (r *AdminClient) SetTargets(ctx context.Context, rows []place.TargetRow) error {
	out := make([]wireRow, len(rows))
	for i, row := range rows {
		out[i] = wireRow{
			Name: string(row.Target), Service: row.Service, Zone: string(row.Zone),
			State: uint8(row.State), Addr: row.Addr,
		}
	}
	return r.call(ctx, pathTargets, out, nil)
}

// SetHosts enters entry hosts in the platform's list.
func (r *AdminClient) SetHosts(ctx context.Context, rows []place.HostRow) error {
	out := make([]wireRow, len(rows))
	for i, row := range rows {
		out[i] = wireRow{
			Name: string(row.Host), Zone: string(row.Zone),
			State: uint8(row.State), Lead: row.LeadAddr, Entry: row.EntryAddr,
		}
	}
	return r.call(ctx, pathHosts, out, nil)
}

// RunsOf returns how often each of the operations ran, in their order.
func (r *AdminClient) RunsOf(ctx context.Context, operations []string) ([]uint32, error) {
	var out []uint32
	if err := r.call(ctx, pathRuns, operations, &out); err != nil {
		return nil, err
	}
	if len(out) != len(operations) {
		return nil, fmt.Errorf("standin: %d counts for %d operations", len(out), len(operations))
	}
	return out, nil
}

// Ledger returns the counts of a farm and what broke.
func (r *AdminClient) Ledger(ctx context.Context) (LedgerCounts, []string, error) {
	var out wireLedger
	err := r.call(ctx, pathLedger, nil, &out)
	return LedgerCounts(out.Counts), out.Violations, err
}

// Act has a target do something: kill, start, freeze, thaw, drain or heal.
func (r *AdminClient) Act(ctx context.Context, target place.Target, verb string) error {
	return r.call(ctx, pathAct, wireAct{Target: string(target), Verb: verb}, nil)
}

func (r *AdminClient) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("standin: %s answered %d: %s", path, response.StatusCode, answer)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
