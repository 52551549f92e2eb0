package host

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/traffic"
	"citrontray.example/citrontray/internal/version"
)

// minMoveSteps is the number of move steps that a leader keeps at least.
const minMoveSteps = 200

// moveLog holds the latest steps of the moves by this host as leader of a service. Safe
// for concurrent use.
type moveLog struct {
	mu   sync.Mutex
	list []moveStep
}

type moveStep struct {
	owner.Note

	at time.Time
}

func (m *moveLog) add(now time.Time, n owner.Note) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, moveStep{Note: n, at: now})
	if len(m.list) > 2*minMoveSteps {
		m.list = append([]moveStep(nil), m.list[len(m.list)-minMoveSteps:]...)
	}
}

// overlapping returns the steps whose range overlaps r, oldest first.
func (m *moveLog) overlapping(r key.Range) []status.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []status.Move
	for _, s := range m.list {
		if s.Range.Overlaps(r) {
			out = append(out, status.Move{
				At: s.at, Range: s.Range.String(), Epoch: uint64(s.Fence), From: string(s.From), To: string(s.To), Evidence: s.Text,
			})
		}
	}
	return out
}

// Report implements status.Source.
func (h *Host) Report(now time.Time, q status.Query) status.Report {
	v := h.views.view()
	out := status.Report{
		Host: string(h.site.Host), Zone: string(h.site.Zone), Role: "host", Version: version.String(),
		Started: time.Unix(0, int64(h.incarnation)), Ready: v.usable() && !h.stopping.Load(), LastStoreResponse: h.store.lastResponse(now),
	}
	if v.routes == nil {
		return out
	}
	out.Settings = status.Settings{Number: uint64(v.routes.Config().Version), Revision: v.revision, Since: v.configAt}
	for _, s := range v.routes.Config().Services {
		if t := v.tables[s.Name]; t != nil && s.KeySpace == traffic.Ranged {
			out.Cells = append(out.Cells, h.cellOf(s.Name, t))
		}
	}
	for _, p := range h.dispatcher.pools(now) {
		out.Targets = append(out.Targets, status.Target{
			Service: string(p.ID.Service), Target: string(p.ID.Target), Waiting: p.Waiting, Running: p.Running,
		})
		out.Cold = append(out.Cold, coldTargets(now, &p)...)
		for _, l := range p.Limits {
			out.Limits = append(out.Limits, status.Limit{
				Service: string(p.ID.Service), Target: string(l.Target), Rate: float64(l.Rate), Source: string(l.Source),
				Since: now.Add(-l.Age), Confirmed: now.Add(-l.Confirmed), Refused: l.Refused,
			})
		}
	}
	for _, b := range h.retries.States(now) {
		row := status.Retries{
			Service: string(b.Service), Left: b.Left, Limit: b.Limit, Hosts: b.Hosts, Made: b.Made, Denied: b.Denied,
		}
		if b.Sharing {
			row.Sharing = 1
		}
		out.Retries = append(out.Retries, row)
	}
	out.Evacuations = v.evacuations()
	out.Quarantined = h.quarantine.quarantined(now)
	if q.HasKey() {
		out.Key = h.keyOf(now, v, q)
	}
	return out
}

// cellOf returns the state of a ranged service, which has a single cell for all zones.
func (h *Host) cellOf(service key.Service, t *owner.Table) status.Cell {
	out := status.Cell{
		Service: string(service), Zone: "all", Term: uint64(t.Version.Term), Leader: string(t.Leader), Leading: t.Leader == h.site.Host,
		Shards: len(t.Spans),
	}
	for _, s := range t.Spans {
		if s.Target != "" {
			out.Owned++
			continue
		}
		out.Moving++
	}
	if out.Leading {
		out.Moves = h.movesOf(service, key.FullRange())
	}
	return out
}

func (h *Host) movesOf(service key.Service, r key.Range) []status.Move {
	h.mu.Lock()
	c := h.controllers[service]
	h.mu.Unlock()
	if c == nil {
		return nil
	}
	return c.moveLog.overlapping(r)
}

// keyOf returns the owner of a key according to this host's routing table.
func (h *Host) keyOf(now time.Time, v *view, q status.Query) *status.Key {
	point, err := strconv.ParseUint(q.Key, 10, 32)
	table := v.tables[q.Service]
	if err != nil || point >= key.Points || table == nil {
		return nil
	}
	span := table.Find(key.Point(point))
	if span == nil {
		return nil
	}
	out := &status.Key{
		Service: string(q.Service), Key: q.Key, Range: span.Range.String(), Owner: string(span.Target),
		Epoch: table.Version.Sequence, Term: uint64(table.Version.Term),
		Moves: h.movesOf(q.Service, key.Range{First: key.Point(point), Last: key.Point(point)}),
	}
	if span.Target == "" {
		out.Reason = fmt.Sprintf("on the move, back in about %v by a table %v old",
			span.AvailableIn.Round(time.Millisecond), now.Sub(v.tableAt[q.Service]).Round(time.Millisecond))
	}
	return out
}

// addPages adds the page with this host's view, and operators' decisions on requests, to
// the admin server.
func (h *Host) addPages() {
	h.admin.Handle("/view", http.HandlerFunc(h.serveView))
	h.admin.HandleFunc(quarantine.DecisionPath, h.quarantine.serveDecision).Methods(http.MethodPost)
}
