package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/status"
)

// maxBlockedLines and maxMoveLines limit the output of status and explain; JSON output
// is complete.
const (
	maxBlockedLines = 10
	maxMoveLines    = 10
)

// lineWidth is the maximum width of tables and texts, in columns.
const lineWidth = 80

// wireResponse is the JSON output of status: one daemon's report, or the error.
type wireResponse struct {
	Addr   netip.AddrPort `json:"addr"`
	Error  string         `json:"error,omitempty"`
	Report *status.Report `json:"report,omitempty"`
}

// collect fetches the reports of the daemons. It fails if no daemon responds.
func (c *command) collect(ctx context.Context, q status.Query) ([]status.Response, error) {
	if len(c.daemonAddrs) == 0 {
		return nil, inputErrorf("--daemons", "is required: the admin addresses of the daemons")
	}
	responses := status.Collect(ctx, c.daemonAddrs, q, c.timeout)
	for _, a := range responses {
		if a.Err == nil {
			return responses, nil
		}
	}
	return nil, fmt.Errorf("%w: no daemon responded: %w", platform.ErrUnavailable, responses[0].Err)
}

func toWireResponses(responses []status.Response) []wireResponse {
	out := make([]wireResponse, 0, len(responses))
	for _, a := range responses {
		w := wireResponse{Addr: a.Addr}
		if a.Err != nil {
			w.Error = a.Err.Error()
		} else {
			w.Report = &a.Report
		}
		out = append(out, w)
	}
	return out
}

func statusCommand() *command {
	return &command{
		name: "status", usage: "",
		synopsis: "show hosts, settings in force, cells with their leaders, blocked shards, limits of targets, retries, quarantined requests, evacuated zones",
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 0, "no arguments"); err != nil {
				return err
			}
			responses, err := c.collect(ctx, status.Query{})
			if err != nil {
				return err
			}
			if c.output == outputJSON {
				return c.printJSON(toWireResponses(responses))
			}
			c.printHosts(responses)
			cells := status.MergeCells(responses)
			c.printCells(cells)
			c.printBlocked(cells)
			c.printLimits(status.MergeLimits(responses), "")
			c.printCold(status.MergeColdTargets(responses), "")
			c.printRetries(status.MergeRetries(responses), "")
			c.printQuarantined(status.MergeQuarantined(responses), "")
			c.printEvacuations(status.MergeEvacuations(responses))
			return nil
		},
	}
}

// table returns a writer that aligns columns. The caller must flush it.
func (c *command) table() *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(c.Out, 0, 0, padding, ' ', 0)
}

// printHosts prints one line per daemon.
func (c *command) printHosts(responses []status.Response) {
	newest := uint64(0)
	for _, a := range responses {
		newest = max(newest, a.Report.Settings.Number)
	}
	t := c.table()
	fmt.Fprintln(t, "HOST\tZONE\tROLE\tSETTINGS\tSINCE\tSTORE\tSTATE")
	for _, a := range responses {
		r := a.Report
		if a.Err != nil {
			fmt.Fprintf(t, "%s\t-\t-\t-\t-\t-\tno answer\n", a.Addr)
			continue
		}
		number := fmt.Sprint(r.Settings.Number)
		if r.Settings.Number < newest {
			number += " old"
		}
		state := "ready"
		if !r.Ready {
			state = "not ready"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Host, r.Zone, r.Role, number,
			c.formatAge(r.Settings.Since), c.formatAge(r.LastStoreResponse), state)
	}
	_ = t.Flush()
}

