package member

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

type wireList struct {
	Hosts []wireMember `cbor:"1,keyasint"`
	Leads []wireLeader `cbor:"2,keyasint"`
}

type wireMember struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Life   uint64
	Zone   string
	Peer   netip.AddrPort
	Ticket netip.AddrPort
	Share  float64

	Revision uint64
}

type wireLeader struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Host     string
	Life     uint64
	Revision uint64
	Era      uint64
}

type wirePresence struct {
	_    struct{} `cbor:",toarray"`
	Host wireMember
	Turn int
}

func wireOf(h Host) wireMember {
	return wireMember{
		Name: string(h.Name), Life: uint64(h.Life), Zone: string(h.Zone), Peer: h.Peer, Ticket: h.Ticket, Share: h.Processor,
		Revision: uint64(h.Revision),
	}
}

func (w *wireMember) host() Host {
	return Host{
		Name: place.Host(w.Name), Life: place.Incarnation(w.Life), Zone: place.Zone(w.Zone),
		Peer: w.Peer, Ticket: w.Ticket, Processor: w.Share, Revision: platform.Revision(w.Revision),
	}
}

// Encode returns the presence as a host tells it.
func (p *Presence) Encode() ([]byte, error) {
	body, err := cbor.Marshal(wirePresence{Host: wireOf(p.Host), Turn: p.Turn})
	if err != nil {
		return nil, fmt.Errorf("member: encode presence: %w", err)
	}
	return body, nil
}

// DecodePresence reads what Encode wrote.
func DecodePresence(body []byte) (Presence, error) {
	var w wirePresence
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Presence{}, fmt.Errorf("member: decode presence: %w", err)
	}
	if w.Host.Name == "" || w.Turn < 0 {
		return Presence{}, errors.New("member: decode presence: no host or turn")
	}
	return Presence{Host: w.Host.host(), Turn: w.Turn}, nil
}

// Encode returns the list as hosts pass it on.
func (l *List) Encode() ([]byte, error) {
	var w wireList
	for _, h := range l.Hosts {
		w.Hosts = append(w.Hosts, wireOf(h))
	}
	for _, lead := range l.Leads {
		w.Leads = append(w.Leads, wireLeader{
			Service: string(lead.Service), Host: string(lead.Host), Life: uint64(lead.Life), Revision: uint64(lead.Revision), Era: uint64(lead.Era),
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("member: encode list: %w", err)
	}
	return body, nil
}

// DecodeList reads what Encode wrote.
func DecodeList(body []byte) (List, error) {
	var w wireList
	if err := cbor.Unmarshal(body, &w); err != nil {
		return List{}, fmt.Errorf("member: decode list: %w", err)
	}
	var l List
	for _, h := range w.Hosts {
		l.Hosts = append(l.Hosts, h.host())
	}
	for _, lead := range w.Leads {
		l.Leads = append(l.Leads, Lead{
			Service: key.Service(lead.Service), Host: place.Host(lead.Host),
			Life: place.Incarnation(lead.Life), Revision: platform.Revision(lead.Revision), Era: platform.Era(lead.Era),
		})
	}
	return l, nil
}
