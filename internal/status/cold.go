package status

import (
	"cmp"
	"slices"
	"time"
)

// ColdTarget is a target that gets fewer requests since it is cold.
type ColdTarget struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Rate is the rate of requests of all hosts together, per second.
	Rate float64 `json:"rate"`
	// Until is when the target is expected to be warm.
	Until time.Time `json:"until"`
	// Refused is the number of requests that were refused because of it.
	Refused int `json:"refused"`
}

// MergeColdTargets returns one row per cold target, sorted: the one that expects it to be
// cold for longest, with the refusals of all hosts.
func MergeColdTargets(responses []Response) []ColdTarget {
	best := make(map[[2]string]ColdTarget)
	for _, a := range responses {
		for _, c := range a.Report.Cold {
			id := [2]string{c.Service, c.Target}
			refused := best[id].Refused + c.Refused
			if c.Until.Before(best[id].Until) {
				c = best[id]
			}
			c.Refused = refused
			best[id] = c
		}
	}
	out := make([]ColdTarget, 0, len(best))
	for _, c := range best {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b ColdTarget) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return out
}
