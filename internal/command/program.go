package command

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"citrontray.example/citrontray/internal/version"
)

// Groups of commands in the help.
const (
	groupSettings = "settings"
	groupHosts    = "hosts and targets"
	groupLocal    = "local commands"
)

const helpText = `citrontray: the operators' command line

Set the addresses and the credential once, in the environment:
  export CITRONTRAY_OPERATORS=10.0.0.1:7003,10.0.0.2:7003
  export CITRONTRAY_AUTHORITY=/etc/citrontray/ca.pem
  export CITRONTRAY_CREDENTIAL=...

First steps:
  citrontray get                        print the settings in force
  citrontray apply -f FILE --dry-run    show what a file would change
  citrontray apply -f FILE              apply the file
  citrontray status                     show the state of the hosts

Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict with another write,
4 store or hosts unavailable, nothing was changed, 5 outcome of a write unknown

`

// Run runs the program with its arguments, without the program's name, and returns the
// exit code.
func Run(ctx context.Context, env *Env, args []string) int {
	flags := flag.NewFlagSet("citrontray", flag.ContinueOnError)
	flags.SetOutput(env.Err)
	showVersion := flags.Bool("version", false, "print the version")
	commander := subcommands.NewCommander(flags, "citrontray")
	commander.Output, commander.Error = env.Out, env.Err
	register(commander, env)
	flags.Usage = func() {
		fmt.Fprint(env.Out, helpText)
		commander.Explain(env.Out)
	}
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return int(ExitDone)
	case err != nil:
		return int(ExitInput)
	case *showVersion:
		fmt.Fprintln(env.Out, "citrontray", version.String())
		return int(ExitDone)
	case flags.NArg() == 0:
		flags.Usage()
		return int(ExitInput)
	}
	return int(commander.Execute(ctx))
}

// grouped is a command with its group in the help.
type grouped struct {
	*command
	group string
}

// commands returns all commands.
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
		{declarationCommand("drain", "keep new work off a target or zone and move its shards away", "drains", false), groupHosts},
		{declarationCommand("undrain", "end a drain", "drains", true), groupHosts},
		{declarationCommand("lost", "declare a target, host or zone lost, after it has been switched off", "losses", false), groupHosts},
		{declarationCommand("found", "withdraw a loss declaration", "losses", true), groupHosts},
		{statusCommand(), groupHosts},
		{explainCommand(), groupHosts},
		{topCommand(), groupHosts},
		{quarantineCommand(), groupHosts},
		{checkCommand(), groupLocal},
		{credentialCommand(), groupLocal},
		{keysCommand(), groupLocal},
		{completionCommand(), groupLocal},
		{referenceCommand(), groupLocal},
	}
}

func register(commander *subcommands.Commander, env *Env) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	for _, g := range commands() {
		g.Env = env
		commander.Register(g.command, g.group)
	}
}
