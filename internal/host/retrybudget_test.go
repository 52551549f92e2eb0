package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/site"
)

// TestRetryBudgetIsShared plays hosts that all want to repeat everything: what they may
// repeat together stays within the deployment's budget, also while their list
// of each other is short.
func TestRetryBudgetIsShared(t *testing.T) {
	budget := site.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 64}
	const hosts, perHost = 12, 400
	tests := map[string][]int{ // numbers of hosts seen, one each two seconds
		"all there":           {12, 12, 12, 12, 12},
		"list short for once": {12, 12, 1, 3, 12},
		"list not known":      {0, 0, 0, 0, 0},
		"grows":               {1, 4, 12, 12, 12},
	}
	for name, seen := range tests {
		t.Run(name, func(t *testing.T) {
			repeats := 0
			for range hosts {
				r := newRetryBudget()
				r.setBudget(budget)
				now := time.Unix(5000, 0)
				for _, n := range seen {
					if n > 0 {
						r.setHosts(now, n)
					}
					for range perHost / len(seen) {
						now = now.Add(2 * time.Second * time.Duration(len(seen)) / perHost)
						r.countRequest(now, "s")
						for range 3 {
							if r.withdraw(now, "s") {
								repeats++
							}
						}
					}
				}
			}
			allowed := int(budget.Ratio*hosts*perHost) + budget.Slack
			assert.Assert(t, repeats <= allowed, "%d repeats, %d allowed", repeats, allowed)
			assert.Assert(t, repeats > allowed/3, "%d repeats, %d allowed", repeats, allowed)
		})
	}
}
