package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

// TestTakeOverOfCellsWithoutRoster: a cell that was evicted before its first
// document, or whose whole roster is declared lost, gets a lead again.
func TestTakeOverOfCellsWithoutRoster(t *testing.T) {
	tests := map[string]struct {
		hosts   int
		prepare func(*world)
	}{
		"evicted before the first document": {3, func(w *world) {
			w.doc, w.docAt, w.revision = Evict(Doc{ID: ID{Service: worldService, Zone: worldZone}}, w.custody.Revision, nil, grant.Declared{}), 1, 1
			for _, s := range w.custody.Shards {
				w.changeCustody(s.Shard, 9, true)
			}
		}},
		"whole roster declared lost": {6, func(w *world) {
			w.until(4 * time.Second)
			for _, h := range w.hosts {
				for _, member := range w.doc.Roster {
					if place.Host(h.name) == member {
						w.crashHost(h, time.Hour)
						w.lost = append(w.lost, Lost{Host: member, By: "operator", Reason: "fire"})
					}
				}
			}
			w.tellAll()
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(options{seed: 1, hosts: tt.hosts, targets: 4, calm: true, length: time.Hour})
			tt.prepare(w)
			w.until(w.now + 10*time.Second)
			w.checkHealed()
			assert.Equal(t, w.failure, "")
		})
	}
}
