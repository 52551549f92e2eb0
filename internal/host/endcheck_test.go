package host

import (
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/site"
)

// TestRefusalsProveEnd guards against an owner that counts as ended because a network refuses
// the hosts of a zone, while the owner holds its ranges: one refusal has to come from its zone.
func TestRefusalsProveEnd(t *testing.T) {
	for name, test := range map[string]struct {
		hosts   []place.Zone // this host's first
		target  place.Zone
		refused []place.Zone // this host's first
		want    endEvidence
	}{
		"this host alone":                    {[]place.Zone{"a", "b"}, "b", []place.Zone{"a"}, refusedHere},
		"its own zone, the target's is cut":  {[]place.Zone{"a", "a", "b"}, "b", []place.Zone{"a", "a"}, refusedHere},
		"two zones without the target's":     {[]place.Zone{"a", "b", "c"}, "b", []place.Zone{"a", "c"}, refusedHere},
		"the target's zone":                  {[]place.Zone{"a", "b"}, "b", []place.Zone{"a", "b"}, refusedEverywhere},
		"this host in the target's zone":     {[]place.Zone{"a", "b"}, "a", []place.Zone{"a", "b"}, refusedEverywhere},
		"no host in the target's zone":       {[]place.Zone{"a", "b"}, "z", []place.Zone{"a", "b"}, refusedEverywhere},
		"no host there, refused in one zone": {[]place.Zone{"a", "a", "b"}, "z", []place.Zone{"a", "a"}, refusedHere},
	} {
		t.Run(name, func(t *testing.T) {
			h := &Host{views: newViewBuilder(docsync.New(), logging.Nop(), nil)}
			h.site = site.Site{Zone: test.hosts[0]}
			h.paths = newPathMonitor(h)
			for _, zone := range test.hosts {
				h.views.current.members.Hosts = append(h.views.current.members.Hosts, member.Host{Zone: zone})
			}
			assert.Equal(t, (&endChecks{host: h}).evidenceOf(place.TargetRow{Target: "t", Zone: test.target}, test.refused), test.want)
		})
	}
}
