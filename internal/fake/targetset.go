package fake

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// TargetSet is all targets of one process, with one ledger.
type TargetSet struct {
	Ledger  *Ledger
	targets []*Target
	byName  map[place.Target]*Target
}

// TargetGroup is a number of like targets, spread over the zones in turn.
type TargetGroup struct {
	TargetConfig
	Count int
}

// NewTargetSet returns the targets of the groups, not started yet. Their names are
// those of the services with a number.
func NewTargetSet(groups []TargetGroup, zones []place.Zone) *TargetSet {
	f := &TargetSet{Ledger: NewLedger(), byName: make(map[place.Target]*Target)}
	for _, group := range groups {
		for i := range group.Count {
			config := group.TargetConfig
			config.Name = place.Target(fmt.Sprintf("%s-%d", group.Service, i+1))
			config.Zone = zones[i%len(zones)]
			config.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
			t := NewTarget(config, f.Ledger)
			f.targets = append(f.targets, t)
			f.byName[config.Name] = t
		}
	}
	return f
}

// Start starts all targets.
func (f *TargetSet) Start() error {
	for _, t := range f.targets {
		if err := t.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all targets at the same time, after the work in flight.
func (f *TargetSet) Stop(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range f.targets {
		wg.Go(func() { t.Stop(ctx) })
	}
	wg.Wait()
}

// Targets returns all targets, service by service.
func (f *TargetSet) Targets() []*Target { return f.targets }

// Target returns one target by name.
func (f *TargetSet) Target(name place.Target) (*Target, bool) {
	t, ok := f.byName[name]
	return t, ok
}

// Register enters all targets in the platform's list.
func (f *TargetSet) Register(now time.Time, p *Platform) {
	for _, t := range f.targets {
		p.SetTarget(now, t.Row(place.Live))
	}
}

// Served returns how many requests ran on each target, service by service.
func (f *TargetSet) Served() map[key.Service][]uint64 {
	out := make(map[key.Service][]uint64)
	for _, t := range f.targets {
		out[t.config.Service] = append(out[t.config.Service], t.Served())
	}
	return out
}

// Name returns the target's name.
func (t *Target) Name() place.Target { return t.config.Name }

// Service returns the service that the target belongs to.
func (t *Target) Service() key.Service { return t.config.Service }

// Zone returns the zone that the target runs in.
func (t *Target) Zone() place.Zone { return t.config.Zone }
