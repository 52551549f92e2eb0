package platform

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// The paths of the platform's calls; each is a POST with a JSON body.
const (
	pathGet     = "/v1/get"
	pathList    = "/v1/list"
	pathWrite   = "/v1/write"
	pathDelete  = "/v1/delete"
	pathWatch   = "/v1/watch"
	pathAcquire = "/v1/acquire"
	pathRelease = "/v1/release"
	pathFleet   = "/v1/fleet"
)

// The headers that identify the caller.
const (
	headerHost = "Citrontray-Host"
	headerZone = "Citrontray-Zone"
)

// maxBodyBytes bounds the body of a request and of a response. A listing holds
// many values.
const maxBodyBytes = 32 << 20

type wireEntry struct {
	Path     string `json:"path"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type wirePath struct {
	Path string `json:"path"`
}

type wireList struct {
	Entries  []wireEntry `json:"entries"`
	Revision uint64      `json:"revision"`
}

type wireWrite struct {
	Path   string `json:"path"`
	Value  []byte `json:"value,omitempty"`
	Expect uint64 `json:"expect"`
}

type wireRevision struct {
	Revision uint64 `json:"revision"`
}

type wireWatch struct {
	Prefix string `json:"prefix"`
	From   uint64 `json:"from"`
}

type wireLease struct {
	Name   string `json:"name,omitempty"`
	Holder string `json:"holder,omitempty"`
	Held   bool   `json:"held,omitempty"`
	TTL    int64  `json:"ttl,omitempty"` // nanoseconds
}

type wireFleet struct {
	Hosts   []wireHost   `json:"hosts"`
	Targets []wireTarget `json:"targets"`
}

type wireHost struct {
	Host      string         `json:"host"`
	Zone      string         `json:"zone"`
	State     uint8          `json:"state"`
	LeadAddr  netip.AddrPort `json:"lead"`
	EntryAddr netip.AddrPort `json:"entry"`
}

type wireTarget struct {
	Target  string         `json:"target"`
	Service string         `json:"service"`
	Zone    string         `json:"zone"`
	State   uint8          `json:"state"`
	Addr    netip.AddrPort `json:"addr"`
}

func toWireEntry(entry Entry, deleted bool) wireEntry {
	return wireEntry{
		Path:     string(entry.Path),
		Value:    entry.Value,
		Revision: uint64(entry.Revision),
		Deleted:  deleted,
	}
}

func (w wireEntry) entry() Entry {
	return Entry{Path: Path(w.Path), Value: w.Value, Revision: Revision(w.Revision)}
}

func toWireList(entries []Entry, revision Revision) wireList {
	out := wireList{Revision: uint64(revision), Entries: make([]wireEntry, len(entries))}
	for i, entry := range entries {
		out.Entries[i] = toWireEntry(entry, false)
	}
	return out
}

func toWireChanges(changes []Change, revision Revision) wireList {
	out := wireList{Revision: uint64(revision), Entries: make([]wireEntry, len(changes))}
	for i, change := range changes {
		out.Entries[i] = toWireEntry(change.Entry, change.Deleted)
	}
	return out
}

func toWireLease(lease Lease) wireLease {
	return wireLease{Holder: lease.Holder, Held: lease.Held, TTL: int64(lease.TTL)}
}

func (w wireLease) lease() Lease {
	return Lease{Holder: w.Holder, Held: w.Held, TTL: time.Duration(w.TTL)}
}

func toWireFleet(fleet Fleet) wireFleet {
	var out wireFleet
	for _, row := range fleet.Hosts {
		out.Hosts = append(out.Hosts, wireHost{
			Host: string(row.Host), Zone: string(row.Zone), State: uint8(row.State),
			LeadAddr: row.LeadAddr, EntryAddr: row.EntryAddr,
		})
	}
	for _, row := range fleet.Targets {
		out.Targets = append(out.Targets, wireTarget{
			Target: string(row.Target), Service: row.Service, Zone: string(row.Zone),
			State: uint8(row.State), Addr: row.Addr,
		})
	}
	return out
}

func (w wireFleet) fleet() Fleet {
	var out Fleet
	for _, row := range w.Hosts {
		out.Hosts = append(out.Hosts, place.HostRow{
			Host: place.Host(row.Host), Zone: place.Zone(row.Zone),
			State: place.Liveness(row.State), LeadAddr: row.LeadAddr, EntryAddr: row.EntryAddr,
		})
	}
	for _, row := range w.Targets {
		out.Targets = append(out.Targets, place.TargetRow{
			Target: place.Target(row.Target), Service: row.Service, Zone: place.Zone(row.Zone),
			State: place.Liveness(row.State), Addr: row.Addr,
		})
	}
	return out
}
