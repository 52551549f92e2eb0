package bench

import (
	"fmt"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/place"
)

// Ratios of responses that a fault affects.
const (
	lostResponseRatio = 0.3
	badResponseRatio  = 0.05
)

// do carries out an action.
func (r *Run) do(action Action) error {
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
		r.platform.SetFaults(fake.PlatformFaults{LoseResponses: lostResponseRatio})
	case Misbehave:
		r.target(a.Target).SetFaults(fake.TargetFaults{
			Reset: badResponseRatio, SwapResponse: badResponseRatio, Truncated: badResponseRatio,
			DelayResponse: badResponseRatio / 5, Oversized: badResponseRatio / 5,
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
		r.generator.SetFactor(a.Load / r.Scenario.Load)
	case SetHot:
		r.generator.SetHot(a.Hot)
	default:
		return r.doOnHosts(action)
	}
	return nil
}

// doOnHosts carries out an action on hosts or by an operator, through the supervisor.
func (r *Run) doOnHosts(action Action) error {
	switch a := action.(type) {
	case KillLead:
		if err := r.chooseLead(); err != nil {
			return err
		}
		return r.Supervisor.Signal("KILL", r.chosenLead, LeadProcess)
	case StartLead:
		return r.Supervisor.Start(r.chosenLead, LeadProcess)
	case PauseLead:
		if err := r.chooseLead(); err != nil {
			return err
		}
		return r.Supervisor.Signal("STOP", r.chosenLead, LeadProcess)
	case ResumeLead:
		return r.Supervisor.Signal("CONT", r.chosenLead, LeadProcess)
	case ReplaceHost:
		if a.Host < len(r.Hosts) {
			return r.replace(r.Hosts[a.Host])
		}
		return nil
	case DrainTarget:
		err := r.Supervisor.RunTask("drain", string(r.target(a.Target).Name()))
		r.drained = drainedTarget{target: r.target(a.Target), since: time.Now()}
		return err
	case RaceSettings:
		return r.Supervisor.RunTask("race")
	}
	return fmt.Errorf("bench: unknown action %T", action)
}

// target returns the n-th target of the deployment.
func (r *Run) target(n int) *fake.Target { return r.targets.Targets()[n] }

// chooseLead chooses the lead process that leads the cell of the first target.
func (r *Run) chooseLead() error {
	first := r.target(0)
	lease := fmt.Sprintf("lease/%s/%s", first.Service(), first.Zone())
	// The holder has the form HOST/INCARNATION.
	host, _, _ := strings.Cut(r.platform.LastHolder(lease), "/")
	r.chosenLead = place.Host(host)
	if r.chosenLead == "" {
		return fmt.Errorf("bench: no host holds %s", lease)
	}
	r.Log.Info("Leader chosen.", "lease", lease, "host", r.chosenLead)
	return nil
}

// replace stops the processes of a host gracefully and starts new ones.
func (r *Run) replace(host Host) error {
	r.platform.SetHost(time.Now(), host.Row(place.Leaving))
	for _, process := range []Process{EntryProcess, LeadProcess} {
		if err := r.Supervisor.Stop(host.Name, process); err != nil {
			return err
		}
	}
	for _, process := range []Process{LeadProcess, EntryProcess} {
		if err := r.Supervisor.Start(host.Name, process); err != nil {
			return err
		}
	}
	r.platform.SetHost(time.Now(), host.Row(place.Live))
	return nil
}
