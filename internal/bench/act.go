package bench

import (
	"fmt"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/place"
)

// The parts of answers that go wrong.
const (
	lostAnswers = 0.3
	badAnswers  = 0.05
)

// act carries out one action.
func (r *Run) act(action Action) error {
	switch a := action.(type) {
	case KillTarget:
		r.target(a.Target).Kill()
	case RestartTarget:
		return r.target(a.Target).Start()
	case FreezeTarget:
		r.target(a.Target).Freeze()
	case ThawTarget:
		r.target(a.Target).Thaw()
	case StoreDown:
		r.platform.SetFaults(fake.PlatformFaults{Down: true})
	case StoreSlow:
		r.platform.SetFaults(fake.PlatformFaults{SlowMin: slowMin, SlowMax: slowMax})
	case StoreLosesAnswers:
		r.platform.SetFaults(fake.PlatformFaults{LoseResponses: lostAnswers})
	case Misbehave:
		r.target(a.Target).SetFaults(fake.TargetFaults{
			Reset: badAnswers, SwapResponse: badAnswers, Truncated: badAnswers,
			DelayResponse: badAnswers / 5, Oversized: badAnswers / 5,
		})
	case StoreUp:
		r.platform.SetFaults(fake.PlatformFaults{})
	case CutZone:
		r.platform.SetFaults(fake.PlatformFaults{PartitionedZones: []place.Zone{r.Preset.Zones[a.Zone]}})
	case SplitZone:
		r.platform.SetFaults(fake.PlatformFaults{PartitionedZones: []place.Zone{r.Preset.Zones[a.Zone]}})
		r.network.Partition(r.Preset.Zones[a.Zone])
	case JoinZone:
		r.network.Partition()
		r.platform.SetFaults(fake.PlatformFaults{})
	case SetLoad:
		r.measured.SetFactor(a.Load / r.Scenario.Load)
	case SetHot:
		r.measured.SetHot(a.Hot)
	default:
		return r.actOnHosts(action)
	}
	return nil
}

// actOnHosts carries out an action that the script has a part in.
func (r *Run) actOnHosts(action Action) error {
	switch a := action.(type) {
	case KillLead:
		if err := r.chooseLead(); err != nil {
			return err
		}
		return r.Director.Signal("KILL", r.led, LeadPart)
	case StartLead:
		return r.Director.Start(r.led, LeadPart)
	case PauseLead:
		if err := r.chooseLead(); err != nil {
			return err
		}
		return r.Director.Signal("STOP", r.led, LeadPart)
	case ResumeLead:
		return r.Director.Signal("CONT", r.led, LeadPart)
	case ReplaceHost:
		if a.Host < len(r.Hosts) {
			return r.replace(r.Hosts[a.Host])
		}
		return nil
	case DrainTarget:
		err := r.Director.Operate("drain", string(r.target(a.Target).Name()))
		r.leaving = leaving{target: r.target(a.Target), since: time.Now()}
		return err
	case RaceSettings:
		return r.Director.Operate("race")
	}
	return fmt.Errorf("bench: no such action as %T", action)
}

// target returns a target by its number within the deployment.
func (r *Run) target(n int) *fake.Target { return r.farm.Targets()[n] }

// chooseLead picks the lead of the cell that the first target is in.
func (r *Run) chooseLead() error {
	first := r.target(0)
	lease := fmt.Sprintf("lease/%s/%s", first.Service(), first.Zone())
	// The holder is the host and its life, HOST/LIFE.
	host, _, _ := strings.Cut(r.platform.LastHolder(lease), "/")
	r.led = place.Host(host)
	if r.led == "" {
		return fmt.Errorf("bench: nobody holds %s", lease)
	}
	r.Log.Info("lead chosen", "lease", lease, "host", r.led)
	return nil
}

// replace stops a host as planned and starts a new one in its place.
func (r *Run) replace(host Host) error {
	r.platform.SetHost(time.Now(), host.Row(place.Leaving))
	for _, part := range []Part{EntryPart, LeadPart} {
		if err := r.Director.Stop(host.Name, part); err != nil {
			return err
		}
	}
	for _, part := range []Part{LeadPart, EntryPart} {
		if err := r.Director.Start(host.Name, part); err != nil {
			return err
		}
	}
	r.platform.SetHost(time.Now(), host.Row(place.Live))
	return nil
}
