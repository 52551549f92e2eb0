package member

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

type wireList struct {
	Hosts   []wireHost   `cbor:"1,keyasint"`
	Leaders []wireLeader `cbor:"2,keyasint"`
}

type wireHost struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Zone        string
	Peer        netip.AddrPort
	Ticket      netip.AddrPort
	Share       float64

	Revision uint64
}

type wireLeader struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Host        string
	Incarnation uint64
	Revision    uint64
	Era         uint64
}

type wireHeartbeat struct {
	_    struct{} `cbor:",toarray"`
	Host wireHost
	Rank int
}

type wireConfirmation struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Hosts       int
}

func wireOf(h Host) wireHost {
	return wireHost{
		Name: string(h.Name), Incarnation: uint64(h.Incarnation), Zone: string(h.Zone), Peer: h.PeerAddr, Ticket: h.TicketAddr, Share: h.CPUShare,
		Revision: uint64(h.Revision),
	}
}

func (w *wireHost) host() Host {
	return Host{
		Name: place.Host(w.Name), Incarnation: place.Incarnation(w.Incarnation), Zone: place.Zone(w.Zone),
		PeerAddr: w.Peer, TicketAddr: w.Ticket, CPUShare: w.Share, Revision: platform.Revision(w.Revision),
	}
}

// Encode returns the heartbeat in its wire form.
func (hb *Heartbeat) Encode() ([]byte, error) {
	body, err := cbor.Marshal(wireHeartbeat{Host: wireOf(hb.Host), Rank: hb.Rank})
	if err != nil {
		return nil, fmt.Errorf("member: encode heartbeat: %w", err)
	}
	return body, nil
}

// DecodeHeartbeat reads a heartbeat that Encode wrote.
func DecodeHeartbeat(body []byte) (Heartbeat, error) {
	var w wireHeartbeat
	if err := compat.Unmarshal(body, &w); err != nil {
		return Heartbeat{}, fmt.Errorf("member: decode heartbeat: %w", err)
	}
	if w.Host.Name == "" || w.Rank < 0 {
		return Heartbeat{}, errors.New("member: decode heartbeat: no host name or negative rank")
	}
	return Heartbeat{Host: w.Host.host(), Rank: w.Rank}, nil
}

// Encode returns the confirmation in its wire form.
func (c *Confirmation) Encode() ([]byte, error) {
	body, err := cbor.Marshal(wireConfirmation{Incarnation: uint64(c.Incarnation), Hosts: c.Hosts})
	if err != nil {
		return nil, fmt.Errorf("member: encode confirmation: %w", err)
	}
	return body, nil
}

// DecodeConfirmation reads a confirmation that Encode wrote.
func DecodeConfirmation(body []byte) (Confirmation, error) {
	var w wireConfirmation
	if err := compat.Unmarshal(body, &w); err != nil {
		return Confirmation{}, fmt.Errorf("member: decode confirmation: %w", err)
	}
	if w.Hosts < 1 {
		return Confirmation{}, errors.New("member: decode confirmation: no hosts")
	}
	return Confirmation{Incarnation: place.Incarnation(w.Incarnation), Hosts: w.Hosts}, nil
}

// Encode returns the list as hosts distribute it.
func (l *List) Encode() ([]byte, error) {
	var w wireList
	for _, h := range l.Hosts {
		w.Hosts = append(w.Hosts, wireOf(h))
	}
	for _, leader := range l.Leaders {
		w.Leaders = append(w.Leaders, wireLeader{
			Service: string(leader.Service), Host: string(leader.Host), Incarnation: uint64(leader.Incarnation), Revision: uint64(leader.Revision), Era: uint64(leader.Era),
		})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("member: encode list: %w", err)
	}
	return body, nil
}

// DecodeList reads a list that Encode wrote.
func DecodeList(body []byte) (List, error) {
	var w wireList
	if err := compat.Unmarshal(body, &w); err != nil {
		return List{}, fmt.Errorf("member: decode list: %w", err)
	}
	var l List
	for _, h := range w.Hosts {
		l.Hosts = append(l.Hosts, h.host())
	}
	for _, leader := range w.Leaders {
		l.Leaders = append(l.Leaders, Leader{
			Service: key.Service(leader.Service), Host: place.Host(leader.Host),
			Incarnation: place.Incarnation(leader.Incarnation), Revision: platform.Revision(leader.Revision), Era: platform.Era(leader.Era),
		})
	}
	return l, nil
}
