package command

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"citrontray.example/citrontray/internal/version"
)

// The groups of commands in the help.
const (
	groupSettings = "settings"
	groupHosts    = "hosts and targets"
	groupLocal    = "this machine alone"
)

const helpText = `citrontray: the operators' command line

Say where to go once, in the environment:
  export CITRONTRAY_OPERATORS=10.0.0.1:7003,10.0.0.2:7003
  export CITRONTRAY_AUTHORITY=/etc/citrontray/ca.pem
  export CITRONTRAY_CREDENTIAL=...

First steps:
  citrontray get                        what is in force
  citrontray apply -f FILE --dry-run    what a file would change
  citrontray apply -f FILE              make it accepted
  citrontray status                     what the hosts do

Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another write,
4 store or hosts unavailable and nothing changed, 5 outcome of a write unknown

`

// Run runs the program with its arguments, the program's name left out, and
// returns the exit code.
func Run(ctx context.Context, shell *Env, args []string) int {
	flags := flag.NewFlagSet("citrontray", flag.ContinueOnError)
	flags.SetOutput(shell.Err)
	showVersion := flags.Bool("version", false, "print the version")
	commander := subcommands.NewCommander(flags, "citrontray")
	commander.Output, commander.Error = shell.Out, shell.Err
	register(commander, shell)
	flags.Usage = func() {
		fmt.Fprint(shell.Out, helpText)
		commander.Explain(shell.Out)
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return int(ExitDone)
	case err != nil:
		return int(ExitInput)
	case *showVersion:
		fmt.Fprintln(shell.Out, "citrontray", version.String())
		return int(ExitDone)
	case flags.NArg() == 0:
		flags.Usage()
		return int(ExitInput)
	}
	return int(commander.Execute(ctx))
}

// grouped is a command and where it stands in the help.
type grouped struct {
	*command
	group string
}

// commands lists all commands.
func commands() []grouped {
	return []grouped{
		{getCommand(), groupSettings},
		{setCommand(), groupSettings},
		{applyCommand(), groupSettings},
		{diffCommand(), groupSettings},
		{deleteCommand(), groupSettings},
		{historyCommand(), groupSettings},
		{rollbackCommand(), groupSettings},
		{watchCommand(), groupSettings},
		{declarationCommand("drain", "give a target or zone no new work and move its shards away", "drains", false), groupHosts},
		{declarationCommand("undrain", "end a drain", "drains", true), groupHosts},
		{declarationCommand("lost", "declare a target, host or zone lost, after it was switched off", "losses", false), groupHosts},
		{declarationCommand("found", "end a declaration of loss", "losses", true), groupHosts},
		{statusCommand(), groupHosts},
		{explainCommand(), groupHosts},
		{topCommand(), groupHosts},
		{credentialCommand(), groupLocal},
		{keysCommand(), groupLocal},
		{completionCommand(), groupLocal},
		{referenceCommand(), groupLocal},
	}
}

func register(commander *subcommands.Commander, shell *Env) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	for _, g := range commands() {
		g.Env = shell
		commander.Register(g.command, g.group)
	}
}
