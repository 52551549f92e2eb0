// Command citrontray-host runs one host of a deployment on the users' platform. The
// process serves client requests and, where it is elected leader, assigns keys to
// targets.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/host"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/site"
	"citrontray.example/citrontray/platform"
)

const (
	// defaultQuarantine is the default of --quarantine, long enough to mend a target.
	defaultQuarantine = 5 * time.Minute
	minQuarantine     = time.Second
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var (
		config     string
		verbose    bool
		quarantine time.Duration
	)
	set := option.New("citrontray-host", "one host of a deployment on the users' platform", os.Stdout)
	set.StringVar(&config, "config", "", "settings file of the platform")
	set.BoolVar(&verbose, "verbose", false, "also log each attempt and each served request")
	set.DurationVar(&quarantine, "quarantine", defaultQuarantine, "time for which a request that ends the targets which run it is refused, before it is tried again")
	if err := set.Read(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return option.ExitUsage
	}
	set.Required("config", config)
	if quarantine < minQuarantine {
		set.Findings.Add("--quarantine", "must be at least "+minQuarantine.String(), "")
	}
	if err := set.Findings.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return option.ExitUsage
	}
	s, store, err := platform.ReadSite(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return option.ExitUsage
	}
	s.Quarantine = quarantine
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	credentials, err := certs.NewUnverified(time.Now(), peer.Identity{Host: s.Host, Zone: s.Zone, Role: peer.RoleLead})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return option.ExitUsage
	}
	dialer := platform.Dialer()
	return host.Main(host.Environment{
		Site:   s,
		Store:  platform.NewStore(store),
		Orders: platform.OrderDialer{},
		Names:  platform.HeaderNames(),
		Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr.String())
		},
		DecodeConfig: platform.DecodeConfig,
		DecodeTarget: platform.DecodeTarget,
		Credentials:  credentials,
		ReadSite: func() (site.Site, error) {
			s, _, err := platform.ReadSite(config)
			return s, err
		},
		LogHandler: logging.NewBoundedHandler(os.Stdout, level),
	})
}
