package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/google/subcommands"
	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/bench"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/load"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	headerTimeout = time.Minute
	closeTimeout  = 2 * time.Second
)

// adminPrefix is the path prefix of the admin endpoints.
const adminPrefix = "/lab/"

// platformCommand runs the fake platform.
type platformCommand struct{ address, hosts string }

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run the fake of the platform's service" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return "platform --address IP:PORT [--hosts FILE]\n\nThe admin endpoints are below /lab/ at the same address.\n"
}

// SetFlags implements subcommands.Command.
func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:9700", "address to listen on")
	f.StringVar(&c.hosts, "hosts", "", "file with the entry hosts for the platform's list; see scripts/cluster.sh")
}

// Execute implements subcommands.Command.
func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	o := outputOf(args)
	var findings finding.List
	addr := parseAddress(&findings, "--address", c.address)
	var hosts []bench.Host
	if c.hosts != "" {
		var err error
		if hosts, err = bench.ReadHosts(c.hosts); err != nil {
			findings.Add("--hosts", err.Error(), "see scripts/cluster.sh")
		}
	}
	if err := findings.Err(); err != nil {
		return o.exit(err)
	}
	p := fake.NewPlatform()
	for _, host := range hosts {
		p.SetHost(time.Now(), host.Row(place.Live))
	}
	store, admin := platform.NewHandler(p), fake.NewPlatformAdmin(p)
	return o.exit(serve(ctx, addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, adminPrefix) {
			admin.ServeHTTP(w, r)
			return
		}
		store.ServeHTTP(w, r)
	})))
}

// targetsCommand runs the fake targets of a preset.
type targetsCommand struct{ address, platform, preset string }

// Name implements subcommands.Command.
func (*targetsCommand) Name() string { return "targets" }

// Synopsis implements subcommands.Command.
func (*targetsCommand) Synopsis() string { return "run fakes of all targets of a preset" }

// Usage implements subcommands.Command.
func (*targetsCommand) Usage() string {
	return "targets --address IP:PORT --platform IP:PORT --preset NAME\n\nThe address serves the admin endpoints; each target has its own port.\n"
}

// SetFlags implements subcommands.Command.
func (c *targetsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:9710", "address of the admin endpoints")
	f.StringVar(&c.platform, "platform", "127.0.0.1:9700", "address of the fake platform")
	f.StringVar(&c.preset, "preset", "agency", "preset, agency or consortium")
}

// Execute implements subcommands.Command.
func (c *targetsCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	return outputOf(args).exit(c.run(ctx))
}

func (c *targetsCommand) run(ctx context.Context) error {
	var findings finding.List
	admin := parseAddress(&findings, "--address", c.address)
	store := parseAddress(&findings, "--platform", c.platform)
	p, s := readPreset(&findings, c.preset)
	if err := findings.Err(); err != nil {
		return err
	}
	targets := fake.NewTargetSet(load.TargetGroups(p, s, 1), p.Zones)
	if err := targets.Start(); err != nil {
		return err
	}
	var rows []place.TargetRow
	for _, t := range targets.Targets() {
		rows = append(rows, t.Row(place.Live))
	}
	if err := fake.NewAdminClient(store).SetTargets(ctx, rows); err != nil {
		return err
	}
	err := serve(ctx, admin, fake.NewTargetAdmin(targets))
	stopCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	targets.Stop(stopCtx)
	return err
}

// parseAddress parses the value of the named flag.
func parseAddress(findings *finding.List, name, value string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		findings.Add(name, fmt.Sprintf("%q is not an address", value), "write IP:PORT")
	}
	return addr
}

// serve serves handler at addr until ctx is done.
func serve(ctx context.Context, addr netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}
