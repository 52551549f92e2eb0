package command

import (
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/status"
)

// printCold prints the cold targets, or one of them if name is not empty.
func (c *command) printCold(targets []status.ColdTarget, name string) {
	for _, t := range targets {
		if name == "" || name == t.Target {
			fmt.Fprintf(c.Out, "cold: %s of %s, at most %g requests per second, until %s, %d requests refused\n",
				t.Target, t.Service, t.Rate, t.Until.UTC().Format(time.TimeOnly), t.Refused)
		}
	}
}
