package cell

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// driver carries out the effects of a single leader at once, without faults.
type driver struct {
	cell       *Cell
	now        time.Time
	revision   platform.Revision
	holdings   map[place.Target]*target.Holdings
	orders     int
	orderBytes int
}

func newDriver(targets int, shards key.ShardCount) *driver {
	d := &driver{now: simStart, holdings: make(map[place.Target]*target.Holdings)}
	d.cell = New(Config{
		ID: ID{Service: simService, Zone: simZone}, Self: "h0", Incarnation: 1,
		Timing: DefaultTiming(), Shards: shards, ChecksTerms: true, MovesPerMinute: 60,
	})
	fleet := FleetReceived{Hosts: []place.HostRow{{Host: "h0", Zone: simZone}}}
	for i := range targets {
		name := place.Target(fmt.Sprintf("t%02d", i))
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
		fleet.Targets = append(fleet.Targets, place.TargetRow{Target: name, Service: string(simService), Zone: simZone, Addr: addr})
		d.holdings[name] = target.NewHoldings(target.HoldingsConfig{Target: name, Service: simService, Incarnation: 1, ChecksTerms: true})
	}
	custody := CustodyReceived{Revision: 1}
	for s := range key.Shard(shards) {
		custody.Shards = append(custody.Shards, CustodyRow{Shard: s, Floor: 1})
	}
	d.handle(fleet)
	d.handle(custody)
	return d
}

func (d *driver) handle(ev Event) { d.perform(d.cell.Handle(d.now, ev)) }

func (d *driver) perform(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ReadDoc:
			d.handle(DocReceived{FromStore: true})
		case AcquireLease:
			d.handle(LeaseDone{SentAt: d.now, Reached: true, Held: true})
		case WriteDoc:
			d.revision++
			d.handle(WriteDone{WriteID: e.Doc.WriteID, Revision: d.revision})
		case SendOrder:
			d.applyOrder(e)
		}
	}
}

func (d *driver) applyOrder(e SendOrder) {
	d.orders++
	if data, err := target.EncodeOrder(e.Order); err == nil {
		d.orderBytes += len(data)
	}
	response := d.holdings[e.Target].Apply(grant.Stamp(d.now.Sub(simStart)), e.Order)
	d.handle(OrderDone{Target: e.Target, SentAt: d.now, Reached: true, Response: response})
}

// run runs the cell for the given time, with a tick every tickInterval.
func (d *driver) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.now = d.now.Add(tickInterval)
		d.perform(d.cell.Tick(d.now))
	}
}

// BenchmarkSteadySecond runs one second of a leader whose targets are all responsive.
func BenchmarkSteadySecond(b *testing.B) {
	sizes := map[string]struct {
		targets int
		shards  key.ShardCount
	}{
		"7 targets, 1024 shards":   {7, 1024},
		"20 targets, 1024 shards":  {20, 1024},
		"100 targets, 1024 shards": {100, 1024},
		"20 targets, 4096 shards":  {20, 4096},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			d := newDriver(size.targets, size.shards)
			d.run(5 * time.Second)
			if s := d.cell.Status(d.now); !s.LeaseHeld || s.Rows != int(size.shards) {
				b.Fatalf("no steady leader: %+v", s)
			}
			d.orders, d.orderBytes = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				d.run(time.Second)
			}
			b.ReportMetric(float64(d.orders)/float64(b.N), "orders/op")
			b.ReportMetric(float64(d.orderBytes)/float64(b.N), "B_orders/op")
		})
	}
}
