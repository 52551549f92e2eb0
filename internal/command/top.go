package command

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/status"
)

// clearScreen moves the cursor to the top left and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// maxTopLines limits the lines of each table.
const maxTopLines = 15

func topCommand() *command {
	var interval time.Duration
	var rounds int
	return &command{
		name: "top", usage: "[--interval 2s] [--rounds N]",
		synopsis: "show the load of targets and callers, refreshed until interrupted",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&interval, "interval", 2*time.Second, "time between refreshes")
			f.IntVar(&rounds, "rounds", 0, "number of refreshes; 0: until interrupted")
		},
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 0, c.usage); err != nil {
				return err
			}
			if interval <= 0 {
				return inputErrorf("--interval", "must be positive")
			}
			return c.top(ctx, interval, rounds)
		},
	}
}

// top prints the tables once per interval.
func (c *command) top(ctx context.Context, interval time.Duration, rounds int) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for round := 1; ; round++ {
		responses, err := c.collect(ctx, status.Query{})
		if err != nil {
			return err
		}
		if c.output == outputJSON {
			err = c.printJSON(toWireResponses(responses))
		} else {
			c.printTop(responses)
		}
		if err != nil || round == rounds {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// printTop prints the busiest targets and callers of all hosts.
func (c *command) printTop(responses []status.Response) {
	targets, callers := sumLoads(responses)
	fmt.Fprint(c.Out, clearScreen)
	t := c.table()
	fmt.Fprintln(t, "TARGET\tSERVICE\tRATE/S\tWAITING\tRUNNING\tP99 MS")
	for _, x := range targets[:min(len(targets), maxTopLines)] {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%d\t%.1f\n", x.Target, x.Service, x.PerSecond, x.Waiting, x.Running, x.P99)
	}
	_ = t.Flush()
	t = c.table()
	fmt.Fprintln(t, "\nCALLER\tCLASS\tRATE/S\tREFUSED/S\tP99 MS")
	for _, x := range callers[:min(len(callers), maxTopLines)] {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\n", x.Caller, x.Class, x.PerSecond, x.Refused, x.P99)
	}
	_ = t.Flush()
}

// sumLoads sums the loads over all hosts, busiest first. The p99 is the maximum of the
// hosts' p99.
func sumLoads(responses []status.Response) ([]status.Target, []status.Caller) {
	var targets []status.Target
	var callers []status.Caller
	for _, a := range responses {
		for _, x := range a.Report.Targets {
			i := slices.IndexFunc(targets, func(y status.Target) bool { return y.Target == x.Target && y.Service == x.Service })
			if i < 0 {
				targets = append(targets, x)
				continue
			}
			targets[i].PerSecond += x.PerSecond
			targets[i].Waiting += x.Waiting
			targets[i].Running += x.Running
			targets[i].P99 = max(targets[i].P99, x.P99)
		}
		for _, x := range a.Report.Callers {
			i := slices.IndexFunc(callers, func(y status.Caller) bool { return y.Caller == x.Caller && y.Class == x.Class })
			if i < 0 {
				callers = append(callers, x)
				continue
			}
			callers[i].PerSecond += x.PerSecond
			callers[i].Refused += x.Refused
			callers[i].P99 = max(callers[i].P99, x.P99)
		}
	}
	slices.SortFunc(targets, func(a, b status.Target) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(callers, func(a, b status.Caller) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Class, b.Class))
	})
	return targets, callers
}
