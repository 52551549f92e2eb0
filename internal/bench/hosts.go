package bench

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/load"
	"citrontray.example/citrontray/internal/place"
)

// hostFields is the number of fields per line of a hosts file.
const hostFields = 7

// Host is an entry host of the deployment, as the script starts it.
type Host struct {
	Name place.Host
	Zone place.Zone
	// LeadPeer and EntryPeer are UDP addresses for peers.
	LeadPeer, EntryPeer netip.AddrPort
	// Callers is the address for requests; EntryAdmin and LeadAdmin are admin addresses.
	Callers, EntryAdmin, LeadAdmin netip.AddrPort
}

// ReadHosts reads a hosts file: one line per host, with its name, its zone and the
// addresses in the order of Host's fields. Findings are located by line.
func ReadHosts(path string) ([]Host, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var findings finding.List
	var hosts []Host
	for i, line := range strings.Split(strings.TrimSpace(string(body)), "\n") {
		at := fmt.Sprintf("%s:%d", path, i+1)
		fields := strings.Fields(line)
		if len(fields) != hostFields {
			findings.Add(at, fmt.Sprintf("has %d fields", len(fields)), fmt.Sprintf("write %d", hostFields))
			continue
		}
		host := Host{Name: place.Host(fields[0]), Zone: place.Zone(fields[1])}
		for j, addr := range []*netip.AddrPort{&host.LeadPeer, &host.EntryPeer, &host.Callers, &host.EntryAdmin, &host.LeadAdmin} {
			if *addr, err = netip.ParseAddrPort(fields[j+2]); err != nil {
				findings.Add(at, fmt.Sprintf("%q is not an address", fields[j+2]), "write IP:PORT")
			}
		}
		hosts = append(hosts, host)
	}
	return hosts, findings.Err()
}

// Row returns the host's row in the platform's list.
func (h Host) Row(state place.Liveness) place.HostRow {
	return place.HostRow{Host: h.Name, Zone: h.Zone, State: state, LeadAddr: h.LeadPeer, EntryAddr: h.EntryPeer}
}

// EntryHosts returns the addresses that the balancer needs.
func EntryHosts(hosts []Host) []load.EntryHost {
	out := make([]load.EntryHost, len(hosts))
	for i, h := range hosts {
		out[i] = load.EntryHost{Callers: h.Callers, Admin: h.EntryAdmin}
	}
	return out
}
