// Package status defines the reports on the state of a daemon, as JSON for operators, and
// the HTTP handler that serves them.
package status

import (
	"encoding/json"
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/key"
)

// Path is the URL path of the reports at a daemon's admin address.
const Path = "/status"

// Query parameters. With both, the report includes the location of one key.
const (
	paramService = "service"
	paramKey     = "key"
)

// Report is the state of one daemon.
type Report struct {
	Host    string    `json:"host"`
	Zone    string    `json:"zone"`
	Role    string    `json:"role"` // entry, lead or host
	Version string    `json:"version"`
	Started time.Time `json:"started"`
	Ready   bool      `json:"ready"`
	// Settings is the revision in force.
	Settings Settings `json:"settings"`
	// LastStoreResponse is the time of the last call to which the platform's service
	// responded. It is zero if there was none or the daemon does not use the service.
	LastStoreResponse time.Time `json:"store"`
	// Cells are the cells that this host may lead (roles lead and host).
	Cells []Cell `json:"cells,omitempty"`
	// Targets is the load that this host sends to each target (roles entry and host),
	// Callers the load that it gets from each caller (role entry).
	Targets []Target `json:"targets,omitempty"`
	Callers []Caller `json:"callers,omitempty"`
	// Limits are the rate limits of the targets that this host schedules (role host).
	Limits []Limit `json:"limits,omitempty"`
	// Cold are the cold targets that this host schedules (role host).
	Cold []ColdTarget `json:"cold,omitempty"`
	// Retries are the retry budgets of this host, one per service (role host).
	Retries []Retries `json:"retries,omitempty"`
	// Quarantined are the requests that this host refuses, since targets have ended under
	// them (role host).
	Quarantined []Quarantined `json:"quarantined,omitempty"`
	// Evacuations are the evacuated zones as this host knows them (role host).
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Key is set if the query names a key that the daemon knows.
	Key *Key `json:"key,omitempty"`
}

// Settings is the revision in force and since when.
type Settings struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"` // revision in the store
	Since    time.Time `json:"since"`
}

// Cell is the state of a cell as known to one host.
type Cell struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Term    uint64 `json:"term"`
	Leader  string `json:"lead"`
	// Leading is set if this host leads the cell; in a lead process, if it may renew
	// the cell's grants now. Other hosts report the last state that they received.
	Leading    bool           `json:"leading"`
	Shards     int            `json:"shards"` // in the custody of the zone
	Owned      int            `json:"owned"`  // with an owner in the routing table
	Moving     int            `json:"moving"`
	SingleKeys int            `json:"solos"` // single-key shards
	Blocked    []BlockedShard `json:"doubts,omitempty"`
	Members    []Member       `json:"members,omitempty"`
	Moves      []Move         `json:"moves,omitempty"` // newest last, limited
}

// BlockedShard is a shard that can get no owner yet.
type BlockedShard struct {
	Shard  uint32    `json:"shard"`
	Target string    `json:"target"`
	Since  time.Time `json:"since"`
	Reason string    `json:"why"`
}

// Member is a target of a cell.
type Member struct {
	Target    string `json:"target"`
	Shards    int    `json:"shards"`
	Leaving   bool   `json:"leaving,omitempty"`
	Responded bool   `json:"answered"`
	// Share is the target's share of the cell's load, in percent.
	Share float64 `json:"share"`
}

// Move is a change of a shard's owner.
type Move struct {
	At    time.Time `json:"at"`
	Shard uint32    `json:"shard"`
	// Range replaces Shard for services whose keys are numbers.
	Range    string `json:"range,omitempty"`
	Epoch    uint64 `json:"epoch"`
	From     string `json:"from"`
	To       string `json:"to"`
	Evidence string `json:"evidence"`
}

// Target is the load that an entry host sends to a target.
type Target struct {
	Service   string  `json:"service"`
	Target    string  `json:"target"`
	PerSecond float64 `json:"rate"`
	Waiting   int     `json:"waiting"`
	Running   int     `json:"running"`
	P99       float64 `json:"p99"` // milliseconds
}

