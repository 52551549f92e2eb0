package entry_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/queue"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/table"
	"citrontray.example/citrontray/internal/target"
)

var (
	benchTime        = flag.Duration("slots.time", 4*time.Second, "duration of one benchmark run")
	benchHosts       = flag.Int("slots.hosts", 9, "number of entry hosts")
	benchServiceTime = flag.Duration("slots.work", 5*time.Millisecond, "mean service time of the targets")
)

const (
	benchTargets      = 4
	benchSlots        = 3
	benchShards       = 64
	benchTimeout      = 500 * time.Millisecond
	rebalanceInterval = 50 * time.Millisecond
)

// clusterConfig configures a cluster.
type clusterConfig struct {
	sharing entry.Sharing
	// rebalances has the slots of each target divided among the entry hosts by demand.
	rebalances bool
	// timeout is that of the lookup route.
	timeout time.Duration
}

// withLongTimeout returns a configuration whose requests don't reach their deadline.
func withLongTimeout(sharing entry.Sharing) clusterConfig {
	return clusterConfig{sharing: sharing, timeout: 20 * time.Second}
}

// BenchmarkSlots compares the modes of sharing slots at several loads, in percent of the
// capacity.
func BenchmarkSlots(b *testing.B) {
	configs := []struct {
		name string
		clusterConfig
	}{
		{"adaptive", clusterConfig{entry.ShareAdaptive, false, benchTimeout}},
		{"shares", clusterConfig{entry.ShareAdaptive, true, benchTimeout}},
		{"home", clusterConfig{entry.ShareHome, false, benchTimeout}},
		{"mixed", clusterConfig{entry.ShareMixed, false, benchTimeout}},
	}
	for _, load := range []int{50, 80, 95, 100, 150} {
		for _, config := range configs {
			b.Run(fmt.Sprintf("%s/%d", config.name, load), func(b *testing.B) {
				c := newCluster(b, *benchHosts, config.clusterConfig)
				capacity := benchTargets * benchSlots / benchServiceTime.Seconds()
				for range b.N {
					c.offerLoad(b, capacity*float64(load)/100)
				}
			})
		}
	}
}

// cluster is a number of entry hosts, connected by real sockets, and their targets.
type cluster struct {
	targets *fake.TargetSet
	entries []*entry.Entry
	servers []*httptest.Server
	peers   []*peer.Peer
	client  *http.Client
}

func newCluster(b testing.TB, hosts int, config clusterConfig) *cluster {
	c := &cluster{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000}}}
	c.targets = fake.NewTargetSet([]fake.TargetGroup{{Count: benchTargets, TargetConfig: fake.TargetConfig{
		Service: balance, Slots: benchSlots, Connections: 130, MeanWork: *benchServiceTime, ConnectDelay: time.Millisecond,
	}}}, []place.Zone{"zone-a"})
	assert.NilError(b, c.targets.Start())
	b.Cleanup(func() { c.targets.Stop(context.Background()) })
	dir := b.TempDir()
	now := time.Now()
	assert.NilError(b, certs.CreateAuthority(now, dir))
	entryPeers := make([]*peer.Peer, hosts)
	fleet := platform.Fleet{}
	for i := range hosts {
		entryPeers[i] = newPeer(b, dir, hostName(i))
		fleet.Hosts = append(fleet.Hosts, place.HostRow{Host: hostName(i), Zone: "zone-a", EntryAddr: entryPeers[i].Addr()})
	}
	c.peers = entryPeers
	list, err := docsync.EncodeFleet(fleet)
	assert.NilError(b, err)
	rows := c.grantShards(b)
	for i := range hosts {
		c.startEntry(b, hostName(i), entryPeers[i], config, list, rows)
	}
	if config.rebalances {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.loopRebalance(ctx)
		}()
		b.Cleanup(func() { cancel(); <-done })
	}
	return c
}

func hostName(i int) place.Host { return place.Host(fmt.Sprintf("host-%d", i)) }

func newPeer(b testing.TB, dir string, host place.Host) *peer.Peer {
	now := time.Now()
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	assert.NilError(b, certs.IssueHost(now, dir, host, "zone-a", []peer.Role{peer.RoleEntry}, []netip.Addr{loopback}))
	credentials, err := certs.Load(now, dir, host, peer.RoleEntry)
	assert.NilError(b, err)
	p, err := peer.New(peer.Config{Listen: netip.AddrPortFrom(loopback, 0), Credentials: credentials, Log: logging.Nop()})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	b.Cleanup(func() { cancel(); <-done; _ = p.Close() })
	return p
}

// grantShards grants the shards to the targets round robin and returns the table's rows.
func (c *cluster) grantShards(b testing.TB) []table.Row {
	control := target.NewControl(time.Second)
	defer control.Close()
	rows := make([]table.Row, 0, benchShards)
	items := make([][]grant.Item, benchTargets)
	for shard := range key.Shard(benchShards) {
		owner := shard % benchTargets
		rows = append(rows, table.Row{Shard: shard, Epoch: 1, Owner: table.TargetIndex(owner)})
		items[owner] = append(items[owner], grant.Item{Shard: shard, Epoch: 1, Kind: grant.Grant})
	}
	for i, t := range c.targets.Targets() {
		o := grant.Order{Service: balance, Zone: "zone-a", Term: 1, Duration: time.Hour}
		a, err := control.Order(context.Background(), t.Addr(), o)
		assert.NilError(b, err)
		o.Incarnation, o.Anchor, o.Items = a.Incarnation, a.Clock, items[i]
		_, err = control.Order(context.Background(), t.Addr(), o)
		assert.NilError(b, err)
	}
	return rows
}

