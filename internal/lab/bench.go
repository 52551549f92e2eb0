package lab

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"

	"github.com/google/subcommands"

	"citrontray.example/citrontray/internal/bench"
	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/logging"
)

// The files that the script hands over: requests go out on one, answers come
// in on the other.
const (
	requestsFile = 3
	answersFile  = 4
)

// demoScenario is the one whose report ends in the demo's line.
const demoScenario bench.Name = "demo"

// benchCommand runs one scenario; a script starts the daemons for it.
type benchCommand struct {
	scenario, preset, hosts, platform, processes string

	load float64
	seed uint64
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "run one scenario and print its figures" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench --scenario NAME --preset NAME --hosts FILE --platform IP:PORT --processes DIR

Runs the stand-ins and the load of one scenario. A process of the system starts
no other, so a script starts the daemons: scripts/bench.sh calls this command
and does what it asks for, on file descriptors 3 (requests) and 4 (answers).
Use: make bench SCENARIO=steady PRESET=agency
`
}

// SetFlags implements subcommands.Command.
func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "steady", "scenario; see citrontray-lab scenarios")
	f.StringVar(&c.preset, "preset", "agency", "preset, agency or consortium")
	f.StringVar(&c.hosts, "hosts", "", "file with the entry hosts and their addresses")
	f.StringVar(&c.platform, "platform", "", "address for the stand-in of the platform, IP:PORT")
	f.StringVar(&c.processes, "processes", "", "directory with the pid files of the daemons")
	f.Float64Var(&c.load, "load", 0, "part of the targets' capacity to load, in place of the scenario's")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the load")
}

// Execute implements subcommands.Command.
func (c *benchCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	config, err := c.config(o)
	if err != nil {
		return o.exit(err)
	}
	report, err := bench.New(config).Execute(ctx)
	if err != nil {
		return o.exit(err)
	}
	report.Write(o.out)
	if config.Scenario.Name == demoScenario {
		fmt.Fprintln(o.out, report.DemoLine())
	}
	if len(report.Violations) > 0 {
		return o.exit(errInvariant)
	}
	return o.exit(nil)
}

// config reads the flags and the files that they name. All findings come
// together.
func (c *benchCommand) config(o output) (bench.Config, error) {
	var findings finding.List
	scenario, ok := bench.Find(bench.Name(c.scenario))
	if !ok {
		findings.Add("--scenario", fmt.Sprintf("there is no scenario %q", c.scenario), "see citrontray-lab scenarios")
	}
	if c.load > 0 {
		scenario.Load = c.load
	}
	addr, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		findings.Add("--platform", fmt.Sprintf("%q is not an address", c.platform), "write IP:PORT")
	}
	hosts, err := bench.ReadHosts(c.hosts)
	if err != nil {
		findings.Add("--hosts", err.Error(), "see scripts/bench.sh")
	}
	p, s := readPreset(&findings, c.preset)
	return bench.Config{
		Scenario:   scenario,
		Preset:     p,
		Settings:   s,
		Hosts:      hosts,
		Platform:   addr,
		Supervisor: bench.NewSupervisor(os.NewFile(requestsFile, "requests"), os.NewFile(answersFile, "answers")),
		Processes:  c.processes,
		Seed:       c.seed,
		Log:        logging.Component(logging.New(o.errOut, slog.LevelInfo, false), "bench"),
	}, findings.Err()
}