// formatAge formats the time since at.
func (c *command) formatAge(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	d := c.Now().Sub(at)
	switch {
	case d < time.Minute:
		return d.Round(time.Second).String()
	case d < time.Hour:
		return fmt.Sprintf("%dm", int(d.Minutes()))
	case d < 48*time.Hour:
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dd", int(d.Hours()/24))
}

// printCells prints one line per cell and one per leaving target. Operators' scripts match
// the column heads.
func (c *command) printCells(cells []status.Cell) {
	if len(cells) == 0 {
		return
	}
	t := c.table()
	fmt.Fprintln(t, "\nSERVICE\tZONE\tLEAD\tTERM\tSHARDS\tOWNED\tDOUBT\tMOVING\tSOLO")
	for _, x := range cells {
		lead := x.Leader
		if lead == "" {
			lead = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", x.Service, x.Zone, lead, x.Term,
			x.Shards, x.Owned, len(x.Blocked), x.Moving, x.SingleKeys)
	}
	_ = t.Flush()
	for _, x := range cells {
		for _, m := range x.Members {
			if m.Leaving {
				fmt.Fprintf(c.Out, "leaving: %s of %s, %d shards left\n", m.Target, x.Service, m.Shards)
			}
		}
	}
}

// printBlocked prints the blocked shards with the reasons. Operators' scripts match
// "in doubt".
func (c *command) printBlocked(cells []status.Cell) {
	left := maxBlockedLines
	for _, x := range cells {
		for _, d := range x.Blocked {
			if left == 0 {
				fmt.Fprintln(c.Out, "more in doubt: see --output json")
				return
			}
			left--
			fmt.Fprintf(c.Out, "in doubt: %s shard %d", x.Service, d.Shard)
			if !d.Since.IsZero() {
				fmt.Fprintf(c.Out, " for %s", c.formatAge(d.Since))
			}
			fmt.Fprintln(c.Out)
			c.printWrapped(d.Reason)
		}
	}
}

// printLimits prints the rate limits of one target, or of all targets if name is empty.
func (c *command) printLimits(limits []status.Limit, name string) {
	for _, l := range limits {
		if name == "" || name == l.Target {
			fmt.Fprintf(c.Out, "limited: %s of %s to %g requests per second, first seen by %s %s ago, confirmed %s ago, %d requests refused\n",
				l.Target, l.Service, l.Rate, orNone(l.Source), c.formatAge(l.Since), c.formatAge(l.Confirmed), l.Refused)
		}
	}
}

// printRetries prints the retry budget of one service, or of all if the name is empty. It
// leaves out services without retries.
func (c *command) printRetries(budgets []status.Retries, service string) {
	for _, r := range budgets {
		if (service == "" || service == r.Service) && r.Made+r.Denied > 0 {
			fmt.Fprintf(c.Out, "retries: of %s, %d made, %d denied, %.1f of %.1f left now, slack divided by %d, used by %d hosts\n",
				r.Service, r.Made, r.Denied, r.Left, r.Limit, r.Hosts, r.Sharing)
		}
	}
}

// printEvacuations prints the evacuated zones.
func (c *command) printEvacuations(zones []status.Evacuation) {
	for _, e := range zones {
		fmt.Fprintf(c.Out, "evacuated: zone %s for %s, %d targets, %d ranges left\n", e.Zone, c.formatAge(e.Since), e.Targets, e.Ranges)
	}
}

// printWrapped prints text in lines of at most lineWidth, indented by two spaces.
func (c *command) printWrapped(text string) {
	line := " "
	for word := range strings.FieldsSeq(text) {
		if len(line)+1+len(word) > lineWidth {
			fmt.Fprintln(c.Out, line)
			line = " "
		}
		line += " " + word
	}
	fmt.Fprintln(c.Out, line)
}

func explainCommand() *command {
	return &command{
		name: "explain", usage: "SERVICE KEY",
		synopsis: "show the owner of a key, the last moves with their evidence, and the owner's rate limit, and the service's retries and quarantined requests, and evacuated zones",
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 2, 2, c.usage); err != nil {
				return err
			}
			responses, err := c.collect(ctx, status.Query{Service: key.Service(args[0]), Key: args[1]})
			if err != nil {
				return err
			}
			found := responsesWithKey(responses)
			if len(found) == 0 {
				return errors.New("no daemon that responded knows a cell with this key")
			}
			if c.output == outputJSON {
				return c.printJSON(toWireResponses(found))
			}
			c.printKey(found)
			if owner := found[0].Report.Key.Owner; owner != "" {
				c.printLimits(status.MergeLimits(responses), owner)
				c.printCold(status.MergeColdTargets(responses), owner)
			}
			c.printRetries(status.MergeRetries(responses), args[0])
			c.printQuarantined(status.MergeQuarantined(responses), args[0])
			c.printEvacuations(status.MergeEvacuations(responses))
			return nil
		},
	}
}

// responsesWithKey returns the responses that include the key, newest first.
func responsesWithKey(responses []status.Response) []status.Response {
	var out []status.Response
	for _, a := range responses {
		if a.Err != nil || a.Report.Key == nil {
			continue
		}
		out = append(out, a)
		for i := len(out) - 1; i > 0 && newerKey(out[i].Report.Key, out[i-1].Report.Key); i-- {
			out[i], out[i-1] = out[i-1], out[i]
		}
	}
	return out
}

func newerKey(a, b *status.Key) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return len(a.Moves) > len(b.Moves)
}

// printKey prints the newest location of the key, then the daemons that report another
// owner.
func (c *command) printKey(found []status.Response) {
	k := found[0].Report.Key
	location := fmt.Sprintf("shard %d", k.Shard)
	if k.Range != "" {
		location = "range " + k.Range
	}
	if k.SingleKey {
		location += ", a single-key shard"
	}
	if k.Zone != "" {
		location += ", in the custody of " + k.Zone
	}
	fmt.Fprintf(c.Out, "%s %s: %s\n", k.Service, k.Key, location)
	owner := k.Owner
	if owner == "" {
		owner = "none: " + k.Reason
	}
	fmt.Fprintf(c.Out, "owner: %s\nepoch: %d, term %d\n", owner, k.Epoch, k.Term)
	if k.Standby != "" {
		fmt.Fprintf(c.Out, "standby: %s\n", k.Standby)
	}
	moves := k.Moves[max(0, len(k.Moves)-maxMoveLines):]
	for _, m := range moves {
		fmt.Fprintf(c.Out, "moved %s ago: %s to %s, epoch %d, %s\n", c.formatAge(m.At), orNone(m.From), orNone(m.To), m.Epoch, m.Evidence)
	}
	for _, a := range found[1:] {
		if o := a.Report.Key; o.Owner != k.Owner {
			fmt.Fprintf(c.Out, "%s (%s) reports %s at epoch %d, term %d\n", a.Report.Host, a.Report.Role, orNone(o.Owner), o.Epoch, o.Term)
		}
	}
}

// orNone returns s, or "none" if it is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
