package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// The status page, as operators read it.
type (
	wireStatus struct {
		Ready    bool         `json:"ready"`
		Revision uint64       `json:"revision"`
		Parked   int64        `json:"parked"`
		Tables   []wireTable  `json:"tables"`
		Targets  []wireTarget `json:"targets"`
	}
	wireTable struct {
		Service  string `json:"service"`
		Zone     string `json:"zone"`
		Term     uint64 `json:"term"`
		Sequence uint64 `json:"sequence"`
	}
	wireTarget struct {
		Service     string  `json:"service"`
		Target      string  `json:"target"`
		Waiting     int     `json:"waiting"`
		Running     int     `json:"running"`
		Limit       float64 `json:"limit"`
		Connections int     `json:"connections"`
		Failures    int     `json:"failures"`
		ServiceMS   float64 `json:"service_ms"`
	}
)

// StatusHandler serves what this entry knows of settings, tables and targets.
func (e *Entry) StatusHandler() http.Handler { return http.HandlerFunc(e.serveStatus) }

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.status())
}

func (e *Entry) status() wireStatus {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	out := wireStatus{Ready: e.Ready(), Revision: e.settingsVersion.Major, Parked: e.parked.now.Load()}
	for _, t := range e.view.Load().tables {
		out.Tables = append(out.Tables, wireTable{string(t.Service), string(t.Zone), uint64(t.Version.Term), t.Version.Sequence})
	}
	for _, l := range e.lanes {
		out.Targets = append(out.Targets, l.status())
	}
	slices.SortFunc(out.Targets, func(a, b wireTarget) int { return strings.Compare(a.Target, b.Target) })
	return out
}

func (l *lane) status() wireTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	return wireTarget{
		Service: string(l.service), Target: string(l.target),
		Waiting: l.queue.Len(), Running: l.running, Limit: l.limiter.limit,
		Connections: l.pool.Open(), Failures: l.down, ServiceMS: float64(l.serving.mean.Microseconds()) / 1000,
	}
}
