package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const (
	// reportInterval is the time between two load reports to a lead: it plans
	// about as often.
	reportInterval = 200 * time.Millisecond
	// reportPace is the time that a lead has for the reports of one host: of
	// hundreds each reports less often, and all together say as much.
	reportPace = 2 * time.Millisecond
	// reportMost bounds the time between two reports.
	reportMost = time.Second
)

// reportEvery returns the time between two reports of one of so many hosts.
func reportEvery(hosts int) time.Duration {
	return min(max(reportInterval, time.Duration(hosts)*reportPace), reportMost)
}

// reportPoints is how many points one datagram carries.
const reportPoints = 150

// reportLanes is how many targets one datagram carries.
const reportLanes = 20

// meter counts the requests of ranged services by key. Safe for concurrent
// use.
type meter struct {
	mu     sync.Mutex
	counts map[key.Service]map[key.Point]int
}

func newMeter() *meter { return &meter{counts: make(map[key.Service]map[key.Point]int)} }

func (m *meter) count(service key.Service, p key.Point) {
	m.mu.Lock()
	defer m.mu.Unlock()
	points := m.counts[service]
	if points == nil {
		points = make(map[key.Point]int)
		m.counts[service] = points
	}
	points[p]++
}

// take returns the counts since the last call.
func (m *meter) take() map[key.Service]map[key.Point]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.counts
	m.counts = make(map[key.Service]map[key.Point]int)
	return out
}

// loadReport is what a host tells a lead.
type loadReport struct {
	service key.Service
	points  map[key.Point]int
	lanes   []dispatch.TargetStats
}

type wireReport struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Points  []uint32 // point and count by turns
	Lanes   []wireLane
}

type wireLane struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Mean   int64 // microseconds
	Slow   float64
	Down   bool
	Used   bool
	// Requests is how many Mean rests on.
	Requests float64
	Leaving  bool
}

func (r *loadReport) encode() ([]byte, error) {
	w := wireReport{Service: string(r.service)}
	for p, n := range r.points {
		w.Points = append(w.Points, uint32(p), uint32(n))
	}
	for _, o := range r.lanes {
		w.Lanes = append(w.Lanes, wireLane{
			Target: string(o.Target), Mean: o.Mean.Microseconds(), Slow: o.Slowdown, Down: o.Down, Used: o.Used,
			Requests: o.Samples, Leaving: o.Leaving,
		})
	}
	return cbor.Marshal(w)
}

func decodeReport(body []byte) (loadReport, error) {
	var w wireReport
	if err := cbor.Unmarshal(body, &w); err != nil {
		return loadReport{}, err
	}
	r := loadReport{service: key.Service(w.Service), points: make(map[key.Point]int)}
	for i := 0; i+1 < len(w.Points); i += 2 {
		r.points[key.Point(w.Points[i])] += int(w.Points[i+1])
	}
	for _, l := range w.Lanes {
		r.lanes = append(r.lanes, dispatch.TargetStats{
			Target: place.Target(l.Target), Mean: time.Duration(l.Mean) * time.Microsecond, Slowdown: l.Slow, Down: l.Down, Used: l.Used,
			Samples: l.Requests, Leaving: l.Leaving,
		})
	}
	return r, nil
}

// parts cuts a report into ones that fit a datagram.
func (r *loadReport) parts() []loadReport {
	var out []loadReport
	points := make(map[key.Point]int)
	for p, n := range r.points {
		points[p] = n
		if len(points) == reportPoints {
			out = append(out, loadReport{service: r.service, points: points})
			points = make(map[key.Point]int)
		}
	}
	if len(points) > 0 {
		out = append(out, loadReport{service: r.service, points: points})
	}
	for lanes := r.lanes; len(lanes) > 0; {
		n := min(len(lanes), reportLanes)
		out = append(out, loadReport{service: r.service, lanes: lanes[:n]})
		lanes = lanes[n:]
	}
	return out
}

// loopReports sends load reports to the leads until ctx ends.
func (h *Host) loopReports(ctx context.Context) error {
	// Hosts start together: their reports must not come together.
	sleep(ctx, rand.N(reportMost))
	for ctx.Err() == nil {
		h.reportLoad(time.Now())
		sleep(ctx, reportEvery(len(h.viewer.view().members.Hosts)))
	}
	return nil
}

func (h *Host) reportLoad(now time.Time) {
	v := h.viewer.view()
	reports := make(map[key.Service]*loadReport)
	get := func(service key.Service) *loadReport {
		if reports[service] == nil {
			reports[service] = &loadReport{service: service}
		}
		return reports[service]
	}
	for service, points := range h.meter.take() {
		get(service).points = points
	}
	for _, o := range h.desk.opinions(now) {
		if o.Pool.Target != "" {
			r := get(o.Pool.Service)
			r.lanes = append(r.lanes, o)
		}
	}
	for service, r := range reports {
		table := v.tables[service]
		if table == nil {
			continue
		}
		h.sendReport(v, table.Leader, r)
	}
}

func (h *Host) sendReport(v *view, lead place.Host, r *loadReport) {
	if lead == h.site.Host {
		h.takeReport(*r)
		return
	}
	to, ok := v.members.Host(lead)
	if !ok {
		return
	}
	for _, part := range r.parts() {
		body, err := part.encode()
		if err != nil {
			h.log.Error("Load report not written.", slog.Any("error", err))
			return
		}
		h.desk.write(to.TicketAddr, datagramReport, body)
	}
}

// heardReport takes a load report of another host.
func (h *Host) heardReport(body []byte) {
	r, err := decodeReport(body)
	if err != nil {
		h.log.Warn("Load report not readable, dropped.", slog.Any("error", err))
		return
	}
	h.takeReport(r)
}

func (h *Host) takeReport(r loadReport) {
	h.mu.Lock()
	runner := h.runners[r.service]
	h.mu.Unlock()
	if runner != nil {
		runner.report(r)
	}
}
