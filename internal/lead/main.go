package lead

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/admin"
	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/program"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/target"
)

// maxDriftPerMil is the largest clock drift that --drift accepts, in thousandths.
const maxDriftPerMil = 200

// Options holds the flags and environment variables of the program.
type Options struct {
	program.Options

	Operator  netip.AddrPort
	Bootstrap [32]byte
	Timing    cell.Timing
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	return program.Main("citrontray-lead", "lead", &Options{}, args, out, errOut)
}

// Read implements program.Opener. It returns all findings together.
func (o *Options) Read(args []string, out io.Writer) (program.Options, error) {
	var operatorAddr, bootstrap string
	set := option.New("citrontray-lead", "grants shards to targets and records the owner of each; one process runs on every entry host", out)
	flags := program.AddFlags(set, &o.Options, program.Defaults{Admin: "127.0.0.1:9701", StopTimeout: 5 * time.Second})
	set.StringVar(&operatorAddr, "operator-address", "", "address of the operators' API, IP:PORT; disabled if empty")
	set.StringVar(&bootstrap, "operator-bootstrap", "", "hash of the credential that may write until the settings name an operator of the platform")
	o.Timing = cell.DefaultTiming()
	declareTiming(set, &o.Timing)
	if err := set.Read(args); err != nil || o.Version {
		return o.Options, err
	}
	flags.Check()
	if len(o.Platform) == 0 {
		set.Required("platform", "")
	}
	if operatorAddr != "" {
		o.Operator = set.Address("operator-address", operatorAddr)
	}
	o.Bootstrap = operator.ParseBootstrap(bootstrap, &set.Findings)
	checkTiming(set, o.Timing)
	return o.Options, set.Findings.Err()
}

// declareTiming adds the flags of the durations and the clock drift that the ownership
// rules use.
func declareTiming(set *option.Set, t *cell.Timing) {
	set.DurationVar(&t.RenewInterval, "renew", t.RenewInterval, "time between two renewals of a target's grants")
	set.DurationVar(&t.GrantDuration, "grant", t.GrantDuration, "duration of a grant")
	set.DurationVar(&t.LeaseTTL, "lease", t.LeaseTTL, "duration of a cell leader's lease in the platform's service")
	set.DurationVar(&t.LeaseRenewInterval, "lease-renew", t.LeaseRenewInterval, "time between two renewals of that lease")
	set.DurationVar(&t.PromiseDuration, "promise", t.PromiseDuration, "duration of a roster host's promise")
	set.IntVar(&t.DriftPerMil, "drift", t.DriftPerMil, "allowance for clock drift, in thousandths")
}

// checkTiming records findings for timing flags that do not fit each other or are out of
// range.
func checkTiming(set *option.Set, t cell.Timing) {
	if t.GrantDuration < 3*t.RenewInterval {
		set.Findings.Add("--grant", "is shorter than three renewal intervals", "a lost message could let grants expire; raise it or lower --renew")
	}
	if t.LeaseTTL < 2*t.LeaseRenewInterval {
		set.Findings.Add("--lease", "is shorter than two renewal intervals of the lease", "raise it or lower --lease-renew")
	}
	if t.PromiseDuration < 2*t.RenewInterval {
		set.Findings.Add("--promise", "is shorter than two heartbeat intervals", "raise it or lower --renew")
	}
	if t.GrantDuration < t.LeaseTTL+t.PromiseDuration {
		set.Findings.Add("--grant", "is shorter than the lease and a promise together", "a new leader could not renew grants before they expire; raise it")
	}
	if t.DriftPerMil < 0 || t.DriftPerMil > maxDriftPerMil {
		set.Findings.Add("--drift", fmt.Sprintf("is not between 0 and %d", maxDriftPerMil), "give the largest clock drift to allow for, in thousandths")
	}
}

// process is a lead process with its sockets open.
type process struct {
	daemon    *Daemon
	transport *peer.Peer
	store     *platform.Client
	metrics   *metric.Registry
	// components run until the daemon has stopped, as its handover needs them.
	components []component
}

// component is a part of the process that runs until its context is done.
type component interface {
	Run(ctx context.Context) error
}

// Open implements program.Opener. It loads the credentials and binds all sockets.
func (o *Options) Open(log *slog.Logger) (program.Daemon, error) {
	credentials, err := certs.Load(time.Now(), o.Keys, o.Host, peer.RoleLead)
	if err != nil {
		return nil, fmt.Errorf("--keys: %w (make them with: citrontray keys host)", err)
	}
	p := &process{metrics: metric.New("citrontray_lead")}
	if p.transport, err = peer.New(peer.Config{Listen: o.Peer, Credentials: credentials, Log: log}); err != nil {
		return nil, fmt.Errorf("--peer-address: %w", err)
	}
	p.store = platform.NewClient(platform.ClientConfig{
		Addrs: o.Platform, Timeout: storeTimeout, Host: o.Host, Zone: o.Zone,
	})
	replica := docsync.New()
	p.daemon = o.newDaemon(p, replica, log)
	adminServer, err := admin.Listen(o.Admin, p.metrics.Handler(), status.Handler(p.daemon))
	if err != nil {
		return nil, fmt.Errorf("--admin-address: %w", err)
	}
	adminServer.SetReady(true)
	operatorAPI, err := operator.Listen(o.Operator, credentials.OperatorTLS(), operator.NewServer(operator.ServerConfig{
		Store: p.store, Replica: replica, Bootstrap: o.Bootstrap, Log: logging.Component(log, "operator"),
	}))
	if err != nil {
		return nil, fmt.Errorf("--operator-address: %w", err)
	}
	node := docsync.NewNode(replica, p.transport, docsync.Config{
		Self: credentials.Self(), Addr: o.Peer, Seeds: o.Peers, Store: p.store, Log: log,
	})
	p.components = []component{p.transport, adminServer, node, operatorAPI, status.NewExporter(p.daemon, p.metrics)}
	return p, nil
}

// newDaemon returns the daemon, with a new random incarnation.
func (o *Options) newDaemon(p *process, replica docsync.Replica, log *slog.Logger) *Daemon {
	return New(Config{
		Host: o.Host, Zone: o.Zone, PeerAddr: o.Peer,
		Incarnation: place.Incarnation(rand.Uint64() | 1),
		Timing:      o.Timing, StopTimeout: o.StopTimeout,
	}, Environment{
		Store: p.store, Transport: p.transport, Replica: replica, TargetControl: target.NewControl(orderTimeout),
		Log: log,
	})
}

// Run implements program.Daemon. It stops when ctx is done or a component fails.
func (p *process) Run(ctx context.Context) error {
	defer p.close()
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, componentsCtx := errgroup.WithContext(componentsCtx)
	for _, c := range p.components {
		group.Go(func() error { return c.Run(componentsCtx) })
	}
	group.Go(func() error {
		defer cancel()
		daemonCtx, stop := context.WithCancel(ctx)
		defer stop()
		context.AfterFunc(componentsCtx, stop)
		return p.daemon.Run(daemonCtx)
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// close closes what Open opened and no component closes itself.
func (p *process) close() {
	_ = p.transport.Close()
	_ = p.metrics.Close()
	p.store.Close()
}
