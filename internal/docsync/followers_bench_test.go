package docsync_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// countedConn counts the bytes that are sent and received on a socket.
type countedConn struct {
	net.PacketConn

	bytes atomic.Int64
}

func (c *countedConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(p)
	c.bytes.Add(int64(n))
	return n, addr, err
}

func (c *countedConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, addr)
	c.bytes.Add(int64(n))
	return n, err
}

// countedTransport counts the calls that a process makes.
type countedTransport struct {
	*peer.Peer

	calls atomic.Int64
}

func (c *countedTransport) Call(ctx context.Context, to netip.AddrPort, kind peer.Kind, body []byte) ([]byte, error) {
	c.calls.Add(1)
	return c.Peer.Call(ctx, to, kind, body)
}

// zone is one availability zone of lead processes that communicate over real
// sockets.
type zone struct {
	replicas   []*docsync.MemoryReplica
	conns      []*countedConn
	transports []*countedTransport
}

func startZone(b *testing.B, hosts int) *zone {
	b.Helper()
	dir := b.TempDir()
	must(b, certs.CreateAuthority(time.Now(), dir))
	z := &zone{}
	var fleet platform.Fleet
	for i := range hosts {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		must(b, err)
		z.conns = append(z.conns, &countedConn{PacketConn: conn})
		fleet.Hosts = append(fleet.Hosts, place.HostRow{
			Host: place.Host(fmt.Sprintf("h%03d", i)), Zone: "z1", LeadAddr: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		})
	}
	body, err := docsync.EncodeFleet(fleet)
	must(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	var work sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		work.Wait()
	})
	for i, row := range fleet.Hosts {
		must(b, certs.IssueHost(time.Now(), dir, row.Host, row.Zone, []peer.Role{peer.RoleLead}, []netip.Addr{row.LeadAddr.Addr()}))
		m, err := certs.Load(time.Now(), dir, row.Host, peer.RoleLead)
		must(b, err)
		p, err := peer.New(peer.Config{Conn: z.conns[i], Credentials: m})
		must(b, err)
		transport, replica := &countedTransport{Peer: p}, docsync.New()
		replica.Publish(docsync.Document{Name: docsync.Fleet, Version: docsync.Version{Major: 1}, Body: body})
		node := docsync.NewNode(replica, transport, docsync.Config{Self: m.Self(), Addr: row.LeadAddr})
		z.transports, z.replicas = append(z.transports, transport), append(z.replicas, replica)
		work.Go(func() { _ = p.Run(ctx) })
		work.Go(func() { _ = node.Run(ctx) })
	}
	return z
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func (z *zone) totals() (calls, bytes int64) {
	for i := range z.transports {
		calls += z.transports[i].calls.Load()
		bytes += z.conns[i].bytes.Load()
	}
	return calls, bytes
}

// await waits until all replicas have the version of the document or a newer
// one.
func (z *zone) await(name docsync.Name, version docsync.Version) {
	for _, replica := range z.replicas {
		for {
			if doc, ok := replica.Get(name); ok && !doc.Version.Less(version) {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	must(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFollowers measures the cost of a follower, including its share of
// the cost of the zone's two watchers, while a table of about 4 kB is published
// once a second. One operation takes one second.
func BenchmarkFollowers(b *testing.B) {
	for _, hosts := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			z := startZone(b, hosts)
			name := docsync.TablePrefix + "balance/z1"
			body := func(i uint64) []byte { return fmt.Appendf(nil, "%04096d %d", i*7919, i) }
			publish := func(i uint64) {
				z.replicas[0].Publish(docsync.Document{Name: name, Version: docsync.Version{Major: i}, Body: body(i)})
				z.await(name, docsync.Version{Major: i})
			}
			publish(1)
			time.Sleep(2 * time.Second)
			calls, bytes := z.totals()
			cpu, start, version := cpuTime(b), time.Now(), uint64(1)
			var delay time.Duration
			for b.Loop() {
				version++
				sent := time.Now()
				publish(version)
				delay = max(delay, time.Since(sent))
				time.Sleep(time.Second - time.Since(sent))
			}
			spent, span := cpuTime(b)-cpu, time.Since(start).Seconds()
			calls2, bytes2 := z.totals()
			per := func(x float64) float64 { return x / span / float64(hosts) }
			b.ReportMetric(per(float64(calls2-calls)), "calls/s/host")
			b.ReportMetric(per(float64(bytes2-bytes)), "B/s/host")
			b.ReportMetric(per(spent.Seconds())*100, "cpu_%/host")
			b.ReportMetric(float64(delay.Microseconds())/1000, "slowest_ms")
		})
	}
}
