package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/settings"
)

// watchInterval is the time between two reads of watch.
const watchInterval = time.Second

// wireSettings is the JSON output of get.
type wireSettings struct {
	Revision uint64                    `json:"revision"`
	Local    bool                      `json:"local"`
	Settings map[string]map[string]any `json:"settings"`
}

// wireWriteResult is the JSON output of the commands that write.
type wireWriteResult struct {
	Accepted bool       `json:"accepted"`
	Revision uint64     `json:"revision"`
	Changes  []wireDiff `json:"changes"`
}

type wireDiff struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

type wireWrite struct {
	Revision uint64          `json:"revision"`
	ID       string          `json:"id"`
	At       time.Time       `json:"at"`
	By       string          `json:"by"`
	Reason   string          `json:"reason"`
	Paths    []settings.Path `json:"paths"`
}

// printJSON prints v as indented JSON.
func (c *command) printJSON(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printResult prints the result of an accepted write or a dry run.
func (c *command) printResult(out operator.WriteResult, dryRun bool) error {
	if c.output == outputJSON {
		w := wireWriteResult{Accepted: !dryRun, Revision: out.Number, Changes: []wireDiff{}}
		for _, d := range out.Differences {
			w.Changes = append(w.Changes, wireDiff{string(d.Path), d.Before, d.After})
		}
		return c.printJSON(w)
	}
	for _, d := range out.Differences {
		c.printDifference(d)
	}
	switch {
	case dryRun && len(out.Differences) == 0:
		fmt.Fprintln(c.Out, "no difference")
	case dryRun:
		fmt.Fprintf(c.Out, "%d settings would change\n", len(out.Differences))
	default:
		fmt.Fprintf(c.Out, "accepted as revision %d, %d settings changed\n", out.Number, len(out.Differences))
	}
	return nil
}

// printDifference prints the removed and added lines of one path.
func (c *command) printDifference(d settings.Difference) {
	before, after := strings.SplitAfter(d.Before, "\n"), strings.SplitAfter(d.After, "\n")
	kept := make(map[string]bool)
	for _, line := range after {
		kept[line] = true
	}
	had := make(map[string]bool)
	for _, line := range before {
		had[line] = true
		if line != "" && !kept[line] {
			fmt.Fprint(c.Out, "- ", line)
		}
	}
	for _, line := range after {
		switch {
		case line == "":
		case !had[line]:
			fmt.Fprint(c.Out, "+ ", line)
		case strings.HasPrefix(line, string(d.Path)):
			fmt.Fprint(c.Out, "  ", line)
		}
	}
}

func getCommand() *command {
	return &command{
		name: "get", usage: "[PATH]",
		synopsis: "print the settings in force, or those at or below a path, as a settings file",
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 1, c.usage); err != nil {
				return err
			}
			view, path, err := c.readAt(ctx, args)
			if err != nil {
				return err
			}
			return c.printItems(view, path)
		},
	}
}

// readAt reads the accepted settings and returns them with the path in args, if any.
func (c *command) readAt(ctx context.Context, args []string) (operator.View, settings.Path, error) {
	var path settings.Path
	if len(args) == 1 {
		path = settings.Path(strings.TrimSuffix(args[0], "/"))
	}
	view, err := c.read(ctx)
	return view, path, err
}

// read reads the accepted settings.
func (c *command) read(ctx context.Context) (operator.View, error) {
	client, err := c.api()
	if err != nil {
		return operator.View{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return client.Read(ctx)
}

func (c *command) printItems(view operator.View, path settings.Path) error {
	var items []settings.Item
	for _, item := range view.Items {
		if path.Covers(item.Path) {
			items = append(items, item)
		}
	}
	if len(items) == 0 && path != "" {
		return fmt.Errorf("there is no setting at or below %s", path)
	}
	if c.output != outputJSON {
		origin := ""
		if view.Local {
			origin = ", as known to one host; the store is unavailable"
		}
		fmt.Fprintf(c.Out, "# revision %d%s\n%s", view.Number, origin, settings.Format(items))
		return nil
	}
	out := wireSettings{Revision: view.Number, Local: view.Local, Settings: make(map[string]map[string]any)}
	for _, item := range items {
		fields := make(map[string]any)
		for _, f := range item.Fields {
			if f.List {
				fields[f.Name] = f.Values
				continue
			}
			fields[f.Name] = f.Values[0]
		}
		out.Settings[string(item.Path)] = fields
	}
	return c.printJSON(out)
}

func historyCommand() *command {
	return &command{
		name: "history", usage: "[PATH]",
		synopsis: "list the accepted writes, newest last: revision, time, operator, reason, paths",
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 1, c.usage); err != nil {
				return err
			}
			view, path, err := c.readAt(ctx, args)
			if err != nil {
				return err
			}
			return c.printHistory(view.History, path)
		},
	}
}

func (c *command) printHistory(history []settings.Write, path settings.Path) error {
	out := []wireWrite{}
	for _, w := range history {
		var paths []settings.Path
		for _, p := range w.Paths {
			if path.Covers(p) {
				paths = append(paths, p)
			}
		}
		if len(paths) > 0 || path == "" {
			out = append(out, wireWrite{w.Number, w.ID, w.At, w.By, w.Reason, paths})
		}
	}
	if c.output == outputJSON {
		return c.printJSON(out)
	}
	for _, w := range out {
		c.printWrite(w)
	}
	return nil
}

// printWrite prints one accepted write.
func (c *command) printWrite(w wireWrite) {
	fmt.Fprintf(c.Out, "%d  %s  %s", w.Revision, w.At.Format(time.RFC3339), w.By)
	if w.Reason != "" {
		fmt.Fprintf(c.Out, "  %s", w.Reason)
	}
	fmt.Fprintln(c.Out)
	for _, p := range w.Paths {
		fmt.Fprintf(c.Out, "    %s\n", p)
	}
}

func watchCommand() *command {
	return &command{
		name: "watch", usage: "[PATH]",
		synopsis: "print each write when it is accepted, until interrupted",
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 1, c.usage); err != nil {
				return err
			}
			var path settings.Path
			if len(args) == 1 {
				path = settings.Path(args[0])
			}
			return c.watch(ctx, path)
		},
	}
}

// watch prints accepted writes at or below path until ctx is done. After the first read it
// keeps trying while the store is unavailable.
func (c *command) watch(ctx context.Context, path settings.Path) error {
	view, err := c.read(ctx)
	if err != nil {
		return err
	}
	seen := view.Number
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		view, err := c.read(ctx)
		if err != nil || view.Number <= seen {
			continue
		}
		var added []settings.Write
		for _, w := range view.History {
			if w.Number > seen {
				added = append(added, w)
			}
		}
		if err := c.printHistory(added, path); err != nil {
			return err
		}
		seen = view.Number
	}
}
