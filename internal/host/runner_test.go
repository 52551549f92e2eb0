package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/site"
)

// TestIncumbent: candidates wait for a lead that lost its entry only while they
// hear it. A power cut leaves entries of hosts that are gone.
func TestIncumbent(t *testing.T) {
	tests := map[string]struct {
		life  place.Incarnation // of the lead's host in the list
		heard time.Duration     // ago
		place int
		want  bool
	}{
		"lead is heard":             {1, 100 * time.Millisecond, 0, true},
		"lead went silent":          {1, 2 * time.Second, 0, false},
		"lead never heard":          {1, time.Hour, 2, false},
		"lead started again":        {2, 100 * time.Millisecond, 0, false},
		"others don't hear leads":   {1, time.Hour, candidates, true},
		"others see it start again": {2, time.Hour, candidates, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := &runner{service: "s", heard: now.Add(-test.heard)}
			v := &view{
				members: member.List{Hosts: []member.Host{{Name: "lead", Life: test.life}}},
				tables:  map[key.Service]*owner.Table{"s": {Lead: "lead", Life: 1}},
			}
			assert.Equal(t, r.incumbent(now, v, test.place), test.want)
		})
	}
}

// TestPredecessor: that the lead before has ended tells nothing of those before
// it, where it wrote that they may not have.
func TestPredecessor(t *testing.T) {
	members := member.List{Hosts: []member.Host{{Name: "again", Life: 2, Revision: 9}, {Name: "on", Life: 1, Revision: 1}}}
	tests := map[string]struct {
		doc  owner.Doc
		want owner.Prior
	}{
		"handed on":                   {owner.Doc{}, owner.PriorEnded},
		"handed on, one before may":   {owner.Doc{Stragglers: true}, owner.PriorUnknown},
		"this host":                   {owner.Doc{Lead: "self", Life: 1}, owner.PriorEnded},
		"this host, one before may":   {owner.Doc{Lead: "self", Life: 1, Stragglers: true}, owner.PriorUnknown},
		"started again":               {owner.Doc{Lead: "again", Life: 1}, owner.PriorEnded},
		"started again, one before":   {owner.Doc{Lead: "again", Life: 1, Stragglers: true}, owner.PriorUnknown},
		"runs, for all that is known": {owner.Doc{Lead: "on", Life: 1}, owner.PriorUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &runner{host: &Host{site: site.Site{Host: "self"}}}
			c := &campaign{runner: r, members: members}
			before := c.predecessorOf(&test.doc, 5)
			assert.Equal(t, before.prior(), test.want)
		})
	}
}
