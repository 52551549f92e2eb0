// Package member holds which hosts are there and which of them lead services.
// Hosts find each other through the platform's service: each keeps an entry
// there that goes with its session.
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

// The paths of members, all below Prefix.
const (
	Prefix       platform.Path = "members/"
	hostPrefix   platform.Path = "members/hosts/"
	leaderPrefix platform.Path = "members/leads/"
)

// HostPath returns the path of a host's entry.
func HostPath(host place.Host) platform.Path { return hostPrefix + platform.Path(host) }

// LeaderPath returns the path of the entry that the lead of a service holds.
func LeaderPath(service key.Service) platform.Path { return leaderPrefix + platform.Path(service) }

// Host is one life of a host.
type Host struct {
	Name        place.Host
	Incarnation place.Incarnation
	Zone        place.Zone
	// PeerAddr and Ticket are its UDP addresses.
	PeerAddr   netip.AddrPort
	TicketAddr netip.AddrPort
	// CPUShare is its share of a core; hosts with more get more of the work
	// that can be anywhere.
	CPUShare float64
	// Revision is that of its entry.
	Revision platform.Revision
}

// Leader is the lead of a service.
type Leader struct {
	Service     key.Service
	Host        place.Host
	Incarnation place.Incarnation
	// Era is that of the store in which it began to lead.
	Era platform.Era
	// Revision is that of its entry.
	Revision platform.Revision
}

// Restored reports whether the entry is from a copy that the store came back from:
// its session is gone, and others may have led since the copy was taken.
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
		return nil, fmt.Errorf("member: encode: %w", err)
	}
	return body, nil
}

// EncodeLeader returns the value of a lead's entry.
func EncodeLeader(l Leader) ([]byte, error) {
	body, err := json.Marshal(leaderValue{Host: string(l.Host), Incarnation: uint64(l.Incarnation), Era: uint64(l.Era)})
	if err != nil {
		return nil, fmt.Errorf("member: encode: %w", err)
	}
	return body, nil
}

// DecodeLeader reads the value of a lead's entry.
func DecodeLeader(e platform.Entry) (Leader, error) {
	var w leaderValue
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return Leader{}, fmt.Errorf("member: %s: %w", e.Path, err)
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
		return Host{}, fmt.Errorf("member: %s: %w", e.Path, err)
	}
	h := Host{
		Name: place.Host(w.Host), Incarnation: place.Incarnation(w.Incarnation), Zone: place.Zone(w.Zone), CPUShare: w.Share, Revision: e.Revision,
	}
	var err error
	if h.PeerAddr, err = netip.ParseAddrPort(w.Peer); err != nil {
		return Host{}, fmt.Errorf("member: %s: %w", e.Path, err)
	}
	if h.TicketAddr, err = netip.ParseAddrPort(w.Ticket); err != nil {
		return Host{}, fmt.Errorf("member: %s: %w", e.Path, err)
	}
	return h, nil
}

// List is all members at one moment, sorted by name.
type List struct {
	Hosts   []Host
	Leaders []Leader
}

// NewList reads the entries below Prefix. It returns an error for each entry
// that can't be read; the others are in the list.
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
			lead, err := DecodeLeader(e)
			if err != nil {
				errs = append(errs, err)
				continue
			}
			l.Leaders = append(l.Leaders, lead)
		}
	}
	slices.SortFunc(l.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(l.Leaders, func(a, b Leader) int { return cmp.Compare(a.Service, b.Service) })
	return l, errs
}

// Host returns a host by its name.
func (l *List) Host(name place.Host) (Host, bool) {
	i := slices.IndexFunc(l.Hosts, func(h Host) bool { return h.Name == name })
	if i < 0 {
		return Host{}, false
	}
	return l.Hosts[i], true
}

// Leader returns the lead of a service.
func (l *List) Leader(service key.Service) (Leader, bool) {
	i := slices.IndexFunc(l.Leaders, func(lead Leader) bool { return lead.Service == service })
	if i < 0 {
		return Leader{}, false
	}
	return l.Leaders[i], true
}

// Replaced reports whether a life of a host is over, of which something was
// written at a revision: the host has entered itself with a later one since. The
// pages of a list are no snapshot, and a write of an earlier life may come late;
// so neither the life nor the revision says it alone. Revisions of two eras of the
// store say nothing of what came first.
func (l *List) Replaced(host place.Host, life place.Incarnation, revision platform.Revision) bool {
	h, ok := l.Host(host)
	return ok && h.Incarnation > life && h.Revision > revision && h.Revision.Era() == revision.Era()
}

// Ended reports whether the life of a lead is over.
func (l *List) Ended(lead Leader) bool { return l.Replaced(lead.Host, lead.Incarnation, lead.Revision) }

// HostRows returns the hosts as the passing on of documents wants them.
func (l *List) HostRows() []place.HostRow {
	out := make([]place.HostRow, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		out = append(out, place.HostRow{Host: h.Name, Zone: h.Zone, LeadAddr: h.PeerAddr, CPUShare: h.CPUShare})
	}
	return out
}

// RankLeaders orders hosts for the lead of a service: the strong ones first, as a
// lead orders all targets of its service about, twice a second.
func RankLeaders(work string, hosts []Host) []place.Host {
	var most float64
	for _, h := range hosts {
		most = max(most, h.CPUShare)
	}
	var strong, weak []Host
	for _, h := range hosts {
		if place.Strong(h.CPUShare, most) {
			strong = append(strong, h)
		} else {
			weak = append(weak, h)
		}
	}
	return append(Rank(work, strong), Rank(work, weak)...)
}

// Rank orders hosts for a piece of work by weighted rendezvous hashing: all
// who know the same hosts agree, a host's share follows its processor, and the
// loss of one moves only what it had.
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
