package docsync

import (
	"fmt"
	"net/netip"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

type wireFleet struct {
	Hosts   []wireHost   `cbor:"1,keyasint,omitempty"`
	Targets []wireTarget `cbor:"2,keyasint,omitempty"`
}

type wireHost struct {
	_         struct{} `cbor:",toarray"`
	Host      string
	Zone      string
	State     uint8
	LeadAddr  netip.AddrPort
	EntryAddr netip.AddrPort
}

type wireTarget struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Service string
	Zone    string
	State   uint8
	Addr    netip.AddrPort
}

// EncodeFleet encodes the body of the Fleet document.
func EncodeFleet(fleet platform.Fleet) ([]byte, error) {
	var w wireFleet
	for _, h := range fleet.Hosts {
		w.Hosts = append(w.Hosts, wireHost{
			Host: string(h.Host), Zone: string(h.Zone), State: uint8(h.State), LeadAddr: h.LeadAddr, EntryAddr: h.EntryAddr,
		})
	}
	for _, t := range fleet.Targets {
		w.Targets = append(w.Targets, wireTarget{
			Target: string(t.Target), Service: t.Service, Zone: string(t.Zone), State: uint8(t.State), Addr: t.Addr,
		})
	}
	return encodeWire(w)
}

// DecodeFleet decodes the body of the Fleet document.
func DecodeFleet(body []byte) (platform.Fleet, error) {
	var w wireFleet
	if err := decodeWire(body, &w); err != nil {
		return platform.Fleet{}, fmt.Errorf("decode fleet: %w", err)
	}
	var fleet platform.Fleet
	for _, h := range w.Hosts {
		fleet.Hosts = append(fleet.Hosts, place.HostRow{
			Host: place.Host(h.Host), Zone: place.Zone(h.Zone), State: place.Liveness(h.State), LeadAddr: h.LeadAddr, EntryAddr: h.EntryAddr,
		})
	}
	for _, t := range w.Targets {
		fleet.Targets = append(fleet.Targets, place.TargetRow{
			Target: place.Target(t.Target), Service: t.Service, Zone: place.Zone(t.Zone), State: place.Liveness(t.State), Addr: t.Addr,
		})
	}
	return fleet, nil
}
