package bench

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/load"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

const (
	// settleTimeout limits the time until every shard has an owner and every host is
	// ready; settleInterval is the time between two checks of that.
	settleTimeout  = 15 * time.Second
	settleInterval = 100 * time.Millisecond
	// warmUpTime is how long load is applied before the measurement.
	warmUpTime = 2 * time.Second
	// slowMin and slowMax bound the time of each call to a slow store.
	slowMin = 2 * time.Second
	slowMax = 10 * time.Second
	// stopTimeout limits the graceful stop of the targets.
	stopTimeout = 2 * time.Second
)

// Config configures a run.
type Config struct {
	Scenario Scenario
	Preset   preset.Preset
	Settings *settings.Settings
	Hosts    []Host
	// Platform is the address for the fake platform to listen on.
	Platform   netip.AddrPort
	Supervisor *Supervisor
	// Processes is the directory with the daemons' pid files, named
	// <process>-<host>.pid.
	Processes string
	Seed      uint64
	Log       *slog.Logger
}

// Run is one run of a scenario.
type Run struct {
	Config

	platform    *fake.Platform
	targets     *fake.TargetSet
	network     *fake.Network
	balancer    *load.Balancer
	plan        load.Plan
	generator   *load.Generator
	convergence *Convergence
	drained     drainedTarget
	chosenLead  place.Host // host that KillLead or PauseLead chose
}

// drainedTarget is the target that an operator drained, and when.
type drainedTarget struct {
	target *fake.Target
	since  time.Time
}

// New returns a run that is not started.
func New(config Config) *Run {
	r := &Run{Config: config, platform: fake.NewPlatform(), network: fake.NewNetwork()}
	r.targets = fake.NewTargetSet(load.TargetGroups(config.Preset, config.Settings, config.Scenario.slowdown()), config.Preset.Zones)
	r.balancer = load.NewBalancer(EntryHosts(config.Hosts))
	r.plan = load.NewPlan(config.Preset, config.Settings, config.Scenario.Load, config.Scenario.slowdown())
	r.plan.Hot = config.Scenario.Hot
	daemons := make([]netip.AddrPort, 0, 2*len(config.Hosts))
	for _, host := range config.Hosts {
		daemons = append(daemons, host.LeadAdmin, host.EntryAdmin)
	}
	r.convergence = NewConvergence(r.platform, daemons)
	return r
}

// Execute performs the run and returns its report.
func (r *Run) Execute(ctx context.Context) (Report, error) {
	listener, err := net.Listen("tcp", r.Platform.String())
	if err != nil {
		return Report{}, fmt.Errorf("bench: listen for the fake platform: %w", err)
	}
	server := &http.Server{Handler: platform.NewHandler(r.platform), ReadHeaderTimeout: time.Minute}
	defer server.Close() //nolint:errcheck // the run is over
	if err := r.targets.Start(); err != nil {
		return Report{}, err
	}
	defer r.network.Close()
	if err := r.insertNetwork(); err != nil {
		return Report{}, err
	}
	r.register(time.Now())
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() error { return serve(server, listener) })
	group.Go(func() error { return r.balancer.Run(ctx) })
	var report Report
	group.Go(func() error {
		defer server.Close() //nolint:errcheck // ends the group
		defer cancel()
		report, err = r.runScenario(ctx)
		return err
	})
	return report, group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// insertNetwork puts the fake network between the hosts, if the scenario needs it. The
// platform's list then holds the addresses of the network.
func (r *Run) insertNetwork() error {
	if !r.Scenario.Network {
		return nil
	}
	for i := range r.Hosts {
		host := &r.Hosts[i]
		for _, addr := range []*netip.AddrPort{&host.LeadPeer, &host.EntryPeer} {
			networkAddr, err := r.network.Add(*addr, host.Zone)
			if err != nil {
				return fmt.Errorf("bench: network: %w", err)
			}
			*addr = networkAddr
		}
	}
	return nil
}

