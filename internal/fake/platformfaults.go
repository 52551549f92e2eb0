package fake

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// errResponseLost makes the handler respond in a way that leaves the outcome
// unknown.
var errResponseLost = errors.New("fake: response lost after the call took effect")

// PlatformFaults are the faults of the platform. The zero value means none.
type PlatformFaults struct {
	// Down refuses all calls and ends waiting watches.
	Down bool
	// SlowMin and SlowMax bound the delay of a call before it takes effect.
	SlowMin, SlowMax time.Duration
	// LoseResponses is the share of the calls, from 0 to 1, that take effect
	// and whose response is then lost.
	LoseResponses float64
	// StaleReads makes Get return the value before the newest one.
	StaleReads bool
	// PartitionedHosts and PartitionedZones are the callers whose calls are
	// refused.
	PartitionedHosts []place.Host
	PartitionedZones []place.Zone
}

// PlatformCounts counts calls since the start. A waiting watch counts as one
// read.
type PlatformCounts struct {
	Reads, Writes, Conflicts, Refused, LostResponses uint64
}

// callKind distinguishes reads from writes.
type callKind uint8

const (
	readCall callKind = iota
	writeCall
)

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Down && !p.faults.Down {
		close(p.down)
	}
	if !faults.Down && p.faults.Down {
		p.down = make(chan struct{})
	}
	p.faults = faults
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Calls returns the number of calls of each caller so far.
func (p *Platform) Calls() map[platform.Caller]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// beginCall counts a call and injects faults into it. The caller calls the
// returned function after the call has taken effect; it returns the error to
// respond with.
func (p *Platform) beginCall(ctx context.Context, kind callKind) (func() error, error) {
	caller := platform.CallerOf(ctx)
	p.mu.Lock()
	p.calls[caller]++
	if kind == readCall {
		p.counts.Reads++
	} else {
		p.counts.Writes++
	}
	faults := p.faults
	if faults.refuses(caller) {
		p.counts.Refused++
		p.mu.Unlock()
		return nil, platform.ErrUnavailable
	}
	p.mu.Unlock()
	if err := sleep(ctx, faults.delay()); err != nil {
		return nil, err
	}
	return p.endCall, nil
}

// endCall decides whether the response is lost.
func (p *Platform) endCall() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseResponses > 0 && rand.Float64() < p.faults.LoseResponses {
		p.counts.LostResponses++
		return errResponseLost
	}
	return nil
}

func (f PlatformFaults) refuses(caller platform.Caller) bool {
	return f.Down || slices.Contains(f.PartitionedHosts, caller.Host) || slices.Contains(f.PartitionedZones, caller.Zone)
}

func (f PlatformFaults) delay() time.Duration {
	if f.SlowMax <= f.SlowMin {
		return f.SlowMin
	}
	return f.SlowMin + rand.N(f.SlowMax-f.SlowMin)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
