package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/admin"
	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/option"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/program"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/table"
)

// idleStopTimeout bounds how long a stop waits for callers to close idle connections.
const idleStopTimeout = 2 * time.Second

// Options holds the values of the program's flags and environment variables.
type Options struct {
	program.Options

	LeadAddr    netip.AddrPort
	HTTPAddr    netip.AddrPort
	Hosts       int
	MaxQueueLen int
	ParkTimeout time.Duration
	MaxParked   int
	BodyMemory  int64 // in bytes
	StopNotice  time.Duration
}

// Main runs citrontray-entry and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	return program.Main("citrontray-entry", "entry", &Options{}, args, out, errOut)
}

// Read implements program.Opener. It reports all findings in one error.
func (o *Options) Read(args []string, out io.Writer) (program.Options, error) {
	var leadAddr, httpAddr string
	set := option.New("citrontray-entry", "serves callers and forwards each request to the target that owns its key", out)
	flags := program.AddFlags(set, &o.Options, program.Defaults{Admin: "127.0.0.1:9702", StopTimeout: 15 * time.Second})
	set.StringVar(&leadAddr, "lead", "", "peer address of the lead process on this host, IP:PORT")
	set.StringVar(&httpAddr, "http-address", "", "address to serve callers on, IP:PORT")
	set.IntVar(&o.Hosts, "hosts", DefaultHosts, "number of entry hosts that share each target's connections")
	set.IntVar(&o.MaxQueueLen, "queue", queue.DefaultConfig().MaxLen, "maximum queue length per target, in requests")
	set.DurationVar(&o.ParkTimeout, "park", DefaultParkTimeout, "maximum wait of a request whose key has no owner")
	set.IntVar(&o.MaxParked, "parked", DefaultMaxParked, "maximum number of requests that wait for an owner")
	set.Int64Var(&o.BodyMemory, "body-memory", DefaultBodyMemory, "maximum memory for request bodies, in bytes")
	set.DurationVar(&o.StopNotice, "stop-notice", time.Second, "time between failing /ready and closing the listener, for the load balancer to notice")
	if err := set.Read(args); err != nil || o.Version {
		return o.Options, err
	}
	flags.Check()
	o.LeadAddr = set.Address("lead", leadAddr)
	o.HTTPAddr = set.Address("http-address", httpAddr)
	o.check(set)
	return o.Options, set.Findings.Err()
}

// check adds findings for values out of range.
func (o *Options) check(set *option.Set) {
	if o.Hosts < 1 {
		set.Findings.Add("--hosts", "is less than 1", "set the number of entry hosts")
	}
	if o.MaxQueueLen < 1 {
		set.Findings.Add("--queue", "is less than 1", "set a positive number of requests")
	}
	if o.StopNotice >= o.StopTimeout {
		set.Findings.Add("--stop-notice", "is not less than --stop-timeout", "set a shorter time, so that requests in flight can complete")
	}
}

// daemon is the process: the entry, and the servers and replica around it.
type daemon struct {
	opts      *Options
	log       *slog.Logger
	transport *peer.Peer
	metrics   *metric.Registry
	entry     *Entry
	node      *docsync.Node
	admin     *admin.Server
	listener  net.Listener
	server    *Server
}

// Open implements program.Opener. It loads the credentials and binds all sockets.
func (o *Options) Open(log *slog.Logger) (program.Daemon, error) {
	credentials, err := certs.Load(time.Now(), o.Keys, o.Host, peer.RoleEntry)
	if err != nil {
		return nil, fmt.Errorf("--keys: %w (make them with: citrontray keys host)", err)
	}
	d := &daemon{opts: o, log: log, metrics: metric.New("citrontray_entry")}
	if d.transport, err = peer.New(peer.Config{Listen: o.Peer, Credentials: credentials, Log: log}); err != nil {
		return nil, fmt.Errorf("--peer-address: %w", err)
	}
	replica := docsync.New()
	d.node = docsync.NewNode(replica, d.transport, docsync.Config{
		Self: credentials.Self(), Addr: o.Peer, LocalLead: o.LeadAddr, Seeds: o.Peers, Log: log,
	})
	d.entry = New(d.config(replica))
	if d.admin, err = admin.Listen(o.Admin, d.metrics.Handler(), d.entry.StatusHandler()); err != nil {
		return nil, fmt.Errorf("--admin-address: %w", err)
	}
	if d.listener, err = net.Listen("tcp", o.HTTPAddr.String()); err != nil {
		return nil, fmt.Errorf("--http-address: %w", err)
	}
	d.server = NewServer(d.entry, d.listener)
	return d, nil
}