// Limit is the rate limit of a target, in requests per second for all hosts together.
type Limit struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	Rate    float64 `json:"rate"`
	// Source is the host that received the response that first advertised the limit, at the
	// time Since. A response last advertised it at the time Confirmed.
	Source    string    `json:"source"`
	Since     time.Time `json:"since"`
	Confirmed time.Time `json:"confirmed"`
	// Refused is the number of requests that were refused because of the limit.
	Refused int `json:"refused"`
}

// Retries is the retry budget of a service at one host, or at several hosts together.
type Retries struct {
	Service string `json:"service"`
	// Left is the number of retries that may be made now, Limit what it would be if none
	// had been made.
	Left  float64 `json:"left"`
	Limit float64 `json:"limit"`
	// Hosts is the number of hosts by which the slack of the budget is divided, Sharing
	// the number of reporting hosts that may use their share now.
	Hosts   int `json:"hosts"`
	Sharing int `json:"sharing"`
	// Made and Denied count retries since the processes started.
	Made   int `json:"made"`
	Denied int `json:"denied"`
}

// Quarantined is a request that is refused, since targets have ended under it or an operator
// has forbidden it.
type Quarantined struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Forbidden   bool   `json:"forbidden,omitempty"`
	// Ends is the number of targets that have ended under it, Targets the last of them.
	Ends    int       `json:"ends"`
	Targets []string  `json:"targets,omitempty"`
	Since   time.Time `json:"since"`
	// Until is when it is tried again; zero stands for never.
	Until time.Time `json:"until,omitzero"`
}

// Evacuation is an evacuated zone.
type Evacuation struct {
	Zone string `json:"zone"`
	// Since is when the host read of it. A host that started later reports an earlier time.
	Since time.Time `json:"since"`
	// Targets is the number of targets in the zone, Ranges that of the ranges that they
	// still own.
	Targets int `json:"targets"`
	Ranges  int `json:"ranges"`
}

// Caller is the load of one caller at an entry host.
type Caller struct {
	Caller    string  `json:"caller"`
	Class     string  `json:"class"`
	PerSecond float64 `json:"rate"`
	Refused   float64 `json:"refused"` // per second
	P99       float64 `json:"p99"`     // milliseconds
}

// Key is the location of a key as known to one daemon.
type Key struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Zone    string `json:"zone"` // zone with the custody of the shard
	Shard   uint32 `json:"shard"`
	// Range replaces Shard for services whose keys are numbers.
	Range     string `json:"range,omitempty"`
	SingleKey bool   `json:"solo"`
	Epoch     uint64 `json:"epoch"`
	Term      uint64 `json:"term"`
	// Owner is empty while no target may serve the key, for the given Reason.
	Owner   string `json:"owner"`
	Standby string `json:"standby,omitempty"`
	Reason  string `json:"why,omitempty"`
	Moves   []Move `json:"moves,omitempty"` // of this shard, newest last
}

// Query selects a key that a report should also cover.
type Query struct {
	Service key.Service
	Key     string
}

// HasKey reports whether the query names a key.
func (q Query) HasKey() bool { return q.Service != "" && q.Key != "" }

// Source creates reports. It is safe for concurrent use.
type Source interface {
	Report(now time.Time, q Query) Report
}

// SourceFunc adapts a function to a Source.
type SourceFunc func(now time.Time, q Query) Report

// Report implements Source.
func (f SourceFunc) Report(now time.Time, q Query) Report { return f(now, q) }

// Handler returns the HTTP handler that serves the reports of source.
func Handler(source Source) http.Handler { return &page{source: source} }

type page struct{ source Source }

// ServeHTTP implements http.Handler.
func (p *page) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := Query{Service: key.Service(values.Get(paramService)), Key: values.Get(paramKey)}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.source.Report(time.Now(), q))
}
