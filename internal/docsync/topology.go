package docsync

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

const (
	// watchersPerZone is how many hosts of a zone watch the store.
	watchersPerZone = 2
	// maxRanked bounds how many of a zone's hosts are tried in the order of
	// their rank: a zone that is partitioned must not make others try all of
	// its hosts.
	maxRanked = 3 * watchersPerZone
	// maxSeeds bounds how many of the seeds are followed at the same time.
	maxSeeds = 4
)

// Watchers returns the hosts that watch the store for a zone: the first ones by
// rendezvous hashing. Hosts with a large CPU share are preferred, as many hosts
// follow a watcher. All processes with the same list of hosts choose the same
// watchers.
func Watchers(zone place.Zone, hosts []place.HostRow) []place.HostRow {
	ranked := rankHosts(zone, hosts)
	return ranked[:min(len(ranked), watchersPerZone)]
}

func rankHosts(zone place.Zone, hosts []place.HostRow) []place.HostRow {
	type ranked struct {
		place.HostRow

		preferred bool
		weight    uint64
	}
	var maxShare float64
	candidates := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		if h.Zone == zone {
			maxShare = max(maxShare, h.CPUShare)
			candidates = append(candidates, ranked{HostRow: h, weight: hostWeight(zone, h.Host)})
		}
	}
	for i := range candidates {
		candidates[i].preferred = place.Strong(candidates[i].CPUShare, maxShare)
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Host, b.Host))
	})
	out := make([]place.HostRow, len(candidates))
	for i := range candidates {
		out[i] = candidates[i].HostRow
	}
	return out
}

func hostWeight(zone place.Zone, host place.Host) uint64 {
	return xxhash.Sum64String(string(zone) + "\x00" + string(host))
}

// View is the input of ComputeTopology: the cluster as one process sees it.
type View struct {
	Self place.Host
	Zone place.Zone
	Role peer.Role
	// Addr is the process's own peer address, where it is known. CPUShare is
	// its host's CPU share.
	Addr     netip.AddrPort
	CPUShare float64
	// LocalLead is the address of the lead process on an entry process's own
	// host.
	LocalLead netip.AddrPort
	Seeds     []netip.AddrPort
	// Hosts is the newest known list of entry hosts; it is empty before the
	// first one.
	Hosts []place.HostRow
	// Suspected reports whether an address hasn't responded for suspectAfter,
	// Failing whether its last call failed.
	Suspected func(netip.AddrPort) bool
	Failing   func(netip.AddrPort) bool
}

// Topology lists the processes that a process follows and pushes to.
type Topology struct {
	// Watch reports whether this process watches the store.
	Watch bool
	// Follow lists the processes to poll for documents. Standby lists those of
	// them that are polled less often, as another process of the same zone has
	// the same documents.
	Follow  []netip.AddrPort
	Standby []netip.AddrPort
	// Push lists the processes to push this process's own documents to.
	Push []netip.AddrPort
}

// ComputeTopology decides which processes a process follows and pushes to, and
// whether it watches the store. Ownership doesn't depend on it: where hosts
// disagree for a while, some documents are sent twice.
func ComputeTopology(v View) Topology {
	if v.Role == peer.RoleEntry {
		return entryTopology(v)
	}
	return leadTopology(v)
}

func entryTopology(v View) Topology {
	var follow addrSet
	if v.LocalLead.IsValid() {
		follow.add(v.LocalLead)
	}
	if follow.allSuspected(v) {
		follow.add(v.zoneWatchers(v.Zone)...)
	}
	if follow.allSuspected(v) {
		follow.add(v.seedSubset()...)
	}
	return Topology{Follow: follow.list}
}

func leadTopology(v View) Topology {
	var t Topology
	for _, host := range v.selectWatchers(v.Zone, v.Suspected) {
		t.Watch = t.Watch || host.Host == v.Self
	}
	var push, follow addrSet
	push.add(v.zoneWatchers(v.Zone)...)
	follow.add(push.list...)
	t.Standby = v.standbys(push.list)
	if t.Watch {
		for _, zone := range v.otherZones() {
			watchers := v.zoneWatchers(zone)
			follow.add(watchers...)
			t.Standby = append(t.Standby, v.standbys(watchers)...)
		}
	}
	if follow.allSuspected(v) {
		follow.add(v.seedSubset()...)
	}
	if len(v.Hosts) == 0 {
		push.add(v.seedSubset()...)
	}
	t.Follow, t.Push = follow.list, push.list
	return t
}

