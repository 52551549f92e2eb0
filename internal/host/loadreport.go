package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

const (
	// minReportInterval is the shortest time between two load reports to a leader,
	// about its planning interval.
	minReportInterval = 200 * time.Millisecond
	// reportIntervalPerHost is the report interval per host of the deployment, within
	// the limits of minReportInterval and maxReportInterval. With hundreds of hosts
	// each reports less often; together they carry as much information.
	reportIntervalPerHost = 2 * time.Millisecond
	// maxReportInterval is the longest time between two reports.
	maxReportInterval = time.Second
)

// reportIntervalFor returns the report interval for a number of hosts.
func reportIntervalFor(hosts int) time.Duration {
	return min(max(minReportInterval, time.Duration(hosts)*reportIntervalPerHost), maxReportInterval)
}

// maxReportPoints is the number of points that fit a datagram.
const maxReportPoints = 150

// maxReportTargets is the number of targets that fit a datagram.
const maxReportTargets = 20

// keyCounter counts the requests of ranged services by key. Safe for concurrent use.
type keyCounter struct {
	mu     sync.Mutex
	counts map[key.Service]map[key.Point]int
}

func newKeyCounter() *keyCounter { return &keyCounter{counts: make(map[key.Service]map[key.Point]int)} }

func (c *keyCounter) count(service key.Service, p key.Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	points := c.counts[service]
	if points == nil {
		points = make(map[key.Point]int)
		c.counts[service] = points
	}
	points[p]++
}

// takeAll returns the counts since the last call and resets them.
func (c *keyCounter) takeAll() map[key.Service]map[key.Point]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = make(map[key.Service]map[key.Point]int)
	return out
}

// loadReport is a host's report to the leader of a service: its requests by key since
// the last report, and its statistics of targets.
type loadReport struct {
	service key.Service
	points  map[key.Point]int
	targets []dispatch.TargetStats
}

type wireReport struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Points  []uint32 // points and their counts, alternating
	Targets []wireTargetStats
}

type wireTargetStats struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	Mean     int64 // microseconds
	Slowdown float64
	Down     bool
	Used     bool
	// Samples is the number of requests that Mean is based on.
	Samples float64
	Leaving bool
}

func (r *loadReport) encode() ([]byte, error) {
	w := wireReport{Service: string(r.service)}
	for p, n := range r.points {
		w.Points = append(w.Points, uint32(p), uint32(n))
	}
	for _, s := range r.targets {
		w.Targets = append(w.Targets, wireTargetStats{
			Target: string(s.Target), Mean: s.Mean.Microseconds(), Slowdown: s.Slowdown, Down: s.Down, Used: s.Used,
			Samples: s.Samples, Leaving: s.Leaving,
		})
	}
	return cbor.Marshal(w)
}

func decodeReport(body []byte) (loadReport, error) {
	var w wireReport
	if err := compat.Unmarshal(body, &w); err != nil {
		return loadReport{}, err
	}
	r := loadReport{service: key.Service(w.Service), points: make(map[key.Point]int)}
	for i := 0; i+1 < len(w.Points); i += 2 {
		r.points[key.Point(w.Points[i])] += int(w.Points[i+1])
	}
	for _, s := range w.Targets {
		r.targets = append(r.targets, dispatch.TargetStats{
			Target: place.Target(s.Target), Mean: time.Duration(s.Mean) * time.Microsecond, Slowdown: s.Slowdown, Down: s.Down, Used: s.Used,
			Samples: s.Samples, Leaving: s.Leaving,
		})
	}
	return r, nil
}

// split splits a report into parts that fit a datagram each.
func (r *loadReport) split() []loadReport {
	var out []loadReport
	points := make(map[key.Point]int)
	for p, n := range r.points {
		points[p] = n
		if len(points) == maxReportPoints {
			out = append(out, loadReport{service: r.service, points: points})
			points = make(map[key.Point]int)
		}
	}
	if len(points) > 0 {
		out = append(out, loadReport{service: r.service, points: points})
	}
	for rest := r.targets; len(rest) > 0; {
		n := min(len(rest), maxReportTargets)
		out = append(out, loadReport{service: r.service, targets: rest[:n]})
		rest = rest[n:]
	}
	return out
}

// loopReports sends load reports to the leaders until ctx ends.
func (h *Host) loopReports(ctx context.Context) error {
	// Spread out the reports of hosts that start together.
	sleep(ctx, rand.N(maxReportInterval))
	for ctx.Err() == nil {
		h.reportLoad(time.Now())
		sleep(ctx, reportIntervalFor(len(h.views.view().members.Hosts)))
	}
	return nil
}

func (h *Host) reportLoad(now time.Time) {
	v := h.views.view()
	reports := make(map[key.Service]*loadReport)
	get := func(service key.Service) *loadReport {
		if reports[service] == nil {
			reports[service] = &loadReport{service: service}
		}
		return reports[service]
	}
	for service, points := range h.keyCounter.takeAll() {
		get(service).points = points
	}
	for _, s := range h.dispatcher.targetStats(now) {
		if s.Pool.Target != "" {
			r := get(s.Pool.Service)
			r.targets = append(r.targets, s)
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

func (h *Host) sendReport(v *view, leader place.Host, r *loadReport) {
	if leader == h.site.Host {
		h.deliverReport(*r)
		return
	}
	to, ok := v.members.Host(leader)
	if !ok {
		return
	}
	for _, part := range r.split() {
		body, err := part.encode()
		if err != nil {
			h.log.Error("Load report not encoded.", slog.Any("error", err))
			return
		}
		h.dispatcher.write(to.TicketAddr, datagramReport, body)
	}
}

// handleReport handles a load report of another host.
func (h *Host) handleReport(body []byte) error {
	r, err := decodeReport(body)
	if err != nil {
		return err
	}
	h.deliverReport(r)
	return nil
}

func (h *Host) deliverReport(r loadReport) {
	h.mu.Lock()
	c := h.controllers[r.service]
	h.mu.Unlock()
	if c != nil {
		c.receiveReport(r)
	}
}