func (c *cluster) startEntry(b testing.TB, host place.Host, transport peer.Transport, config clusterConfig, list []byte, rows []table.Row) {
	replica := newFakeReplica()
	s := testSettings()
	s.Services = []settings.Service{{Name: balance, Shards: benchShards, Slots: benchSlots, Connections: 130, BodyBytes: maxBodyBytes}}
	s.Routes[0].Timeout = config.timeout
	s.Routes = append(s.Routes, settings.Route{
		Name: "remind", Service: balance, Callers: []settings.Caller{"office"}, Methods: []string{http.MethodPost},
		Path: "/remind/{key}", KeySource: settings.KeyInPath, Class: settings.Bulk, Timeout: 2 * time.Second,
	})
	replica.putSettings(s)
	replica.Publish(docsync.Document{Name: docsync.Fleet, Version: docsync.Version{Major: 1}, Body: list})
	t := &table.Table{Service: balance, Zone: "zone-a", Shards: benchShards, Rows: rows}
	for _, ft := range c.targets.Targets() {
		t.Targets = append(t.Targets, table.Target{Name: ft.Name(), Addr: ft.Addr()})
	}
	replica.putTable(t)
	e := entry.New(entry.Config{
		Replica: replica, DecodeSettings: replica.decodeSettings, DecodeTable: replica.decodeTable, Log: logging.Nop(),
		Registry: metric.New("test"), Host: host, Transport: transport, Sharing: config.sharing, Hosts: *benchHosts,
		Queue: queue.DefaultConfig(), ParkTimeout: time.Second, MaxParked: 1000, BodyMemory: 16 << 20, TickInterval: entry.DefaultTickInterval,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	server := httptest.NewServer(e)
	c.entries, c.servers = append(c.entries, e), append(c.servers, server)
	b.Cleanup(func() {
		server.Close()
		cancel()
		<-done
		e.Close()
	})
}

// loopRebalance divides the slots of each target among the entry hosts with the most
// demand, as a leader would.
func (c *cluster) loopRebalance(ctx context.Context) {
	round := 0
	for ctx.Err() == nil {
		demand := make([]map[place.Target]int, len(c.entries))
		for i, e := range c.entries {
			demand[i] = e.Demand()
		}
		round++
		for _, t := range c.targets.Targets() {
			share := make([]int, len(c.entries))
			for range benchSlots {
				best := -1
				for n := range c.entries {
					i := (n + round) % len(c.entries)
					if best < 0 || demand[i][t.Name()]-share[i] > demand[best][t.Name()]-share[best] {
						best = i
					}
				}
				share[best]++
			}
			for i, e := range c.entries {
				e.SetSlots(t.Name(), share[i])
			}
		}
		time.Sleep(rebalanceInterval)
	}
}

// offerLoad sends requests at a mean rate per second that does not depend on the
// responses, and reports the results.
func (c *cluster) offerLoad(b *testing.B, rate float64) {
	latency := hdrhistogram.New(1, 10_000_000, 3)
	outcomes := map[outcome.Outcome]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	before, cpu := c.targets.Ledger.Counts(), cpuTime()
	r := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	next := start
	sent := 0
	for time.Since(start) < *benchTime {
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		url := fmt.Sprintf("%s/balance/k%d", c.servers[r.IntN(len(c.servers))].URL, r.IntN(100_000))
		sent++
		wg.Go(func() {
			due := next
			result := c.request(http.MethodGet, url, clerkCredential)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			outcomes[result]++
			if result == outcome.Done {
				_ = latency.RecordValue(took.Microseconds())
			}
		})
	}
	wg.Wait()
	after := c.targets.Ledger.Counts()
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50_ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99_ms")
	b.ReportMetric(float64(outcomes[outcome.Done])/benchTime.Seconds(), "done_s")
	b.ReportMetric(float64(outcomes[outcome.NotRun])/float64(sent)*100, "notrun_%")
	b.ReportMetric(float64(outcomes[outcome.Unknown]), "unknown")
	b.ReportMetric(float64(after.Sheds-before.Sheds)/float64(sent), "busy/req")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(sent), "cpu_us/req")
}

// request sends one request and returns its outcome.
func (c *cluster) request(method, url, credential string) outcome.Outcome {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return "error"
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	resp, err := c.client.Do(req)
	if err != nil {
		return "error"
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return outcome.Outcome(resp.Header.Get(outcome.Header))
}

// cpuTime returns the CPU time of the whole process, which includes callers and targets.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startBenchEntry starts one entry host without a transport.
func startBenchEntry(b testing.TB, replica *fakeReplica) (*entry.Entry, string) {
	e := entry.New(entry.Config{
		Replica: replica, DecodeSettings: replica.decodeSettings, DecodeTable: replica.decodeTable, Log: logging.Nop(),
		Registry: metric.New("test"), Hosts: 1, Queue: queue.DefaultConfig(),
		ParkTimeout: time.Second, MaxParked: 1000, BodyMemory: 16 << 20, TickInterval: entry.DefaultTickInterval,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	server := httptest.NewServer(e)
	b.Cleanup(func() {
		server.Close()
		cancel()
		<-done
		e.Close()
	})
	return e, server.URL
}
