// Package program implements the command line that the daemons share: the flags of an
// entry host, and running a daemon up to its exit code.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/version"
)

// Options are the flags that all daemons take.
type Options struct {
	Host        place.Host
	Zone        place.Zone
	Region      place.Region
	Platform    []netip.AddrPort
	Peer        netip.AddrPort
	Peers       []netip.AddrPort
	Admin       netip.AddrPort
	Keys        string
	StopTimeout time.Duration
	LogJSON     bool
	Verbose     bool
	Version     bool
}

// Defaults are the default values that differ between the daemons.
type Defaults struct {
	Admin       string
	StopTimeout time.Duration
}

// Flags is a flag set with the flags of Options.
type Flags struct {
	*option.Set

	options *Options
	// Unparsed addresses; Check parses them.
	platform, peer, peers, admin string
}

// AddFlags adds the flags of o to set.
func AddFlags(set *option.Set, o *Options, d Defaults) *Flags {
	f := &Flags{Set: set, options: o}
	f.StringVar((*string)(&o.Host), "host", "", "name of this entry host")
	f.StringVar((*string)(&o.Zone), "zone", "", "availability zone of this host")
	f.StringVar((*string)(&o.Region), "region", "", "region of this host")
	f.StringVar(&f.platform, "platform", "", "addresses of the platform's service, IP:PORT[,IP:PORT]; not used by citrontray-entry")
	f.StringVar(&f.peer, "peer-address", "", "UDP address at which other hosts reach this process, IP:PORT")
	f.StringVar(&f.peers, "peers", "", "peer addresses of the lead processes to contact first, IP:PORT[,IP:PORT]")
	f.StringVar(&f.admin, "admin-address", d.Admin, "address of /live, /ready, /metrics and /status")
	f.StringVar(&o.Keys, "keys", "", "directory with the authority's certificate and this host's certificates and keys")
	f.DurationVar(&o.StopTimeout, "stop-timeout", d.StopTimeout, "longest time of a graceful stop")
	f.BoolVar(&o.LogJSON, "log-json", false, "write logs as JSON")
	f.BoolVar(&o.Verbose, "verbose", false, "log debug messages")
	f.BoolVar(&o.Version, "version", false, "print the version and exit")
	return f
}

// Check parses the addresses and records findings for missing or invalid flags.
func (f *Flags) Check() {
	f.Required("host", string(f.options.Host))
	f.Required("zone", string(f.options.Zone))
	f.Required("keys", f.options.Keys)
	f.options.Platform = f.Addresses("platform", f.platform)
	f.options.Peer = f.Address("peer-address", f.peer)
	f.options.Peers = f.Addresses("peers", f.peers)
	f.options.Admin = f.Address("admin-address", f.admin)
}

// Daemon is a process whose sockets are open.
type Daemon interface {
	// Run runs until ctx is done, then stops gracefully.
	Run(ctx context.Context) error
}

// Opener reads the flags in args, printing help to out, and opens the daemon. Errors
// are findings, ErrHelp, or a socket that cannot be opened; nothing keeps running
// after an error.
type Opener interface {
	Read(args []string, out io.Writer) (Options, error)
	Open(log *slog.Logger) (Daemon, error)
}

// Main runs the program with the given name and returns its exit code: 0 after a
// graceful stop, 1 after a failure, 2 for invalid input, before anything was started.
// Its log lines carry the component.
func Main(name, component string, opener Opener, args []string, out, errOut io.Writer) int {
	o, err := opener.Read(args, out)
	switch {
	case errors.Is(err, option.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintln(errOut, err)
		return option.ExitUsage
	case o.Version:
		fmt.Fprintln(out, name, version.String())
		return 0
	}
	level := slog.LevelInfo
	if o.Verbose {
		level = slog.LevelDebug
	}
	log := logging.Component(logging.New(errOut, level, o.LogJSON), component)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	daemon, err := opener.Open(log)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return option.ExitUsage
	}
	log.Info("Started.", slog.String("host", string(o.Host)), slog.String("zone", string(o.Zone)))
	if err := daemon.Run(ctx); err != nil {
		log.Error("Failed.", slog.Any("error", err))
		return 1
	}
	log.Info("Stopped.")
	return 0
}
