// Package command implements the operators' command line: commands that read or write
// settings through an operator.API, or show the state of the hosts.
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
	"citrontray.example/citrontray/internal/traffic"
)

// Exit codes of the program.
const (
	ExitDone        subcommands.ExitStatus = 0
	ExitFailed      subcommands.ExitStatus = 1
	ExitInput       subcommands.ExitStatus = option.ExitUsage
	ExitConflict    subcommands.ExitStatus = 3
	ExitUnavailable subcommands.ExitStatus = 4
	ExitUnresolved  subcommands.ExitStatus = 5
)

// Env is the environment of the commands.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// Getenv returns an environment variable, Now the present time.
	Getenv func(string) string
	Now    func() time.Time
	// DecodeConfig decodes a configuration in the form that the operators send.
	DecodeConfig func(body []byte) (*traffic.Config, error)
	// User is the user's name, for the history of direct writes.
	User string
}

// command is a command of the program. It implements subcommands.Command.
type command struct {
	*Env
	connection
	name, synopsis, usage string
	// flags adds the command's own flags; run gets the operands.
	flags func(f *flag.FlagSet)
	run   func(ctx context.Context, c *command, args []string) error
	// local is set if the command makes no calls and needs no flags for them.
	local bool
	// findings are problems with flags that the environment sets.
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

// SetFlags implements subcommands.Command. The environment variable of a flag sets its
// default.
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

// operands returns the arguments that are not flags. Flags may follow operands, as in:
// drain balance-3 --reason "new disk".
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

// inputErrorf returns an error with one finding about the user's input.
func inputErrorf(location, format string, args ...any) error {
	var found finding.List
	found.Addf(location, format, args...)
	return found.Err()
}

// checkArgs checks the number of arguments; high < 0 means no upper limit.
func checkArgs(args []string, low, high int, usage string) error {
	if len(args) < low || high >= 0 && len(args) > high {
		return inputErrorf("arguments", "must be: %s", usage)
	}
	return nil
}

// exitStatus returns the exit code for an error.
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

// printError prints an error for the user.
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
		fmt.Fprintln(c.Err, "\nread the current settings before you write again")
	case errors.As(err, &denied):
		fmt.Fprintln(c.Err, "not accepted:", denied.Text)
	case errors.Is(err, settings.ErrUnresolved):
		fmt.Fprintln(c.Err, err)
		fmt.Fprintln(c.Err, "the write may have taken effect: check citrontray history once the store is available")
	case errors.Is(err, settings.ErrNotAccepted):
		fmt.Fprintln(c.Err, "not accepted, nothing was changed:", err)
	default:
		fmt.Fprintln(c.Err, err)
	}
}
