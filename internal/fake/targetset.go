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

// TargetSet holds all targets of one process and their common ledger.
type TargetSet struct {
	Ledger  *Ledger
	targets []*Target
	byName  map[place.Target]*Target
}

// TargetGroup is a number of targets with the same configuration, distributed
// over the zones.
type TargetGroup struct {
	TargetConfig
	Count int
}

// NewTargetSet returns the targets of the groups, which aren't started yet.
// Their names consist of the service and a number.
func NewTargetSet(groups []TargetGroup, zones []place.Zone) *TargetSet {
	s := &TargetSet{Ledger: NewLedger(), byName: make(map[place.Target]*Target)}
	for _, group := range groups {
		for i := range group.Count {
			config := group.TargetConfig
			config.Name = place.Target(fmt.Sprintf("%s-%d", group.Service, i+1))
			config.Zone = zones[i%len(zones)]
			config.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
			t := NewTarget(config, s.Ledger)
			s.targets = append(s.targets, t)
			s.byName[config.Name] = t
		}
	}
	return s
}

// Start starts all targets.
func (s *TargetSet) Start() error {
	for _, t := range s.targets {
		if err := t.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all targets concurrently, after the work in flight or at the end
// of ctx.
func (s *TargetSet) Stop(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range s.targets {
		wg.Go(func() { t.Stop(ctx) })
	}
	wg.Wait()
}

// Targets returns all targets, service by service.
func (s *TargetSet) Targets() []*Target { return s.targets }

// Target returns one target by name.
func (s *TargetSet) Target(name place.Target) (*Target, bool) {
	t, ok := s.byName[name]
	return t, ok
}

// Register adds all targets to the platform's fleet list.
func (s *TargetSet) Register(now time.Time, p *Platform) {
	for _, t := range s.targets {
		p.SetTarget(now, t.Row(place.Live))
	}
}

// Served returns the number of runs on each target, by service.
func (s *TargetSet) Served() map[key.Service][]uint64 {
	out := make(map[key.Service][]uint64)
	for _, t := range s.targets {
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
