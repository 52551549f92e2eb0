package lab

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/bench"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/load"
)

// readyTimeout limits the wait until all entry hosts are ready.
const readyTimeout = 15 * time.Second

// loadCommand generates load on a running deployment and checks the responses.
type loadCommand struct {
	hosts, targets, preset string

	fraction float64
	length   time.Duration
	seed     uint64
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "generate load on a running deployment and check each response"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load --hosts FILE --targets IP:PORT --preset NAME [--part 0.25] [--length 10s]\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "", "file with the entry hosts; see scripts/cluster.sh")
	f.StringVar(&c.targets, "targets", "127.0.0.1:9710", "admin address of the targets")
	f.StringVar(&c.preset, "preset", "agency", "preset, agency or consortium")
	f.Float64Var(&c.fraction, "part", 0.25, "load as a fraction of the targets' capacity")
	f.DurationVar(&c.length, "length", 10*time.Second, "duration of the load")
	f.Uint64Var(&c.seed, "seed", 1, "random seed of the load")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	return o.exit(c.run(ctx, o))
}

func (c *loadCommand) run(ctx context.Context, o output) error {
	var findings finding.List
	targets := parseAddress(&findings, "--targets", c.targets)
	p, s := readPreset(&findings, c.preset)
	hosts, err := bench.ReadHosts(c.hosts)
	if err != nil {
		findings.Add("--hosts", err.Error(), "see scripts/cluster.sh")
	}
	if err := findings.Err(); err != nil {
		return err
	}
	balancer := load.NewBalancer(bench.EntryHosts(hosts))
	if err := waitReady(ctx, balancer, len(hosts)); err != nil {
		return err
	}
	g := load.NewGenerator(load.NewPlan(p, s, c.fraction, 1), balancer, fmt.Sprintf("l%d-", time.Now().UnixNano()), c.seed)
	loadCtx, cancel := context.WithTimeout(ctx, c.length)
	defer cancel()
	group, loadCtx := errgroup.WithContext(loadCtx)
	group.Go(func() error { return balancer.Run(loadCtx) })
	group.Go(func() error { return g.Run(loadCtx) })
	if err := group.Wait(); err != nil {
		return err
	}
	admin := fake.NewAdminClient(targets)
	summary, err := g.Result().Summarize(time.Now(), func(operations []string) ([]uint32, error) {
		return admin.RunsOf(ctx, operations)
	})
	if err != nil {
		return err
	}
	bench.WriteSummary(o.out, summary)
	if summary.FalseNotRun+summary.FalseDone+summary.Lost+summary.Wrong > 0 {
		return errInvariant
	}
	return nil
}

func waitReady(ctx context.Context, balancer *load.Balancer, hosts int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for balancer.Refresh(ctx) < hosts {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("not all of %d entry hosts are ready after %s", hosts, readyTimeout)
		}
	}
	return nil
}

// checkCommand reports whether the invariants held at the targets.
type checkCommand struct{ targets string }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "report whether all invariants held at the targets" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check --targets IP:PORT\n" }

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "targets", "127.0.0.1:9710", "admin address of the targets")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	var found finding.List
	addr := parseAddress(&found, "--targets", c.targets)
	if err := found.Err(); err != nil {
		return o.exit(err)
	}
	counts, violations, err := fake.NewAdminClient(addr).Ledger(ctx)
	if err != nil {
		return o.exit(err)
	}
	fmt.Fprintf(o.out, "runs %d 1\nmoves %d 1\nsheds %d 1\nmisrouted %d 1\ndoubled_owner %d 1\ndoubled_run %d 1\n",
		counts.Runs, counts.Moves, counts.Sheds, counts.Misrouted, counts.DuplicateOwners, counts.DuplicateRuns)
	for _, text := range violations {
		fmt.Fprintln(o.out, "broken:", text)
	}
	if counts.DuplicateOwners+counts.DuplicateRuns > 0 {
		return o.exit(errInvariant)
	}
	return o.exit(nil)
}
