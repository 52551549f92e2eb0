// Package member tracks which hosts are up and which of them are leaders of services.
// Hosts find each other through entries in the platform's store. Registrars write and
// remove the entry of a host; see Registry.
package member

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// Paths of the entries of hosts and leaders, all below Prefix.
const (
	Prefix       platform.Path = "members/"
	hostPrefix   platform.Path = "members/hosts/"
	leaderPrefix platform.Path = "members/leads/"
)

// HostPath returns the path of a host's entry.
func HostPath(host place.Host) platform.Path { return hostPrefix + platform.Path(host) }

// LeaderPath returns the path of the entry of a service's leader.
func LeaderPath(service key.Service) platform.Path { return leaderPrefix + platform.Path(service) }

// Host is one incarnation of a host.
type Host struct {
	Name        place.Host
	Incarnation place.Incarnation
	Zone        place.Zone
	// PeerAddr and TicketAddr are its UDP addresses.
	PeerAddr   netip.AddrPort
	TicketAddr netip.AddrPort
	// CPUShare is its share of a CPU core, or less if its link limits its work for other
	// hosts; see site.Site.WorkShare. Hosts with more get more of the work that can run on
	// any host.
	CPUShare float64
	// Revision is the revision of its entry.
	Revision platform.Revision
}

// Leader is the leader of a service.
type Leader struct {
	Service     key.Service
	Host        place.Host
	Incarnation place.Incarnation
	// Era is the era of the store in which it became the leader.
	Era platform.Era
	// Revision is the revision of its entry.
	Revision platform.Revision
}

// Restored reports whether the entry was restored from an older snapshot of the store:
// its session has ended, and other hosts may have led since the snapshot.
func (l *Leader) Restored() bool { return l.Era < l.Revision.Era() }

type hostValue struct {
	Host        string  `json:"host"`
	Incarnation uint64  `json:"life"`
	Zone        string  `json:"zone"`
	Peer        string  `json:"peer"`
	Ticket      string  `json:"ticket"`
	Share       float64 `json:"share"`
}