// register adds targets and hosts to the platform's list without its usual lag.
func (r *Run) register(now time.Time) {
	r.platform.SetFleetLag(0)
	r.targets.Register(now, r.platform)
	for _, host := range r.Hosts {
		r.platform.SetHost(now, host.Row(place.Live))
	}
	r.platform.SetFleetLag(time.Second)
}

// runScenario starts the daemons, measures the scenario's steps under load, and stops
// the daemons.
func (r *Run) runScenario(ctx context.Context) (Report, error) {
	if err := r.Supervisor.StartAll(r.seeds()); err != nil {
		return Report{}, err
	}
	if err := r.waitSettled(ctx); err != nil {
		return Report{}, errors.Join(err, r.Supervisor.StopAll())
	}
	if err := r.warmUp(ctx); err != nil {
		return Report{}, err
	}
	report, err := r.measure(ctx)
	if err != nil {
		return Report{}, err
	}
	if err := r.Supervisor.StopAll(); err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	r.targets.Stop(stopCtx)
	return report, nil
}

// seeds returns the peer addresses that the daemons contact first.
func (r *Run) seeds() []string {
	const maxSeeds = 6
	seeds := make([]string, min(maxSeeds, len(r.Hosts)))
	for i := range seeds {
		seeds[i] = r.Hosts[i].LeadPeer.String()
	}
	return seeds
}

// waitSettled waits until every shard has an owner and every host is ready.
func (r *Run) waitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		owned, shards := r.owned(time.Now())
		ready := r.balancer.Refresh(ctx)
		if owned == shards && ready == len(r.Hosts) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("bench: not settled after %s: %d of %d shards owned, %d of %d hosts ready",
				settleTimeout, owned, shards, ready, len(r.Hosts))
		}
	}
}

// owned returns the number of shards with an owner and the number of all shards.
func (r *Run) owned(now time.Time) (owned, shards int) {
	for service, count := range r.plan.Shards {
		owned += min(r.targets.Ledger.Owned(now, service), int(count))
		shards += int(count)
	}
	return owned, shards
}

// warmUp loads the deployment without measuring.
func (r *Run) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTime)
	defer cancel()
	return load.NewGenerator(r.plan, r.balancer, "w", r.Seed+1).Run(ctx)
}

// measure performs the scenario's steps under load.
func (r *Run) measure(ctx context.Context) (Report, error) {
	r.generator = load.NewGenerator(r.plan, r.balancer, "m", r.Seed)
	before := r.snapshot()
	loadCtx, cancel := context.WithTimeout(ctx, r.Scenario.Length)
	defer cancel()
	group, loadCtx := errgroup.WithContext(loadCtx)
	group.Go(func() error { return r.generator.Run(loadCtx) })
	group.Go(func() error { return r.runSteps(loadCtx) })
	if r.Scenario.MeasureConvergence {
		group.Go(func() error { return r.convergence.Run(loadCtx) })
	}
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	after := r.snapshot()
	summary, err := r.generator.Result().Summarize(time.Now(), func(operations []string) ([]uint32, error) {
		return r.targets.Ledger.RunsOf(operations), nil
	})
	if err != nil {
		return Report{}, err
	}
	return r.report(before, after, summary), nil
}

// runSteps performs the steps at their times.
func (r *Run) runSteps(ctx context.Context) error {
	start := time.Now()
	for _, step := range r.Scenario.Steps {
		timer := time.NewTimer(time.Until(start.Add(step.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("bench: no time left for %T at %s", step.Action, step.At)
		}
		r.Log.Info("step", "at", step.At, "action", fmt.Sprintf("%T%v", step.Action, step.Action))
		if err := r.do(step.Action); err != nil {
			return err
		}
	}
	return nil
}

// pidFile returns the path of a process's pid file.
func (r *Run) pidFile(host place.Host, process Process) string {
	return filepath.Join(r.Processes, fmt.Sprintf("%s-%s.pid", process, host))
}
