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

// idleStopTimeout is how long a stop waits for idle connections of callers.
const idleStopTimeout = 2 * time.Second

// Options is what the flags and environment variables of the program say.
type Options struct {
	program.Options

	LeadAddr    netip.AddrPort
	HTTPAddr    netip.AddrPort
	Hosts       int
	MaxQueueLen int
	ParkTimeout time.Duration
	MaxParked   int
	BodyMemory  int64
	StopNotice  time.Duration
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	return program.Main("citrontray-entry", "entry", &Options{}, args, out, errOut)
}

// Read implements program.Opener; it returns all findings together.
func (o *Options) Read(args []string, out io.Writer) (program.Options, error) {
	var leadAddr, httpAddr string
	set := option.New("citrontray-entry", "takes callers' requests and forwards each to the one target that owns its key", out)
	flags := program.AddFlags(set, &o.Options, program.Defaults{Admin: "127.0.0.1:9702", StopTimeout: 15 * time.Second})
	set.StringVar(&leadAddr, "lead", "", "peer address of this host's own lead process, IP:PORT")
	set.StringVar(&httpAddr, "http-address", "", "address that callers reach this process at, IP:PORT")
	set.IntVar(&o.Hosts, "hosts", DefaultHosts, "number of entry hosts that share each target's connections")
	set.IntVar(&o.MaxQueueLen, "queue", queue.DefaultConfig().MaxLen, "longest queue of one target, in requests")
	set.DurationVar(&o.ParkTimeout, "park", DefaultParkTimeout, "longest wait of a request whose key has no owner")
	set.IntVar(&o.MaxParked, "parked", DefaultMaxParked, "most requests that wait for an owner at once")
	set.Int64Var(&o.BodyMemory, "body-memory", DefaultBodyMemory, "most bytes of request bodies held at once")
	set.DurationVar(&o.StopNotice, "stop-notice", time.Second, "time between failing /ready and closing, for the balancer to notice")
	if err := set.Read(args); err != nil || o.Version {
		return o.Options, err
	}
	flags.Check()
	o.LeadAddr = set.Address("lead", leadAddr)
	o.HTTPAddr = set.Address("http-address", httpAddr)
	o.check(set)
	return o.Options, set.Findings.Err()
}

// check finds the bounds that cannot be met.
func (o *Options) check(set *option.Set) {
	if o.Hosts < 1 {
		set.Findings.Add("--hosts", "is below 1", "give the number of entry hosts")
	}
	if o.MaxQueueLen < 1 {
		set.Findings.Add("--queue", "is below 1", "give a number of requests")
	}
	if o.StopNotice >= o.StopTimeout {
		set.Findings.Add("--stop-notice", "is not below --stop-timeout", "no time is left for requests in flight")
	}
}

// daemon is the process: the data path and what feeds it.
type daemon struct {
	opts     *Options
	log      *slog.Logger
	link     *peer.Peer
	metrics  *metric.Registry
	entry    *Entry
	node     *docsync.Node
	admin    *admin.Server
	listener net.Listener
	server   *Server
}

// Open implements program.Opener: it reads the keys and binds all sockets.
func (o *Options) Open(log *slog.Logger) (program.Daemon, error) {
	material, err := certs.Load(time.Now(), o.Keys, o.Host, peer.RoleEntry)
	if err != nil {
		return nil, fmt.Errorf("--keys: %w (make them with: citrontray keys host)", err)
	}
	d := &daemon{opts: o, log: log, metrics: metric.New("citrontray_entry")}
	if d.link, err = peer.New(peer.Config{Listen: o.Peer, Keys: material, Log: log}); err != nil {
		return nil, fmt.Errorf("--peer-address: %w", err)
	}
	board := docsync.New()
	d.node = docsync.NewNode(board, d.link, docsync.Config{
		Self: material.Self(), Addr: o.Peer, LocalLead: o.LeadAddr, Seeds: o.Peers, Log: log,
	})
	d.entry = New(d.config(board))
	if d.admin, err = admin.Listen(o.Admin, d.metrics.Handler(), d.entry.StatusHandler()); err != nil {
		return nil, fmt.Errorf("--admin-address: %w", err)
	}
	if d.listener, err = net.Listen("tcp", o.HTTPAddr.String()); err != nil {
		return nil, fmt.Errorf("--http-address: %w", err)
	}
	d.server = NewServer(d.entry, d.listener)
	return d, nil
}

func (d *daemon) config(board docsync.Replica) Config {
	bounds := queue.DefaultConfig()
	bounds.MaxLen = d.opts.MaxQueueLen
	return Config{
		Replica:        board,
		Host:           d.opts.Host,
		Zone:           d.opts.Zone,
		Sharing:        ShareAdaptive,
		Transport:      d.link,
		DecodeSettings: settings.Decode,
		DecodeTable:    table.Decode,
		Log:            d.log,
		Registry:       d.metrics,
		Hosts:          d.opts.Hosts,
		Queue:          bounds,
		ParkTimeout:    d.opts.ParkTimeout,
		MaxParked:      d.opts.MaxParked,
		BodyMemory:     d.opts.BodyMemory,
		TickInterval:   DefaultTickInterval,
	}
}

// Run serves until ctx ends and then stops in order. All parts stop together.
func (d *daemon) Run(ctx context.Context) error {
	outer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, outer := errgroup.WithContext(outer)
	group.Go(func() error { return d.link.Run(outer) })
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
	_ = d.link.Close()
	_ = d.metrics.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runServer serves callers.
func (d *daemon) runServer() error {
	d.log.Info("Callers are served.", slog.String("http", d.listener.Addr().String()))
	return d.server.Run()
}

// updateReady keeps /ready in step.
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

// runStop waits for the planned stop, or for a part that fails, and stops: not
// ready, no new connections, what runs ends, what waits past the bound is
// answered with not-run.
func (d *daemon) runStop(ctx, failed context.Context) error {
	select {
	case <-ctx.Done():
	case <-failed.Done():
		return d.server.Close()
	}
	d.log.Info("Entry stops.")
	d.admin.SetReady(false)
	d.entry.Drain()
	sleep(failed, d.opts.StopNotice)
	bound, cancel := context.WithTimeout(failed, d.opts.StopTimeout-d.opts.StopNotice)
	defer cancel()
	half := (d.opts.StopTimeout - d.opts.StopNotice) / 2
	clear := time.AfterFunc(half, d.entry.DropWaiting)
	defer clear.Stop()
	var both errgroup.Group
	both.Go(func() error {
		d.entry.drainRelayed(bound)
		return nil
	})
	both.Go(func() error { return d.server.Stop(bound, min(half, idleStopTimeout)) })
	if err := both.Wait(); err != nil {
		d.log.Warn("Requests were cut at the end of the stop.", slog.Any("error", err))
		return d.server.Close()
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