type leaderValue struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"life"`
	Era         uint64 `json:"era,omitempty"`
}

// EncodeHost returns the value of a host's entry.
func EncodeHost(h Host) ([]byte, error) {
	body, err := json.Marshal(hostValue{
		Host: string(h.Name), Incarnation: uint64(h.Incarnation), Zone: string(h.Zone),
		Peer: h.PeerAddr.String(), Ticket: h.TicketAddr.String(), Share: h.CPUShare,
	})
	if err != nil {
		return nil, fmt.Errorf("member: encode host: %w", err)
	}
	return body, nil
}

// EncodeLeader returns the value of a leader's entry.
func EncodeLeader(l Leader) ([]byte, error) {
	body, err := json.Marshal(leaderValue{Host: string(l.Host), Incarnation: uint64(l.Incarnation), Era: uint64(l.Era)})
	if err != nil {
		return nil, fmt.Errorf("member: encode leader: %w", err)
	}
	return body, nil
}

// DecodeLeader reads the value of a leader's entry.
func DecodeLeader(e platform.Entry) (Leader, error) {
	var w leaderValue
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return Leader{}, fmt.Errorf("member: decode leader %s: %w", e.Path, err)
	}
	service, _ := strings.CutPrefix(string(e.Path), string(leaderPrefix))
	return Leader{
		Service: key.Service(service), Host: place.Host(w.Host),
		Incarnation: place.Incarnation(w.Incarnation), Era: platform.Era(w.Era), Revision: e.Revision,
	}, nil
}

func decodeHost(e platform.Entry) (Host, error) {
	var w hostValue
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return Host{}, fmt.Errorf("member: decode host %s: %w", e.Path, err)
	}
	h := Host{
		Name: place.Host(w.Host), Incarnation: place.Incarnation(w.Incarnation), Zone: place.Zone(w.Zone), CPUShare: w.Share, Revision: e.Revision,
	}
	var err error
	if h.PeerAddr, err = netip.ParseAddrPort(w.Peer); err != nil {
		return Host{}, fmt.Errorf("member: decode host %s: %w", e.Path, err)
	}
	if h.TicketAddr, err = netip.ParseAddrPort(w.Ticket); err != nil {
		return Host{}, fmt.Errorf("member: decode host %s: %w", e.Path, err)
	}
	return h, nil
}

// List is all hosts, sorted by name, and all leaders, sorted by service.
type List struct {
	Hosts   []Host
	Leaders []Leader
}

// NewList reads the entries below Prefix. It returns an error for each unreadable
// entry; the list has all others.
func NewList(entries []platform.Entry) (List, []error) {
	var l List
	var errs []error
	for _, e := range entries {
		switch {
		case strings.HasPrefix(string(e.Path), string(hostPrefix)):
			h, err := decodeHost(e)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			l.Hosts = append(l.Hosts, h)
		case strings.HasPrefix(string(e.Path), string(leaderPrefix)):
			leader, err := DecodeLeader(e)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			l.Leaders = append(l.Leaders, leader)
		}
	}
	slices.SortFunc(l.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(l.Leaders, func(a, b Leader) int { return cmp.Compare(a.Service, b.Service) })
	return l, errs
}

// Host returns the host with the given name.
func (l *List) Host(name place.Host) (Host, bool) {
	i := slices.IndexFunc(l.Hosts, func(h Host) bool { return h.Name == name })
	if i < 0 {
		return Host{}, false
	}
	return l.Hosts[i], true
}

// Leader returns the leader of a service.
func (l *List) Leader(service key.Service) (Leader, bool) {
	i := slices.IndexFunc(l.Leaders, func(leader Leader) bool { return leader.Service == service })
	if i < 0 {
		return Leader{}, false
	}
	return l.Leaders[i], true
}

// Replaced reports whether an incarnation of a host, known from a write at a revision,
// has ended: the host has been entered with a later incarnation at a later revision.
// Neither suffices alone, as the pages of a list are not one snapshot and a write of an
// earlier incarnation may come late. Revisions of different eras of the store can't be
// ordered in time.
func (l *List) Replaced(host place.Host, inc place.Incarnation, revision platform.Revision) bool {
	h, ok := l.Host(host)
	return ok && h.Incarnation > inc && h.Revision > revision && h.Revision.Era() == revision.Era()
}

// Ended reports whether the incarnation of a leader has ended.
func (l *List) Ended(leader Leader) bool {
	return l.Replaced(leader.Host, leader.Incarnation, leader.Revision)
}

// HostRows returns the hosts as rows, the form that package docsync takes.
func (l *List) HostRows() []place.HostRow {
	out := make([]place.HostRow, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		out = append(out, place.HostRow{Host: h.Name, Zone: h.Zone, LeadAddr: h.PeerAddr, CPUShare: h.CPUShare})
	}
	return out
}

// ConnectionHost returns the host that shares its connections to a target with all others: a
// strong host, as it carries the requests of many, in the target's zone if there is one.
func ConnectionHost(name string, zone place.Zone, hosts []Host) place.Host {
	strong, _ := splitStrong(hosts)
	near := slices.DeleteFunc(slices.Clone(strong), func(h Host) bool { return h.Zone != zone })
	if len(near) == 0 {
		near = strong
	}
	if len(near) == 0 {
		return ""
	}
	return Rank("connections/"+name, near)[0]
}

// RankLeaders orders hosts by preference for the leader of a service. Strong hosts come
// first, as a leader sends orders to all targets of its service twice a second.
func RankLeaders(work string, hosts []Host) []place.Host {
	strong, weak := splitStrong(hosts)
	return append(Rank(work, strong), Rank(work, weak)...)
}

// splitStrong divides hosts by their CPU share.
func splitStrong(hosts []Host) (strong, weak []Host) {
	var maxShare float64
	for _, h := range hosts {
		maxShare = max(maxShare, h.CPUShare)
	}
	for _, h := range hosts {
		if place.Strong(h.CPUShare, maxShare) {
			strong = append(strong, h)
		} else {
			weak = append(weak, h)
		}
	}
	return strong, weak
}

// Rank orders hosts for a piece of work by weighted rendezvous hashing: processes that
// know the same hosts get the same order, a host's share of the work follows its CPU
// share, and the loss of a host moves only its own work.
func Rank(work string, hosts []Host) []place.Host {
	type scored struct {
		name  place.Host
		score float64
	}
	list := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		sum := xxhash.Sum64String(work + "\x00" + string(h.Name))
		const scale = 1 << 53
		u := (float64(sum>>11) + 0.5) / scale
		list = append(list, scored{h.Name, -max(h.CPUShare, 0.01) / math.Log(u)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]place.Host, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}
