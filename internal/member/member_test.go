package member

import (
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestReplaced: an incarnation has ended if its host has been entered with a later one
// since. Lists whose pages are from different times, and late writes, must not look like
// that.
func TestReplaced(t *testing.T) {
	for name, test := range map[string]struct {
		entry    Host
		inc      place.Incarnation
		revision platform.Revision
		want     bool
	}{
		"entered again since":                {Host{Name: "a", Incarnation: 9, Revision: 20}, 5, 10, true},
		"same incarnation":                   {Host{Name: "a", Incarnation: 5, Revision: 20}, 5, 10, false},
		"older list":                         {Host{Name: "a", Incarnation: 3, Revision: 8}, 5, 10, false},
		"late entry of an older incarnation": {Host{Name: "a", Incarnation: 3, Revision: 20}, 5, 10, false},
		"written after the entry":            {Host{Name: "a", Incarnation: 9, Revision: 8}, 5, 10, false},
		"not listed":                         {Host{Name: "b", Incarnation: 9, Revision: 20}, 5, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := List{Hosts: []Host{test.entry}}
			assert.Equal(t, l.Replaced("a", test.inc, test.revision), test.want)
		})
	}
}

func TestRankLeaders(t *testing.T) {
	hosts := []Host{{Name: "a", CPUShare: 0.2}, {Name: "b", CPUShare: 0.8}, {Name: "c", CPUShare: 0.4}, {Name: "d", CPUShare: 0.39}}
	ranked := RankLeaders("s", hosts)
	assert.Equal(t, len(ranked), 4)
	strong := map[place.Host]bool{ranked[0]: true, ranked[1]: true}
	assert.DeepEqual(t, strong, map[place.Host]bool{"b": true, "c": true})
}
