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

// File descriptors that the script passes: the bench writes requests to one and reads
// responses from the other.
const (
	requestsFile  = 3
	responsesFile = 4
)

// demoScenario is the scenario whose report ends with Report.DemoLine.
const demoScenario bench.Name = "demo"

// benchCommand runs one scenario. A script starts the daemons.
type benchCommand struct {
	scenario, preset, hosts, platform, processes string

	load float64
	seed uint64
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "run one scenario and print its measurements" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench --scenario NAME --preset NAME --hosts FILE --platform IP:PORT --processes DIR

Runs the fakes and the load of one scenario. A process of the system starts no
other, so a script starts the daemons: scripts/bench.sh runs this command and
carries out its requests, over file descriptors 3 (requests) and 4 (responses).
Use: make bench SCENARIO=steady PRESET=agency
`
}

// SetFlags implements subcommands.Command.
func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "steady", "scenario; see citrontray-lab scenarios")
	f.StringVar(&c.preset, "preset", "agency", "preset, agency or consortium")
	f.StringVar(&c.hosts, "hosts", "", "file with the entry hosts and their addresses")
	f.StringVar(&c.platform, "platform", "", "address for the fake platform, IP:PORT")
	f.StringVar(&c.processes, "processes", "", "directory with the pid files of the daemons")
	f.Float64Var(&c.load, "load", 0, "load as a fraction of the targets' capacity, instead of the scenario's")
	f.Uint64Var(&c.seed, "seed", 1, "random seed of the load")
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

// config reads the flags and the files that they name. It reports all findings together.
func (c *benchCommand) config(o output) (bench.Config, error) {
	var findings finding.List
	scenario, ok := bench.Find(bench.Name(c.scenario))
	if !ok {
		findings.Add("--scenario", fmt.Sprintf("unknown scenario %q", c.scenario), "see citrontray-lab scenarios")
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
		Supervisor: bench.NewSupervisor(os.NewFile(requestsFile, "requests"), os.NewFile(responsesFile, "answers")),
		Processes:  c.processes,
		Seed:       c.seed,
		Log:        logging.Component(logging.New(o.errOut, slog.LevelInfo, false), "bench"),
	}, findings.Err()
}
