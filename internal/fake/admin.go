package fake

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"citrontray.example/citrontray/internal/place"
)

// The admin paths of the fakes.
const (
	pathTargets = "/lab/targets"
	pathHosts   = "/lab/hosts"
	pathRuns    = "/lab/runs"
	pathLedger  = "/lab/ledger"
	pathAct     = "/lab/act"
	pathFault   = "/lab/fault"
)

// maxAdminBytes bounds the body of an admin request.
const maxAdminBytes = 256 << 20

// wireRow is the fleet list's row of a host or a target in JSON.
type wireRow struct {
	Name    string         `json:"name"`
	Service string         `json:"service,omitempty"`
	Zone    string         `json:"zone"`
	State   uint8          `json:"state"`
	Addr    netip.AddrPort `json:"addr,omitzero"`
	Lead    netip.AddrPort `json:"lead,omitzero"`
	Entry   netip.AddrPort `json:"entry,omitzero"`
}

// wireFault is PlatformFaults in JSON; durations are in milliseconds.
type wireFault struct {
	Down             bool     `json:"down"`
	SlowMin          int64    `json:"slow_min"`
	SlowMax          int64    `json:"slow_max"`
	LoseResponses    float64  `json:"lose_answers"`
	StaleReads       bool     `json:"old_values"`
	PartitionedHosts []string `json:"cut_hosts"`
	PartitionedZones []string `json:"cut_zones"`
}

// wireAct requests the action of a verb on one target.
type wireAct struct {
	Target string `json:"target"`
	Verb   string `json:"verb"`
}

// wireLedger is the content of a ledger in JSON.
type wireLedger struct {
	Counts     wireCounts `json:"counts"`
	Violations []string   `json:"findings"`
}

// wireCounts is LedgerCounts in JSON.
type wireCounts struct {
	DuplicateOwners  uint64 `json:"doubled_owner"`
	DuplicateRuns    uint64 `json:"doubled_run"`
	Moves            uint64 `json:"moves"`
	Runs             uint64 `json:"runs"`
	Sheds            uint64 `json:"sheds"`
	Misrouted        uint64 `json:"misrouted"`
	DeadlineExceeded uint64 `json:"late"`
	RefusedConns     uint64 `json:"refused"`
}

// NewPlatformAdmin serves the admin interface of a fake platform.
func NewPlatformAdmin(p *Platform) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathTargets, func(w http.ResponseWriter, r *http.Request) {
		var rows []wireRow
		if !readAdmin(w, r, &rows) {
			return
		}
		for _, row := range rows {
			p.SetTarget(time.Now(), place.TargetRow{
				Target: place.Target(row.Name), Service: row.Service, Zone: place.Zone(row.Zone),
				State: place.Liveness(row.State), Addr: row.Addr,
			})
		}
	}).Methods(http.MethodPost)
	r.HandleFunc(pathHosts, func(w http.ResponseWriter, r *http.Request) {
		var rows []wireRow
		if !readAdmin(w, r, &rows) {
			return
		}
		for _, row := range rows {
			p.SetHost(time.Now(), place.HostRow{
				Host: place.Host(row.Name), Zone: place.Zone(row.Zone),
				State: place.Liveness(row.State), LeadAddr: row.Lead, EntryAddr: row.Entry,
			})
		}
	}).Methods(http.MethodPost)
	r.HandleFunc(pathFault, func(w http.ResponseWriter, r *http.Request) {
		var f wireFault
		if readAdmin(w, r, &f) {
			p.SetFaults(f.faults())
		}
	}).Methods(http.MethodPost)
	return r
}

func (f wireFault) faults() PlatformFaults {
	out := PlatformFaults{
		Down:          f.Down,
		SlowMin:       time.Duration(f.SlowMin) * time.Millisecond,
		SlowMax:       time.Duration(f.SlowMax) * time.Millisecond,
		LoseResponses: f.LoseResponses,
		StaleReads:    f.StaleReads,
	}
	for _, host := range f.PartitionedHosts {
		out.PartitionedHosts = append(out.PartitionedHosts, place.Host(host))
	}
	for _, zone := range f.PartitionedZones {
		out.PartitionedZones = append(out.PartitionedZones, place.Zone(zone))
	}
	return out
}

// NewTargetAdmin serves the admin interface of a set of targets.
func NewTargetAdmin(s *TargetSet) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathRuns, func(w http.ResponseWriter, r *http.Request) {
		var operations []string
		if readAdmin(w, r, &operations) {
			writeAdmin(w, s.Ledger.RunsOf(operations))
		}
	}).Methods(http.MethodPost)
	r.HandleFunc(pathLedger, func(w http.ResponseWriter, _ *http.Request) {
		c := s.Ledger.Counts()
		writeAdmin(w, wireLedger{Violations: s.Ledger.Violations(), Counts: wireCounts(c)})
	})
	r.HandleFunc(pathAct, func(w http.ResponseWriter, r *http.Request) {
		var act wireAct
		if readAdmin(w, r, &act) {
			w.WriteHeader(s.runVerb(act))
		}
	}).Methods(http.MethodPost)
	return r
}

// runVerb carries out the action of a verb and returns the HTTP status of the
// response.
func (s *TargetSet) runVerb(act wireAct) int {
	t, ok := s.Target(place.Target(act.Target))
	if !ok {
		return http.StatusNotFound
	}
	switch act.Verb {
	case "kill":
		t.Kill()
	case "start":
		if t.Start() != nil {
			return http.StatusConflict
		}
	case "freeze":
		t.Freeze()
	case "thaw":
		t.Thaw()
	case "drain":
		t.SetFaults(TargetFaults{Draining: true})
	case "heal":
		t.SetFaults(TargetFaults{})
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func readAdmin(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeAdmin(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}
