package status

import (
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

// maxReportBytes bounds one report, maxAsked the daemons asked at once.
const (
	maxReportBytes = 4 << 20
	maxConcurrent  = 32
)

// Response is one daemon's report, or why there is none.
type Response struct {
	Addr   netip.AddrPort
	Report Report
	Err    error
}

// Collect asks all daemons; answers stand in the order of addrs.
func Collect(ctx context.Context, addrs []netip.AddrPort, q Query, timeout time.Duration) []Response {
	client := &http.Client{Timeout: timeout}
	answers := make([]Response, len(addrs))
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for i, addr := range addrs {
		group.Go(func() error {
			answers[i] = Response{Addr: addr}
			answers[i].Report, answers[i].Err = fetch(ctx, client, addr, q)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// fetch fetches one report.
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
		return Report{}, fmt.Errorf("status: answer %d", response.StatusCode)
	}
	var out Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&out)
	return out, err
}

// MergeCells returns one row per cell: of the host that leads it with the highest
// term, else of the host that heard of the highest term. Rows are sorted.
func MergeCells(answers []Response) []Cell {
	best := make(map[[2]string]Cell)
	for _, a := range answers {
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