// zoneWatchers returns the addresses of a zone's watchers by the list of hosts
// alone and, where some of those are suspected, also of the hosts that take
// over.
func (v View) zoneWatchers(zone place.Zone) []netip.AddrPort {
	var out addrSet
	none := func(netip.AddrPort) bool { return false }
	for _, suspected := range []func(netip.AddrPort) bool{none, v.Suspected} {
		for _, row := range v.selectWatchers(zone, suspected) {
			if row.Host != v.Self {
				out.add(row.LeadAddr)
			}
		}
	}
	return out.list
}

// standbys returns all of a zone's watchers but the one that this process
// prefers. The choice distributes the followers evenly over the watchers.
func (v View) standbys(watchers []netip.AddrPort) []netip.AddrPort {
	ranked := slices.Clone(watchers)
	SortByHostHash(v.Self, ranked)
	first := slices.IndexFunc(ranked, func(a netip.AddrPort) bool { return !v.Failing(a) })
	if first < 0 {
		return nil // the first that responds is used
	}
	return slices.Delete(ranked, first, first+1)
}

// selectWatchers returns the hosts that watch the store for a zone, without
// suspected ones.
func (v View) selectWatchers(zone place.Zone, suspected func(netip.AddrPort) bool) []place.HostRow {
	var hosts []place.HostRow
	for _, row := range v.Hosts {
		if row.Zone == zone && row.Host != v.Self && row.State == place.Live && row.LeadAddr.IsValid() {
			hosts = append(hosts, row)
		}
	}
	if zone == v.Zone && v.Role == peer.RoleLead && !v.selfLeaving() {
		hosts = append(hosts, place.HostRow{Host: v.Self, Zone: zone, CPUShare: v.CPUShare})
	}
	ranked := rankHosts(zone, hosts)
	var out []place.HostRow
	for _, row := range ranked[:min(len(ranked), maxRanked)] {
		if row.Host != v.Self && suspected(row.LeadAddr) {
			continue
		}
		if out = append(out, row); len(out) == watchersPerZone {
			break
		}
	}
	return out
}

// selfLeaving reports whether this process's host is leaving.
func (v View) selfLeaving() bool {
	i := slices.IndexFunc(v.Hosts, func(r place.HostRow) bool { return r.Host == v.Self })
	return i >= 0 && v.Hosts[i].State == place.Leaving
}

func (v View) otherZones() []place.Zone {
	var out []place.Zone
	for _, row := range v.Hosts {
		if row.Zone != v.Zone && !slices.Contains(out, row.Zone) {
			out = append(out, row.Zone)
		}
	}
	return out
}

// seedSubset returns at most maxSeeds seeds, different ones on different hosts.
func (v View) seedSubset() []netip.AddrPort {
	out := slices.DeleteFunc(slices.Clone(v.Seeds), func(a netip.AddrPort) bool { return a == v.Addr })
	SortByHostHash(v.Self, out)
	return out[:min(len(out), maxSeeds)]
}

// SortByHostHash sorts addresses in a fixed order that differs from host to
// host, so that hosts distribute their first choices evenly.
func SortByHostHash(host place.Host, list []netip.AddrPort) {
	order := make(map[netip.AddrPort]uint64, len(list))
	for _, addr := range list {
		order[addr] = xxhash.Sum64String(string(host) + "\x00" + addr.String())
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(order[a], order[b]) })
}

// addrSet is a list without duplicates.
type addrSet struct{ list []netip.AddrPort }

func (a *addrSet) add(more ...netip.AddrPort) {
	for _, addr := range more {
		if addr.IsValid() && !slices.Contains(a.list, addr) {
			a.list = append(a.list, addr)
		}
	}
}

func (a *addrSet) allSuspected(v View) bool {
	for _, addr := range a.list {
		if !v.Suspected(addr) {
			return false
		}
	}
	return true
}
