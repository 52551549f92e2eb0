package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
)

// TestReachability checks that Partitioned detects a network partition that leaves a
// host with too few targets, and does not mistake crashed hosts or targets for one.
func TestReachability(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := map[place.Zone]ZoneState{"a": {Targets: 10, Hosts: 4}, "b": {Targets: 10, Hosts: 4}, "c": {Targets: 10, Hosts: 4}}
	suspects := func(n map[place.Zone]int) map[place.Zone]ZoneState {
		out := make(map[place.Zone]ZoneState)
		for name, z := range whole {
			z.Suspects = n[name]
			out[name] = z
		}
		return out
	}
	for name, test := range map[string]struct {
		zones      map[place.Zone]ZoneState
		failed     []place.Zone
		messageAge map[place.Zone]time.Duration // time since the last message from the zone
		want       bool
	}{
		"no failures":                  {zones: whole},
		"both other zones partitioned": {suspects(map[place.Zone]int{"b": 2, "c": 3}), []place.Zone{"b", "c"}, nil, true},
		"one other zone partitioned":   {suspects(map[place.Zone]int{"b": 4}), []place.Zone{"b"}, nil, false},
		"hosts crashed":                {suspects(map[place.Zone]int{"b": 4, "c": 4}), nil, nil, false},
		"targets crashed":              {whole, []place.Zone{"b", "c"}, nil, false},
		"one suspect per zone":         {suspects(map[place.Zone]int{"b": 1, "c": 1}), []place.Zone{"b", "c"}, nil, false},
		"a host replied recently": {
			suspects(map[place.Zone]int{"b": 2, "c": 2}), []place.Zone{"b", "c"}, map[place.Zone]time.Duration{"c": 100 * time.Millisecond}, false,
		},
		"replies before the timeout": {
			suspects(map[place.Zone]int{"b": 2, "c": 2}), []place.Zone{"b", "c"}, map[place.Zone]time.Duration{"b": time.Second, "c": zoneMessageTimeout}, true,
		},
		"one host per zone": {
			map[place.Zone]ZoneState{"a": {Targets: 1, Hosts: 1}, "b": {Targets: 1, Hosts: 1, Suspects: 1}, "c": {Targets: 1, Hosts: 1, Suspects: 1}},
			[]place.Zone{"b", "c"},
			nil, true,
		},
		"the own zone": {suspects(map[place.Zone]int{"a": 3}), []place.Zone{"a"}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReachability()
			for zone, ago := range test.messageAge {
				r.RecordMessage(now.Add(-ago), zone)
			}
			for _, zone := range test.failed {
				r.RecordAttempt(zone, ResultUnreachable)
			}
			assert.Equal(t, r.Suspected(), len(test.failed) > 0)
			assert.Equal(t, r.Partitioned(now, "a", test.zones), test.want)
			for _, zone := range test.failed {
				r.RecordAttempt(zone, ResultServed) // the zone is reachable again
			}
			assert.Assert(t, !r.Partitioned(now, "a", test.zones))
		})
	}
}
