package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/status"
)

// TestReport: all hosts report the same owner of a key, and the leader also reports how
// it became the owner.
func TestReport(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 2, 1)
	d.awaitServed()
	d.targets["span-0"].Close()
	d.store.Remove("targets/span-0")
	var explained status.Key
	d.eventually("hosts agree that the other target owns the key", 15*time.Second, func() bool {
		for _, h := range d.hosts {
			r := h.Report(time.Now(), status.Query{Service: "span", Key: "0"})
			if r.Key == nil || r.Key.Owner != "span-1" {
				return false
			}
			if r.Cells[0].Leading {
				explained = *r.Key
			}
		}
		return true
	})
	assert.Assert(t, len(explained.Moves) > 0)
	last := explained.Moves[len(explained.Moves)-1]
	assert.Equal(t, last.Evidence, "Range granted.")
	assert.Equal(t, last.To, "span-1")

	r := d.hosts[0].Report(time.Now(), status.Query{})
	assert.Equal(t, r.Role, "host")
	assert.Assert(t, r.Ready)
	assert.Equal(t, r.Settings.Number, uint64(1))
	assert.Assert(t, time.Since(r.LastStoreResponse) < time.Minute)
	assert.Equal(t, r.Cells[0].Owned, r.Cells[0].Shards)
	for name, q := range map[string]status.Query{
		"not a number":     {Service: "span", Key: "pine"},
		"key out of range": {Service: "span", Key: "70000"},
		"keyless service":  {Service: "desk", Key: "7"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, d.hosts[0].Report(time.Now(), q).Key == nil)
		})
	}
}

// TestMovesAreBounded: a leader keeps only the latest steps.
func TestMovesAreBounded(t *testing.T) {
	var m moveLog
	for i := range 10 * minMoveSteps {
		m.add(time.Unix(int64(i), 0), noteTo("span-1"))
	}
	kept := m.overlapping(key.FullRange())
	assert.Assert(t, len(kept) >= minMoveSteps && len(kept) <= 2*minMoveSteps)
	assert.Equal(t, kept[len(kept)-1].At, time.Unix(10*minMoveSteps-1, 0))
}

func noteTo(to place.Target) owner.Note { return owner.Note{Range: key.FullRange(), To: to} }
