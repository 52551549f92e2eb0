// Package lab implements the command line of citrontray-lab.
package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/version"
)

// errInvariant is returned if a run completed but violated an invariant.
var errInvariant = errors.New("an invariant was violated")

// Main runs the program and returns its exit code: 0 on success, 1 if a run failed or
// violated an invariant, 2 for invalid input.
func Main(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("citrontray-lab", flag.ContinueOnError)
	flags.SetOutput(errOut)
	showVersion := flags.Bool("version", false, "print the version and exit")
	commander := subcommands.NewCommander(flags, "citrontray-lab")
	commander.Output, commander.Error = out, errOut
	for _, c := range []subcommands.Command{
		&benchCommand{}, &platformCommand{}, &targetsCommand{}, &loadCommand{},
		&checkCommand{}, &portsCommand{}, &presetCommand{}, &scenariosCommand{},
	} {
		commander.Register(c, "")
	}
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return option.ExitUsage
	}
	if *showVersion {
		fmt.Fprintln(out, "citrontray-lab", version.String())
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx, output{out: out, errOut: errOut}))
}

// output holds the streams that a command writes to.
type output struct{ out, errOut io.Writer }

// outputOf returns the output that Main passed to a command.
func outputOf(args []any) output {
	if len(args) > 0 {
		if o, ok := args[0].(output); ok {
			return o
		}
	}
	return output{out: os.Stdout, errOut: os.Stderr}
}

// exit prints the error, if any, and returns the exit status for it.
func (o output) exit(err error) subcommands.ExitStatus {
	var findings *finding.Error
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &findings):
		fmt.Fprintln(o.errOut, findings.Error())
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(o.errOut, "citrontray-lab:", err)
	return subcommands.ExitFailure
}