func (d *daemon) config(replica docsync.Replica) Config {
	queueConfig := queue.DefaultConfig()
	queueConfig.MaxLen = d.opts.MaxQueueLen
	return Config{
		Replica:        replica,
		Host:           d.opts.Host,
		Zone:           d.opts.Zone,
		Sharing:        ShareAdaptive,
		Transport:      d.transport,
		DecodeSettings: settings.Decode,
		DecodeTable:    table.Decode,
		Log:            d.log,
		Registry:       d.metrics,
		Hosts:          d.opts.Hosts,
		Queue:          queueConfig,
		ParkTimeout:    d.opts.ParkTimeout,
		MaxParked:      d.opts.MaxParked,
		BodyMemory:     d.opts.BodyMemory,
		TickInterval:   DefaultTickInterval,
	}
}

// Run serves until ctx ends, then stops gracefully. If one component fails, all stop.
func (d *daemon) Run(ctx context.Context) error {
	outer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, outer := errgroup.WithContext(outer)
	group.Go(func() error { return d.transport.Run(outer) })
	group.Go(func() error { return d.node.Run(outer) })
	group.Go(func() error { return d.entry.Run(outer) })
	group.Go(func() error { return d.admin.Run(outer) })
	group.Go(func() error { return status.NewExporter(d.entry, d.metrics).Run(outer) })
	group.Go(func() error { return d.updateReady(outer) })
	group.Go(d.runServer)
	group.Go(func() error {
		defer cancel()
		return d.runStop(ctx, outer)
	})
	err := group.Wait()
	d.entry.Close()
	_ = d.transport.Close()
	_ = d.metrics.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runServer serves callers until the server is stopped.
func (d *daemon) runServer() error {
	d.log.Info("Serving callers.", slog.String("http", d.listener.Addr().String()))
	return d.server.Run()
}

// updateReady keeps the response of /ready up to date.
func (d *daemon) updateReady(ctx context.Context) error {
	const period = 50 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.admin.SetReady(d.entry.Ready())
		}
	}
}

// runStop waits until ctx ends, for a graceful stop, or until another component fails
// and ends failed, which closes the server at once. A graceful stop fails /ready, then
// closes the listener and lets requests in flight complete. After half of the remaining
// time, requests that still wait for a slot or an owner end as not run.
func (d *daemon) runStop(ctx, failed context.Context) error {
	select {
	case <-ctx.Done():
	case <-failed.Done():
		return d.server.Close()
	}
	d.log.Info("Stopping entry host.")
	d.admin.SetReady(false)
	d.entry.Drain()
	sleep(failed, d.opts.StopNotice)
	stopCtx, cancel := context.WithTimeout(failed, d.opts.StopTimeout-d.opts.StopNotice)
	defer cancel()
	half := (d.opts.StopTimeout - d.opts.StopNotice) / 2
	dropTimer := time.AfterFunc(half, d.entry.DropWaiting)
	defer dropTimer.Stop()
	var group errgroup.Group
	group.Go(func() error {
		d.entry.drainRelayed(stopCtx)
		return nil
	})
	group.Go(func() error { return d.server.Stop(stopCtx, min(half, idleStopTimeout)) })
	if err := group.Wait(); err != nil {
		d.log.Warn("Requests aborted at the end of the stop.", slog.Any("error", err))
		return d.server.Close()
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
