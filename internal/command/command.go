// Package command is the operators' command line: each command reads or writes
// settings through a desk, or shows the state of the hosts.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// The exit codes of the program.
const (
	ExitDone        subcommands.ExitStatus = 0
	ExitFailed      subcommands.ExitStatus = 1
	ExitInput       subcommands.ExitStatus = option.ExitUsage
	ExitConflict    subcommands.ExitStatus = 3
	ExitUnavailable subcommands.ExitStatus = 4
	ExitUnresolved  subcommands.ExitStatus = 5
)

// Env is what the commands have of their surroundings.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// Getenv reads the environment; Now is the present time.
	Getenv func(string) string
	Now    func() time.Time
	// User names the person, for the history of direct writes.
	User string
}

// command is one command of the program. It implements subcommands.Command.
type command struct {
	*Env
	connection
	name, synopsis, usage string
	// flags adds the command's own flags; run gets the arguments.
	flags func(f *flag.FlagSet)
	run   func(ctx context.Context, c *command, args []string) error
	// local commands reach nobody and have no flags for it.
	local bool
	// findings are of flags set by the environment.
	findings finding.List
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return "citrontray " + c.name + " " + c.usage + "\n\n" + c.synopsis + ".\n\n"
}

// SetFlags implements subcommands.Command. Each flag can be set by its
// environment variable too; the flag itself goes before it.
func (c *command) SetFlags(f *flag.FlagSet) {
	if !c.local {
		c.setFlags(f)
	}
	if c.flags != nil {
		c.flags(f)
	}
	f.VisitAll(func(each *flag.Flag) {
		name := option.EnvName(each.Name)
		each.Usage += " [" + name + "]"
		value := c.Getenv(name)
		if value == "" {
			return
		}
		if err := f.Set(each.Name, value); err != nil {
			c.findings.Add(name, err.Error(), "")
		}
	})
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := operands(f)
	if err == nil {
		err = c.findings.Err()
	}
	if err == nil && !c.local {
		err = c.check()
	}
	if err == nil {
		err = c.run(ctx, c, args)
	}
	if err != nil {
		c.printError(err)
	}
	return exitStatus(err)
}

// operands returns the arguments that are no flags. Flags may follow them, as
// in: drain balance-3 --reason "new disk".
func operands(f *flag.FlagSet) ([]string, error) {
	var out []string
	for args := f.Args(); len(args) > 0; {
		if strings.HasPrefix(args[0], "-") && args[0] != "-" {
			if err := f.Parse(args); err != nil {
				return nil, inputErrorf("flags", "%s", err.Error())
			}
			args = f.Args()
			continue
		}
		out = append(out, args[0])
		args = args[1:]
	}
	return out, nil
}

// inputErrorf returns a finding of what the person typed.
func inputErrorf(place, format string, args ...any) error {
	var found finding.List
	found.Addf(place, format, args...)
	return found.Err()
}

// checkArgs checks the number of arguments; high below zero stands for any.
func checkArgs(args []string, low, high int, usage string) error {
	if len(args) < low || high >= 0 && len(args) > high {
		return inputErrorf("arguments", "should be: %s", usage)
	}
	return nil
}

// exitStatus returns the exit code of an error.
func exitStatus(err error) subcommands.ExitStatus {
	var found *finding.Error
	var conflict *settings.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &found), errors.Is(err, settings.ErrTooLarge):
		return ExitInput
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, settings.ErrUnresolved):
		return ExitUnresolved
	case errors.Is(err, settings.ErrNotAccepted), errors.Is(err, platform.ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailed
}

// printError prints an error for a person.
func (c *command) printError(err error) {
	var found *finding.Error
	var conflict *settings.ConflictError
	var denied *operator.DeniedError
	switch {
	case errors.As(err, &found):
		for _, f := range found.Findings {
			fmt.Fprintln(c.Err, f)
		}
	case errors.As(err, &conflict):
		w := conflict.Winner
		fmt.Fprintf(c.Err, "not accepted: %s was changed at revision %d", conflict.Path, w.Number)
		if w.By != "" {
			fmt.Fprintf(c.Err, " by %s at %s (%s)", w.By, w.At.Format(time.RFC3339), w.Reason)
		}
		fmt.Fprintln(c.Err, "\nread it again and decide anew")
	case errors.As(err, &denied):
		fmt.Fprintln(c.Err, "not accepted:", denied.Text)
	case errors.Is(err, settings.ErrUnresolved):
		fmt.Fprintln(c.Err, err)
		fmt.Fprintln(c.Err, "the write may have taken effect: look for it with citrontray history once the store answers")
	case errors.Is(err, settings.ErrNotAccepted):
		fmt.Fprintln(c.Err, "not accepted, nothing was changed:", err)
	default:
		fmt.Fprintln(c.Err, err)
	}
}
