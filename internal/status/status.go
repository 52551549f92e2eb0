// Package status holds what a daemon tells operators of itself, as it crosses
// the wire in JSON, and the page that serves it.
package status

import (
	"encoding/json"
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/key"
)

// Path is the page of a daemon's admin address.
const Path = "/status"

// Parameters of the page: with both, the report explains one key.
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
	// Settings is what the daemon has in force.
	Settings Settings `json:"settings"`
	// LastStoreResponse is the time of the last answer of the platform's service; zero
	// where the daemon does not ask it.
	LastStoreResponse time.Time `json:"store"`
	// Cells are those that this host may lead (lead only).
	Cells []Cell `json:"cells,omitempty"`
	// Targets and Callers are what passed here (entry only).
	Targets []Target `json:"targets,omitempty"`
	Callers []Caller `json:"callers,omitempty"`
	// Key is set where the question named one.
	Key *Key `json:"key,omitempty"`
}

// Settings is the revision in force and since when.
type Settings struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"` // the store's
	Since    time.Time `json:"since"`
}

// Cell is a cell as one host sees it.
type Cell struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Term    uint64 `json:"term"`
	Lead    string `json:"lead"`
	// Leading tells whether this host leads the cell; rows of other hosts are
	// what they heard last.
	Leading    bool           `json:"leading"`
	Shards     int            `json:"shards"` // in the custody of the zone
	Owned      int            `json:"owned"`  // with an owner that runs
	Moving     int            `json:"moving"`
	SingleKeys int            `json:"solos"` // hot keys with a shard of their own
	Blocked    []BlockedShard `json:"doubts,omitempty"`
	Members    []Member       `json:"members,omitempty"`
	Moves      []Move         `json:"moves,omitempty"` // newest last, bounded
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
	// Share is the target's part of the cell's load, in percent.
	Share float64 `json:"share"`
}

// Move is one change of owner.
type Move struct {
	At    time.Time `json:"at"`
	Shard uint32    `json:"shard"`
	// Range is set in place of Shard for services whose keys are numbers.
	Range    string `json:"range,omitempty"`
	Epoch    uint64 `json:"epoch"`
	From     string `json:"from"`
	To       string `json:"to"`
	Evidence string `json:"evidence"`
}

// Target is the work that one entry host sent to a target.
type Target struct {
	Service   string  `json:"service"`
	Target    string  `json:"target"`
	PerSecond float64 `json:"rate"`
	Waiting   int     `json:"waiting"`
	Running   int     `json:"running"`
	P99       float64 `json:"p99"` // milliseconds
}

// Caller is the work of one caller at one entry host.
type Caller struct {
	Caller    string  `json:"caller"`
	Class     string  `json:"class"`
	PerSecond float64 `json:"rate"`
	Refused   float64 `json:"refused"` // a second
	P99       float64 `json:"p99"`     // milliseconds
}

// Key tells where a key is, as one daemon knows it.
type Key struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Zone    string `json:"zone"` // whose custody the shard is in
	Shard   uint32 `json:"shard"`
	// Range is set in place of Shard for services whose keys are numbers.
	Range     string `json:"range,omitempty"`
	SingleKey bool   `json:"solo"`
	Epoch     uint64 `json:"epoch"`
	Term      uint64 `json:"term"`
	// Owner is empty while no target may serve the key; Why then says why.
	Owner   string `json:"owner"`
	Standby string `json:"standby,omitempty"`
	Reason  string `json:"why,omitempty"`
	Moves   []Move `json:"moves,omitempty"` // of this shard, newest last
}

// Query is what a report should also tell.
type Query struct {
	Service key.Service
	Key     string
}

// HasKey reports whether the query names a key.
func (q Query) HasKey() bool { return q.Service != "" && q.Key != "" }

// Source makes reports; it is safe for concurrent use.
type Source interface {
	Report(now time.Time, q Query) Report
}

// SourceFunc is a function as a Source.
type SourceFunc func(now time.Time, q Query) Report

// Report implements Source.
func (f SourceFunc) Report(now time.Time, q Query) Report { return f(now, q) }

// Handler serves the page of a source.
func Handler(source Source) http.Handler { return &page{source: source} }

type page struct{ source Source }

// ServeHTTP implements http.Handler.
func (p *page) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := Query{Service: key.Service(values.Get(paramService)), Key: values.Get(paramKey)}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.source.Report(time.Now(), q))
}
