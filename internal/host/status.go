package host

import (
	"encoding/json"
	"net/http"
	"time"
)

// The JSON document of the view page. Its fields are in the order in which operators
// need them.
type (
	wireView struct {
		Host     string        `json:"host"`
		Life     uint64        `json:"life"`
		Zone     string        `json:"zone"`
		Stopping bool          `json:"stopping"`
		Config   wireConfig    `json:"config"`
		Hosts    []string      `json:"hosts"`
		Services []wireService `json:"services"`
		Pools    []wirePool    `json:"pools"`
	}
	wireConfig struct {
		Version  uint64 `json:"version"`
		Revision uint64 `json:"revision"`
	}
	wireService struct {
		Name    string     `json:"name"`
		Targets int        `json:"targets"`
		Lead    string     `json:"lead,omitempty"`
		Term    uint64     `json:"term,omitempty"`
		Age     int64      `json:"age,omitempty"` // milliseconds
		Spans   []wireSpan `json:"spans,omitempty"`
	}
	wireSpan struct {
		First  uint32 `json:"first"`
		Last   uint32 `json:"last"`
		Target string `json:"target,omitempty"`
	}
	wirePool struct {
		Service  string  `json:"service"`
		Zone     string  `json:"zone,omitempty"`
		Target   string  `json:"target,omitempty"`
		Waiting  int     `json:"waiting"`
		Running  int     `json:"running"`
		Pressure float64 `json:"pressure"`
		// Limits are the rate limits of the pool's targets.
		Limits []wireLimit `json:"limits,omitempty"`
	}
	wireLimit struct {
		Target    string  `json:"target"`
		Rate      float64 `json:"rate"`      // requests per second, of all hosts together
		Source    string  `json:"source"`    // host that got the first response with it
		Age       int64   `json:"age"`       // milliseconds since then
		Confirmed int64   `json:"confirmed"` // milliseconds since the last one
		Refused   int     `json:"refused"`
	}
)

// serveView writes the state on which this host bases its decisions.
func (h *Host) serveView(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.viewPage(time.Now())); err != nil {
		h.log.Debug("View page not sent.", "error", err)
	}
}

func (h *Host) viewPage(now time.Time) wireView {
	v := h.views.view()
	s := wireView{
		Host: string(h.site.Host), Life: uint64(h.incarnation), Zone: string(h.site.Zone), Stopping: h.stopping.Load(),
		Config: wireConfig{Revision: v.revision},
	}
	for _, m := range v.members.Hosts {
		s.Hosts = append(s.Hosts, string(m.Name))
	}
	if v.routes != nil {
		s.Config.Version = uint64(v.routes.Config().Version)
		for _, service := range v.routes.Config().Services {
			row := wireService{Name: string(service.Name), Targets: len(v.services[service.Name])}
			if t := v.tables[service.Name]; t != nil {
				row.Lead, row.Term = string(t.Leader), uint64(t.Version.Term)
				row.Age = now.Sub(v.tableAt[service.Name]).Milliseconds()
				for _, span := range t.Spans {
					row.Spans = append(row.Spans, wireSpan{
						First: uint32(span.Range.First), Last: uint32(span.Range.Last), Target: string(span.Target),
					})
				}
			}
			s.Services = append(s.Services, row)
		}
	}
	for _, p := range h.dispatcher.pools(now) {
		row := wirePool{
			Service: string(p.ID.Service), Zone: string(p.ID.Zone), Target: string(p.ID.Target),
			Waiting: p.Waiting, Running: p.Running, Pressure: p.Pressure,
		}
		for _, l := range p.Limits {
			row.Limits = append(row.Limits, wireLimit{
				Target: string(l.Target), Rate: float64(l.Rate), Source: string(l.Source),
				Age: l.Age.Milliseconds(), Confirmed: l.Confirmed.Milliseconds(), Refused: l.Refused,
			})
		}
		s.Pools = append(s.Pools, row)
	}
	return s
}
