package host

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fleet"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
)

// largeTable returns a routing table of a service whose targets own two ranges each.
func largeTable(targets int, sequence uint64) *owner.Table {
	t := &owner.Table{Service: "s", Version: owner.Version{Term: 1, Sequence: sequence}, Leader: "host-1", LeaderIncarnation: 1}
	spans := 2 * targets
	for i := range spans {
		n := (i + int(sequence)) % targets
		t.Spans = append(t.Spans, owner.Span{
			Range:  key.Range{First: key.Point(i * key.Points / spans), Last: key.Point((i+1)*key.Points/spans - 1)},
			Target: place.Target(fmt.Sprintf("i-%010x", n*7919)), Addr: netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.%d:8080", n/200, n%200)),
		})
	}
	return t
}

func largeMembers(hosts int) member.List {
	var l member.List
	for i := range hosts {
		share := 0.16
		if i%20 == 0 {
			share = 0.8
		}
		l.Hosts = append(l.Hosts, member.Host{
			Name: place.Host(fmt.Sprintf("host-%03d", i)), Incarnation: 1, Zone: place.Zone(fmt.Sprintf("z%d", i%5)), CPUShare: share,
			PeerAddr: netip.MustParseAddrPort("10.0.0.1:1"), TicketAddr: netip.MustParseAddrPort("10.0.0.1:2"),
		})
	}
	return l
}

// BenchmarkTable adds a new routing table to a host's view, which each host does
// whenever a range moves.
func BenchmarkTable(b *testing.B) {
	for _, targets := range []int{37, 164, 575, 1200} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			documents := docsync.New()
			v := newViewBuilder(documents, logging.Nop(), nil)
			members := largeMembers(295)
			body, err := members.Encode()
			assert.NilError(b, err)
			documents.Publish(docsync.Document{Name: docMembers, Version: docsync.Version{Major: 1}, Body: body})
			var list fleet.List
			for i := range targets {
				list.Targets = append(list.Targets, place.TargetRow{
					Target: place.Target(fmt.Sprintf("i-%010x", i*7919)), Service: "s", Zone: "z0", State: place.Live,
					Addr: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1, Slots: 3,
				})
			}
			body, err = list.Encode()
			assert.NilError(b, err)
			documents.Publish(docsync.Document{Name: docTargets, Version: docsync.Version{Major: 1}, Body: body})
			bodies := make([][]byte, 16)
			for i := range bodies {
				bodies[i], err = largeTable(targets, uint64(i)).Encode()
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(bodies[0])), "bytes")
			now := time.Unix(1000, 0)
			b.ResetTimer()
			for i := range b.N {
				documents.Publish(docsync.Document{Name: docRanges + "s", Version: docsync.Version{Major: 1, Minor: uint64(i + 1)}, Body: bodies[i%16]})
				v.refresh(now)
			}
		})
	}
}

// BenchmarkRankLeaders ranks the candidates, which each host that does not lead does to
// decide whether to campaign.
func BenchmarkRankLeaders(b *testing.B) {
	for _, hosts := range []int{12, 70, 295, 1800} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			members := largeMembers(hosts)
			for b.Loop() {
				member.RankLeaders("ranges/s", members.Hosts)
			}
		})
	}
}
