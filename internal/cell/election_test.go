package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

// TestElectionWithoutRoster checks that a cell gets a leader even if it was evicted
// before its first document, or if its whole roster is declared lost.
func TestElectionWithoutRoster(t *testing.T) {
	tests := map[string]struct {
		hosts   int
		prepare func(*sim)
	}{
		"evicted before the first document": {3, func(w *sim) {
			w.doc, w.docRevision, w.revision = Evict(Doc{ID: ID{Service: simService, Zone: simZone}}, w.custody.Revision, nil, grant.Declared{}), 1, 1
			for _, s := range w.custody.Shards {
				w.changeCustody(s.Shard, 9, true)
			}
		}},
		"whole roster declared lost": {6, func(w *sim) {
			w.runUntil(4 * time.Second)
			for _, h := range w.hosts {
				for _, member := range w.doc.Roster {
					if place.Host(h.name) == member {
						w.crashHost(h, time.Hour)
						w.losses = append(w.losses, LossDeclaration{Host: member, By: "operator", Reason: "fire"})
					}
				}
			}
			w.sendListsToAll()
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSim(options{seed: 1, hosts: tt.hosts, targets: 4, noFaults: true, duration: time.Hour})
			tt.prepare(w)
			w.runUntil(w.now + 10*time.Second)
			w.checkRecovered()
			assert.Equal(t, w.failure, "")
		})
	}
}
