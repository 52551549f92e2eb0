package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/settings"
)

// writeFlags holds the flags of the commands that write.
type writeFlags struct {
	reason string
	dryRun bool
	expect uint64
	file   string
}

func (w *writeFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&w.reason, "reason", "", "reason for the history")
	f.BoolVar(&w.dryRun, "dry-run", false, "validate and show the differences, write nothing")
	f.Uint64Var(&w.expect, "expect", 0, "revision that you have seen; the write conflicts if one of its paths was changed since")
}

func (w *writeFlags) setFile(f *flag.FlagSet) {
	f.StringVar(&w.file, "f", "", "settings file, - for standard input")
}

// readFile reads the settings file.
func (w *writeFlags) readFile(c *command) ([]byte, error) {
	switch w.file {
	case "":
		return nil, inputErrorf("-f", "is required")
	case "-":
		return io.ReadAll(io.LimitReader(c.In, settings.MaxFileBytes+1))
	}
	file, err := os.ReadFile(w.file)
	if err != nil {
		return nil, inputErrorf("-f", "%s", err.Error())
	}
	return file, nil
}

// send sends a write request and prints its result.
func (w *writeFlags) send(ctx context.Context, c *command, request operator.WriteRequest) error {
	client, err := c.api()
	if err != nil {
		return err
	}
	return w.sendTo(ctx, c, client, request)
}

func (w *writeFlags) sendTo(ctx context.Context, c *command, client operator.API, request operator.WriteRequest) error {
	request.ID, request.Reason, request.DryRun = uuid.NewString(), w.reason, w.dryRun
	if w.expect > 0 {
		request.Expect = w.expect
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := client.Write(ctx, request)
	if err != nil {
		return err
	}
	return c.printResult(out, w.dryRun)
}

func applyCommand() *command {
	var w writeFlags
	return &command{
		name: "apply", usage: "-f FILE [--dry-run] [--reason TEXT]",
		synopsis: "apply a settings file, as a whole or not at all",
		flags:    func(f *flag.FlagSet) { w.setFlags(f); w.setFile(f) },
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 0, c.usage); err != nil {
				return err
			}
			file, err := w.readFile(c)
			if err != nil {
				return err
			}
			// A syntax error is reported before anything is sent.
			if _, err := settings.Parse(file); err != nil {
				return err
			}
			return w.send(ctx, c, operator.WriteRequest{File: file})
		},
	}
}

func diffCommand() *command {
	w := writeFlags{dryRun: true}
	return &command{
		name: "diff", usage: "-f FILE",
		synopsis: "show what apply would change, and write nothing",
		flags:    w.setFile,
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 0, 0, c.usage); err != nil {
				return err
			}
			file, err := w.readFile(c)
			if err != nil {
				return err
			}
			return w.send(ctx, c, operator.WriteRequest{File: file})
		},
	}
}

func setCommand() *command {
	var w writeFlags
	return &command{
		name: "set", usage: "PATH FIELD=VALUE... [--reason TEXT]",
		synopsis: "change fields of a setting, or create it; list values are separated by commas, FIELD= removes a field",
		flags:    w.setFlags,
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 2, -1, c.usage); err != nil {
				return err
			}
			client, err := c.api()
			if err != nil {
				return err
			}
			view, err := client.Read(ctx)
			if err != nil {
				return err
			}
			item, err := applyAssignments(view, settings.Path(args[0]), args[1:])
			if err != nil {
				return err
			}
			request := operator.WriteRequest{File: []byte(settings.Format([]settings.Item{item})), Expect: view.Number}
			return w.sendTo(ctx, c, client, request)
		},
	}
}

// applyAssignments returns the item at path with the assignments applied.
func applyAssignments(view operator.View, path settings.Path, assignments []string) (settings.Item, error) {
	item := settings.Item{Path: path}
	if i := slices.IndexFunc(view.Items, func(i settings.Item) bool { return i.Path == path }); i >= 0 {
		item.Fields = slices.Clone(view.Items[i].Fields)
	}
	for _, a := range assignments {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			return item, inputErrorf(a, "is not FIELD=VALUE")
		}
		item.Fields = slices.DeleteFunc(item.Fields, func(f settings.Field) bool { return f.Name == name })
		if value == "" {
			continue
		}
		field := settings.Field{Name: name, Values: []string{value}}
		if settings.IsList(path, name) {
			field.List, field.Values = true, strings.Split(value, ",")
		}
		item.Fields = append(item.Fields, field)
	}
	return item, nil
}

func deleteCommand() *command {
	var w writeFlags
	return &command{
		name: "delete", usage: "PATH... [--reason TEXT]",
		synopsis: "delete settings, all of them or none",
		flags:    w.setFlags,
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 1, -1, c.usage); err != nil {
				return err
			}
			return w.send(ctx, c, operator.WriteRequest{File: deletionFile(args)})
		},
	}
}

// deletionFile returns a settings file that deletes the paths.
func deletionFile(paths []string) []byte {
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "%s: null\n", strconv.Quote(p))
	}
	return []byte(b.String())
}

func rollbackCommand() *command {
	var w writeFlags
	return &command{
		name: "rollback", usage: "REVISION [PATH] [--dry-run] [--reason TEXT]",
		synopsis: "restore the values of an earlier revision, of all settings or those below a path, as a new revision",
		flags:    w.setFlags,
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 1, 2, c.usage); err != nil {
				return err
			}
			request := operator.WriteRequest{}
			if len(args) > 1 {
				request.Below = settings.Path(args[1])
			}
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || number == 0 {
				return inputErrorf("REVISION", "%q is not a revision number", args[0])
			}
			if w.reason == "" {
				w.reason = "rollback to " + args[0]
			}
			request.Rollback = number
			return w.send(ctx, c, request)
		},
	}
}

// declaration is a command that makes or withdraws a drain or a loss declaration.
type declaration struct {
	writeFlags
	kind     string // drains or losses
	withdraw bool
}

// declarationCommand returns the command drain, undrain, lost or found.
func declarationCommand(name, synopsis, kind string, remove bool) *command {
	m := declaration{kind: kind, withdraw: remove}
	usage := "target|zone NAME"
	if kind == "losses" {
		usage = "target|host|zone NAME"
	}
	return &command{
		name: name, synopsis: synopsis, usage: usage + " --reason TEXT",
		flags: m.setFlags,
		run: func(ctx context.Context, c *command, args []string) error {
			if err := checkArgs(args, 2, 2, c.usage); err != nil {
				return err
			}
			return m.run(ctx, c, args[0], args[1])
		},
	}
}

func (m *declaration) run(ctx context.Context, c *command, kind, name string) error {
	path := "platform/" + m.kind + "/" + kind + "s/" + name
	if m.withdraw {
		return m.send(ctx, c, operator.WriteRequest{File: deletionFile([]string{path})})
	}
	if m.reason == "" {
		return inputErrorf("--reason", "is required to tell other operators why")
	}
	item := settings.Item{Path: settings.Path(path)}
	item.Fields = append(item.Fields, settings.Field{Name: "reason", Values: []string{m.reason}})
	if m.kind == "losses" {
		item.Fields = append(item.Fields, settings.Field{Name: "by", Values: []string{c.User}})
	}
	return m.send(ctx, c, operator.WriteRequest{File: []byte(settings.Format([]settings.Item{item}))})
}
