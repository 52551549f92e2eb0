package lead

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/admin"
	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/journal"
	"citrontray.example/citrontray/internal/keys"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/spread"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/version"
)

// Options is what the flags and environment variables of the program say.
type Options struct {
	Host        place.Host
	Zone        place.Zone
	Region      place.Region
	Platform    []netip.AddrPort
	Peer        netip.AddrPort
	Peers       []netip.AddrPort
	Admin       netip.AddrPort
	Operator    netip.AddrPort
	Bootstrap   [32]byte
	Keys        string
	Timing      cell.Timing
	StopTimeout time.Duration
	LogJSON     bool
	Verbose     bool
	Version     bool
}

// Main runs the program and returns its exit code: 0 after a planned stop, 1
// after a failure, 2 for bad input, where nothing was started.
func Main(args []string, out, errOut io.Writer) int {
	opts, err := ReadOptions(args, out)
	switch {
	case errors.Is(err, option.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintln(errOut, err)
		return option.ExitUsage
	case opts.Version:
		fmt.Fprintln(out, "citrontray-lead", version.String())
		return 0
	}
	level := slog.LevelInfo
	if opts.Verbose {
		level = slog.LevelDebug
	}
	log := journal.Part(journal.New(errOut, level, opts.LogJSON), "lead")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return serve(ctx, opts, log, errOut)
}

// ReadOptions parses the flags; it returns all findings together.
func ReadOptions(args []string, out io.Writer) (Options, error) {
	var o Options
	var platformAddrs, peerAddr, peerAddrs, adminAddr, operatorAddr, bootstrap string
	set := option.New("citrontray-lead", "grants shards to targets and keeps who owns what; one runs on every entry host", out)
	set.StringVar((*string)(&o.Host), "host", "", "name of this entry host")
	set.StringVar((*string)(&o.Zone), "zone", "", "availability zone of this host")
	set.StringVar((*string)(&o.Region), "region", "", "region of this host")
	set.StringVar(&platformAddrs, "platform", "", "addresses of the platform's service, IP:PORT[,IP:PORT]")
	set.StringVar(&peerAddr, "peer-address", "", "UDP address that other hosts reach this process at, IP:PORT")
	set.StringVar(&peerAddrs, "peers", "", "peer addresses of lead processes to start from, IP:PORT[,IP:PORT]")
	set.StringVar(&adminAddr, "admin-address", "127.0.0.1:9701", "address of /live, /ready, /metrics and /status")
	set.StringVar(&operatorAddr, "operator-address", "", "address of the operators' API, IP:PORT; empty for none")
	set.StringVar(&bootstrap, "operator-bootstrap", "", "hash of the credential that may write until the settings name an operator of the platform")
	set.StringVar(&o.Keys, "keys", "", "directory with the authority's certificate and this host's key")
	set.DurationVar(&o.StopTimeout, "stop-timeout", 5*time.Second, "longest time of a planned stop")
	set.BoolVar(&o.LogJSON, "log-json", false, "write logs as JSON")
	set.BoolVar(&o.Verbose, "verbose", false, "log more")
	set.BoolVar(&o.Version, "version", false, "print the version and end")
	timing := cell.DefaultTiming()
	set.DurationVar(&timing.Renew, "renew", timing.Renew, "time between two renewals of a target")
	set.DurationVar(&timing.Grant, "grant", timing.Grant, "length of a grant")
	set.DurationVar(&timing.Lease, "lease", timing.Lease, "length of the lead's lease in the platform's service")
	set.DurationVar(&timing.LeaseRenew, "lease-renew", timing.LeaseRenew, "time between two renewals of that lease")
	set.DurationVar(&timing.Promise, "promise", timing.Promise, "length of a roster host's promise")
	set.IntVar(&timing.DriftPerMil, "drift", timing.DriftPerMil, "clock-rate margin, in thousandths")
	if err := set.Read(args); err != nil || o.Version {
		return o, err
	}
	set.Required("host", string(o.Host))
	set.Required("zone", string(o.Zone))
	set.Required("platform", platformAddrs)
	set.Required("keys", o.Keys)
	o.Platform = set.Addresses("platform", platformAddrs)
	o.Peer = set.Address("peer-address", peerAddr)
	o.Peers = set.Addresses("peers", peerAddrs)
	o.Admin = set.Address("admin-address", adminAddr)
	if operatorAddr != "" {
		o.Operator = set.Address("operator-address", operatorAddr)
	}
	o.Bootstrap = operator.ParseBootstrap(bootstrap, &set.Findings)
	o.Timing = timing
	checkTiming(set, timing)
	return o, set.Findings.Err()
}

// checkTiming checks the durations against each other.
func checkTiming(set *option.Set, t cell.Timing) {
	if t.Grant < 3*t.Renew {
		set.Findings.Add("--grant", "is shorter than three renewals", "a lost message would end grants; raise it or lower --renew")
	}
	if t.Lease < 2*t.LeaseRenew {
		set.Findings.Add("--lease", "is shorter than two of its renewals", "raise it or lower --lease-renew")
	}
	if t.Promise < 2*t.Renew {
		set.Findings.Add("--promise", "is shorter than two heartbeats", "raise it or lower --renew")
	}
	if t.Grant < t.Lease+t.Promise {
		set.Findings.Add("--grant", "is shorter than the lease and a promise together", "a successor could not renew in time; raise it")
	}
	if t.DriftPerMil < 0 || t.DriftPerMil > 200 {
		set.Findings.Add("--drift", "is not between 0 and 200", "thousandths by which clocks may run apart")
	}
}

// serve opens everything, then runs the parts until ctx ends.
func serve(ctx context.Context, o Options, log *slog.Logger, errOut io.Writer) int {
	material, err := keys.Load(time.Now(), o.Keys, o.Host, peer.RoleLead)
	if err != nil {
		fmt.Fprintf(errOut, "--keys: %v (make them with: citrontray keys host)\n", err)
		return option.ExitUsage
	}
	link, err := peer.New(peer.Config{Listen: o.Peer, Keys: material, Log: log})
	if err != nil {
		fmt.Fprintf(errOut, "--peer-address: %v\n", err)
		return option.ExitUsage
	}
	defer func() { _ = link.Close() }()
	metrics := metric.New("citrontray_lead")
	defer func() { _ = metrics.Close() }()
	board := spread.New()
	store := platform.NewClient(platform.ClientConfig{
		Addrs: o.Platform, Timeout: storeTimeout, Host: o.Host, Zone: o.Zone,
	})
	defer store.Close()
	daemon := New(Config{
		Host: o.Host, Zone: o.Zone, Region: o.Region, PeerAddr: o.Peer,
		Incarnation: place.Incarnation(rand.Uint64() | 1),
		Timing:      o.Timing, StopTimeout: o.StopTimeout,
	}, Parts{
		Store: store, Link: link, Board: board, Control: target.NewControl(orderTimeout),
		Log: log, Metrics: metrics,
	})
	pages, err := admin.Listen(o.Admin, metrics.Handler(), status.Handler(daemon))
	if err != nil {
		fmt.Fprintf(errOut, "--admin-address: %v\n", err)
		return option.ExitUsage
	}
	operators, err := operator.Listen(o.Operator, material.OperatorTLS(), operator.NewServer(operator.ServerConfig{
		Store: store, Board: board, Bootstrap: o.Bootstrap, Log: journal.Part(log, "operator"),
	}))
	if err != nil {
		fmt.Fprintf(errOut, "--operator-address: %v\n", err)
		return option.ExitUsage
	}
	log.Info("Lead started.", slog.String("host", string(o.Host)), slog.String("zone", string(o.Zone)))
	spreading := spread.NewNode(board, link, spread.Config{
		Self: material.Self(), Seeds: o.Peers, Store: store, Log: log,
	})
	pages.SetReady(true)
	if err := runAll(ctx, daemon, link, pages, spreading, operators, status.NewMeter(daemon, metrics)); err != nil {
		log.Error("Lead failed.", slog.Any("error", err))
		return 1
	}
	log.Info("Lead stopped.")
	return 0
}

// part is what runs until its context ends.
type part interface {
	Run(ctx context.Context) error
}

// runAll runs the parts until ctx ends or one fails. The link and the pages
// outlive the daemon: its handover needs them.
func runAll(ctx context.Context, daemon part, others ...part) error {
	outer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, outer := errgroup.WithContext(outer)
	for _, p := range others {
		group.Go(func() error { return p.Run(outer) })
	}
	group.Go(func() error {
		defer cancel()
		inner, stop := context.WithCancel(ctx)
		defer stop()
		context.AfterFunc(outer, stop)
		return daemon.Run(inner)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
