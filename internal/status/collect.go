package status

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxReportBytes bounds one report, maxConcurrent the requests at a time.
const (
	maxReportBytes = 4 << 20
	maxConcurrent  = 32
)

// Response is one daemon's report, or the error in place of it.
type Response struct {
	Addr   netip.AddrPort
	Report Report
	Err    error
}

// Collect fetches the reports of all daemons, in the order of addrs.
func Collect(ctx context.Context, addrs []netip.AddrPort, q Query, timeout time.Duration) []Response {
	client := &http.Client{Timeout: timeout}
	responses := make([]Response, len(addrs))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, addr := range addrs {
		group.Go(func() error {
			responses[i] = Response{Addr: addr}
			responses[i].Report, responses[i].Err = fetch(ctx, client, addr, q)
			return nil
		})
	}
	_ = group.Wait()
	return responses
}

// fetch fetches the report of one daemon.
func fetch(ctx context.Context, client *http.Client, addr netip.AddrPort, q Query) (Report, error) {
	at := url.URL{Scheme: "http", Host: addr.String(), Path: Path}
	if q.HasKey() {
		at.RawQuery = url.Values{paramService: {string(q.Service)}, paramKey: {q.Key}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, at.String(), nil)
	if err != nil {
		return Report{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return Report{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, fmt.Errorf("status: response has status %d", response.StatusCode)
	}
	var out Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&out)
	return out, err
}

// MergeCells returns one row per cell, sorted. Of the rows of several hosts it takes the
// one with the highest term; if terms are equal, the row of the host that leads the cell.
func MergeCells(responses []Response) []Cell {
	best := make(map[[2]string]Cell)
	for _, a := range responses {
		for _, c := range a.Report.Cells {
			id := [2]string{c.Service, c.Zone}
			old, ok := best[id]
			if !ok || c.Term > old.Term || c.Term == old.Term && c.Leading && !old.Leading {
				best[id] = c
			}
		}
	}
	out := make([]Cell, 0, len(best))
	for _, c := range best {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return slices.Compare([]string{a.Service, a.Zone}, []string{b.Service, b.Zone})
	})
	return out
}

// MergeLimits returns one row per target with a rate limit, sorted: the row that a
// response confirmed last, with the refused requests of all hosts.
func MergeLimits(responses []Response) []Limit {
	best := make(map[[2]string]Limit)
	for _, a := range responses {
		for _, l := range a.Report.Limits {
			id := [2]string{l.Service, l.Target}
			if old, ok := best[id]; ok {
				if old.Confirmed.After(l.Confirmed) {
					l, old = old, l
				}
				l.Refused += old.Refused
			}
			best[id] = l
		}
	}
	out := make([]Limit, 0, len(best))
	for _, l := range best {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Limit) int {
		return slices.Compare([]string{a.Service, a.Target}, []string{b.Service, b.Target})
	})
	return out
}

// MergeRetries returns one row per service, sorted: the retry budgets of all hosts
// together, with the smallest number of hosts that one of them divides the slack by.
func MergeRetries(responses []Response) []Retries {
	sums := make(map[string]Retries)
	for _, a := range responses {
		for _, r := range a.Report.Retries {
			sum, ok := sums[r.Service]
			if ok {
				r.Hosts = min(r.Hosts, sum.Hosts)
			}
			r.Left += sum.Left
			r.Limit += sum.Limit
			r.Sharing += sum.Sharing
			r.Made += sum.Made
			r.Denied += sum.Denied
			sums[r.Service] = r
		}
	}
	out := make([]Retries, 0, len(sums))
	for _, r := range sums {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Retries) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// MergeQuarantined returns one row per request that any host refuses, sorted: the one with
// the most ends.
func MergeQuarantined(responses []Response) []Quarantined {
	worst := make(map[string]Quarantined)
	for _, a := range responses {
		for _, r := range a.Report.Quarantined {
			if old, ok := worst[r.Fingerprint]; !ok || r.Ends > old.Ends {
				worst[r.Fingerprint] = r
			}
		}
	}
	out := make([]Quarantined, 0, len(worst))
	for _, r := range worst {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Quarantined) int {
		return slices.Compare([]string{a.Service, a.Fingerprint}, []string{b.Service, b.Fingerprint})
	})
	return out
}

// MergeEvacuations returns one row per evacuated zone that any host knows, sorted: the
// earliest time, and the most targets and ranges.
func MergeEvacuations(responses []Response) []Evacuation {
	zones := make(map[string]Evacuation)
	for _, a := range responses {
		for _, e := range a.Report.Evacuations {
			if old, ok := zones[e.Zone]; ok {
				e.Targets, e.Ranges = max(e.Targets, old.Targets), max(e.Ranges, old.Ranges)
				if old.Since.Before(e.Since) {
					e.Since = old.Since
				}
			}
			zones[e.Zone] = e
		}
	}
	out := make([]Evacuation, 0, len(zones))
	for _, e := range zones {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}
