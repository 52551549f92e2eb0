package host

import (
	"encoding/base64"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/member"
)

// TestGoldenReport: the golden load reports, written by revision 2bbdf8e, are decoded to
// the same values, and these are encoded to the same bytes. During an upgrade, hosts of
// one release report to leaders of another.
func TestGoldenReport(t *testing.T) {
	// No two flags are set in the same targets, so that swapped flags are detected.
	targets := []dispatch.TargetStats{
		{Target: "t1", Mean: 1500 * time.Microsecond, Slowdown: 1.25, Down: true, Used: true, Samples: 9.5, Leaving: true},
		{Target: "t2", Down: true},
		{Target: "t3", Used: true},
	}
	for name, test := range map[string]struct {
		golden string
		points map[key.Point]int
	}{
		"one point":      {"g2NzdmOCGQEsAoOHYnQxGQXc+z/0AAAAAAAA9fX7QCMAAAAAAAD1h2J0MgD7AAAAAAAAAAD19PsAAAAAAAAAAPSHYnQzAPsAAAAAAAAAAPT1+wAAAAAAAAAA9A==", map[key.Point]int{300: 2}},
		"several points": {"g2NzdmOEBRoAARFwGQEsAoOHYnQxGQXc+z/0AAAAAAAA9fX7QCMAAAAAAAD1h2J0MgD7AAAAAAAAAAD19PsAAAAAAAAAAPSHYnQzAPsAAAAAAAAAAPT1+wAAAAAAAAAA9A==", map[key.Point]int{5: 70_000, 300: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			want := loadReport{service: "svc", points: test.points, targets: targets}
			body, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			got, err := decodeReport(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, cmp.AllowUnexported(loadReport{}))
			again, err := want.encode()
			assert.NilError(t, err)
			// The points are encoded in random order, so several are compared after decoding.
			if len(test.points) == 1 {
				assert.DeepEqual(t, again, body)
			}
			got, err = decodeReport(again)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, cmp.AllowUnexported(loadReport{}))
		})
	}
}

// TestGoldenNotice: the golden notices, written by revision 2bbdf8e, are decoded to the
// same values, and these are encoded to the same bytes. During an upgrade, the leader
// and the candidates of a service may be of two releases.
func TestGoldenNotice(t *testing.T) {
	for name, test := range map[string]struct {
		golden string
		kind   noticeKind
	}{
		"leading": {"hQFjc3ZjYmgxGwAAAQAAAAAAGgAQAAM=", noticeLeading},
		"stop":    {"hQJjc3ZjYmgxGwAAAQAAAAAAGgAQAAM=", noticeStop},
		"stopped": {"hQNjc3ZjYmgxGwAAAQAAAAAAGgAQAAM=", noticeStopped},
	} {
		t.Run(name, func(t *testing.T) {
			want := notice{kind: test.kind, service: "svc", host: "h1", incarnation: 1 << 40, term: 1<<20 + 3}
			body, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			got, err := decodeNotice(body)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
			again, err := want.encode()
			assert.NilError(t, err)
			assert.DeepEqual(t, again, body)
		})
	}
}

// TestGoldenDigest: the golden datagrams, written by revision 2bbdf8e, are decoded to
// the same versions, and these are sent as the same bytes. During an upgrade, watchers
// of two releases exchange digests.
func TestGoldenDigest(t *testing.T) {
	for name, test := range map[string]struct {
		golden string
		want   map[docsync.Name]uint64
	}{
		"one document":      {"d4GhZ3RhcmdldHMZASw=", map[docsync.Name]uint64{docTargets: 300}},
		"several documents": {"d4GkZ3RyYWZmaWMCZ3RhcmdldHMZASxnbWVtYmVycxkBLWpvd25lcnMvc3ZjGwAAAQAAAAAA", map[docsync.Name]uint64{docTraffic: 2, docTargets: 300, docMembers: 301, docOwners + "svc": 1 << 40}},
	} {
		t.Run(name, func(t *testing.T) {
			datagram, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			other := member.Host{Name: "h2", Zone: "z1", TicketAddr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
			h := &Host{
				log: logging.Nop(), dispatcher: &dispatcher{conn: conn}, watcher: &watcher{},
				views: &viewBuilder{current: &view{members: member.List{Hosts: []member.Host{other}}}},
			}
			assert.NilError(t, h.handleDigest(datagram[1:]))
			assert.DeepEqual(t, h.watcher.peerDigest.versions, test.want)

			h.broadcastDigest(digest{versions: test.want})
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			buffer := make([]byte, maxDatagramBytes)
			n, err := conn.Read(buffer)
			assert.NilError(t, err)
			again := buffer[:n]
			// The versions are encoded in random order, so several are compared after decoding.
			if len(test.want) == 1 {
				assert.DeepEqual(t, again, datagram)
			}
			assert.Equal(t, again[0], datagram[0])
			h.watcher.receive(digest{})
			assert.NilError(t, h.handleDigest(again[1:]))
			assert.DeepEqual(t, h.watcher.peerDigest.versions, test.want)
		})
	}
}
