// Package bench runs scenarios: deployments of real processes under load, with faults at
// fixed times, measured at the callers and the targets.
package bench

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/load"
)

// Name is the name of a scenario.
type Name string

// Idle is the scenario without load, for measuring how costs grow with size.
const Idle Name = "idle"

// Scenario is a load of the given Length with steps at fixed times.
type Scenario struct {
	Name        Name
	Description string
	Length      time.Duration
	// Load is the load as a fraction of the targets' capacity.
	Load float64
	// Slowdown multiplies the time of each run at a target, so that one machine can
	// generate more load than the targets can serve; zero means 1.
	Slowdown int
	Hot      load.HotSet
	// NoFailures is set if no step is a failure: then no request may be broken off.
	NoFailures bool
	// Network routes the traffic between the hosts' peers through a fake network,
	// which SplitZone can partition.
	Network bool
	// MeasureConvergence enables measuring how long settings take to come into force.
	MeasureConvergence bool
	Steps              []Step
}

func (s Scenario) slowdown() int { return max(s.Slowdown, 1) }

// Step is an action with its time after the start of the measurement.
type Step struct {
	At     time.Duration
	Action Action
}

// Action is the action of a step.
type Action interface{ action() }

// KillTarget kills a target. Targets are numbered across the deployment.
type KillTarget struct{ Target int }

// RestartTarget restarts a killed target at the same address.
type RestartTarget struct{ Target int }

// FreezeTarget pauses a target.
type FreezeTarget struct{ Target int }

// ThawTarget resumes a frozen target. Its clock ran during the pause.
type ThawTarget struct{ Target int }

// Misbehave makes a target break off, mix up, truncate, oversize or delay some responses.
type Misbehave struct{ Target int }

// KillLead kills the lead process that leads the first target's cell.
type KillLead struct{}

// StartLead restarts the killed lead process.
type StartLead struct{}

// PauseLead pauses the lead process that leads the first target's cell.
type PauseLead struct{}

// ResumeLead resumes the paused lead process.
type ResumeLead struct{}

// StoreDown makes the platform's service unavailable.
type StoreDown struct{}

// StoreSlow makes each call of the platform's service take 2 to 10 s.
type StoreSlow struct{}

// StoreLosesAnswers makes the platform's service lose the responses to 3 of 10 calls that
// took effect.
type StoreLosesAnswers struct{}

// StoreUp ends all faults of the platform's service.
type StoreUp struct{}

// CutZone isolates a zone, by its number, from the platform.
type CutZone struct{ Zone int }

// SplitZone isolates a zone, by its number, from the platform and from the peers in all
// other zones.
type SplitZone struct{ Zone int }

// JoinZone ends the effects of CutZone and SplitZone.
type JoinZone struct{}

// ReplaceHost stops both processes of a host, by its number, gracefully and starts new
// ones.
type ReplaceHost struct{ Host int }

// DrainTarget makes an operator drain a target.
type DrainTarget struct{ Target int }

// SetLoad changes the load, as a fraction of the capacity.
type SetLoad struct{ Load float64 }

// SetHot changes the hot keys.
type SetHot struct{ Hot load.HotSet }

// RaceSettings makes ten operators write the same settings at once.
type RaceSettings struct{}

func (KillTarget) action()        {}
func (RestartTarget) action()     {}
func (FreezeTarget) action()      {}
func (ThawTarget) action()        {}
func (Misbehave) action()         {}
func (KillLead) action()          {}
func (StartLead) action()         {}
func (PauseLead) action()         {}
func (ResumeLead) action()        {}
func (StoreDown) action()         {}
func (StoreSlow) action()         {}
func (StoreLosesAnswers) action() {}
func (StoreUp) action()           {}
func (CutZone) action()           {}
func (SplitZone) action()         {}
func (JoinZone) action()          {}
func (ReplaceHost) action()       {}
func (DrainTarget) action()       {}
func (SetLoad) action()           {}
func (SetHot) action()            {}
func (RaceSettings) action()      {}

// baseLoad is the load of most scenarios, as a fraction of the capacity.
const baseLoad = 0.25

// hotCount is the number of keys that are hot at a time, hotShare their share of requests.
const (
	hotCount = 74
	hotShare = 0.5
)

// hotSet returns the n-th hot set. Hot sets are disjoint.
func hotSet(n int) load.HotSet {
	return load.HotSet{First: n * hotCount, Count: hotCount, Share: hotShare}
}

// All returns all scenarios.
func All() []Scenario {
	return slices.Concat(targetScenarios(), leadScenarios(), storeScenarios(), loadScenarios())
}

// Find returns the named scenario.
func Find(name Name) (Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func targetScenarios() []Scenario {
	return []Scenario{
		{
			Name: "demo", Description: "a mixed load; one target is killed half way",
			Length: 8 * time.Second, Load: 0.1,
			Steps: []Step{{4 * time.Second, KillTarget{0}}},
		},
		{
			Name: Idle, Description: "no load: the cost of the control plane alone",
			Length: 10 * time.Second,
		},
		{
			Name: "steady", Description: "an even load, no faults",
			Length: 15 * time.Second, Load: baseLoad, NoFailures: true,
		},
		{
			Name: "targetloss", Description: "one target is killed and comes back 10 s later",
			Length: 20 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, KillTarget{0}}, {14 * time.Second, RestartTarget{0}}},
		},
		{
			Name: "targetfreeze", Description: "one target is paused for 10 s while its clock runs",
			Length: 20 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, FreezeTarget{0}}, {14 * time.Second, ThawTarget{0}}},
		},
		{
			Name: "badanswers", Description: "one target breaks off, mixes up, truncates, oversizes and delays responses",
			Length: 15 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, Misbehave{0}}},
		},
		{
			Name: "drain", Description: "an operator drains one target",
			Length: 15 * time.Second, Load: baseLoad, NoFailures: true,
			Steps: []Step{{4 * time.Second, DrainTarget{0}}},
		},
	}
}

func leadScenarios() []Scenario {
	return []Scenario{
		{
			Name: "leadloss", Description: "the lead process of a cell is killed and comes back 10 s later",
			Length: 20 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, KillLead{}}, {14 * time.Second, StartLead{}}},
		},
		{
			Name: "rackloss", Description: "the lead process and a target of a cell are killed at once",
			Length: 20 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, KillLead{}}, {4 * time.Second, KillTarget{0}}, {14 * time.Second, StartLead{}}},
		},
		{
			Name: "leadpause", Description: "the lead process of a cell is paused for 6 s",
			Length: 18 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, PauseLead{}}, {10 * time.Second, ResumeLead{}}},
		},
		{
			Name: "rolling", Description: "the entry hosts are replaced one by one",
			Length: 35 * time.Second, Load: baseLoad, NoFailures: true,
			Steps: rollingSteps(9, 3500*time.Millisecond),
		},
	}
}

func rollingSteps(hosts int, every time.Duration) []Step {
	steps := make([]Step, hosts)
	for i := range steps {
		steps[i] = Step{time.Duration(i+1) * every, ReplaceHost{i}}
	}
	return steps
}

func storeScenarios() []Scenario {
	return []Scenario{
		{
			Name: "storeout", Description: "the platform's service is unavailable for 12 s",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, StoreDown{}}, {16 * time.Second, StoreUp{}}},
		},
		{
			Name: "storeouttargetloss", Description: "a target is killed while the platform's service is unavailable",
			Length: 25 * time.Second, Load: baseLoad,
			Steps: []Step{
				{4 * time.Second, StoreDown{}},
				{8 * time.Second, KillTarget{0}},
				{20 * time.Second, StoreUp{}},
			},
		},
		{
			Name: "storeoutleadloss", Description: "the lead process of a cell is killed while the platform's service is unavailable",
			Length: 25 * time.Second, Load: baseLoad,
			Steps: []Step{
				{4 * time.Second, StoreDown{}},
				{8 * time.Second, KillLead{}},
				{20 * time.Second, StoreUp{}},
			},
		},
		{
			Name: "storeslow", Description: "each call of the platform's service takes 2 to 10 s, for 14 s",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, StoreSlow{}}, {18 * time.Second, StoreUp{}}},
		},
		{
			Name: "storelost", Description: "the store loses 3 of 10 responses; a target and then a lead process are killed",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{
				{3 * time.Second, StoreLosesAnswers{}},
				{5 * time.Second, KillTarget{0}},
				{11 * time.Second, KillLead{}},
				{18 * time.Second, StoreUp{}},
			},
		},
		{
			Name: "zonecut", Description: "one zone is isolated from the platform for 12 s",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, CutZone{2}}, {16 * time.Second, JoinZone{}}},
		},
		{
			Name: "zonesplit", Description: "one zone is isolated from the platform and the other zones for 14 s and loses a target",
			Length: 24 * time.Second, Load: baseLoad, Network: true,
			Steps: []Step{
				{3 * time.Second, SplitZone{0}},
				{6 * time.Second, KillTarget{0}},
				{17 * time.Second, JoinZone{}},
			},
		},
		{
			Name: "settingsrace", Description: "ten operators write the same settings at once, three times",
			Length: 15 * time.Second, Load: baseLoad, NoFailures: true, MeasureConvergence: true,
			Steps: []Step{
				{2 * time.Second, RaceSettings{}},
				{5 * time.Second, RaceSettings{}},
				{8 * time.Second, RaceSettings{}},
			},
		},
	}
}

func loadScenarios() []Scenario {
	return []Scenario{
		{
			Name: "overload", Description: "the load is 1.5 times the capacity for 10 s",
			Length: 20 * time.Second, Load: baseLoad, Slowdown: 4,
			Steps: []Step{{5 * time.Second, SetLoad{1.5}}, {15 * time.Second, SetLoad{baseLoad}}},
		},
		{
			Name: "hotkeys", Description: "74 keys take half of the load; other keys every 8 s",
			Length: 32 * time.Second, Load: baseLoad, NoFailures: true, Hot: hotSet(0),
			Steps: []Step{
				{8 * time.Second, SetHot{hotSet(1)}},
				{16 * time.Second, SetHot{hotSet(2)}},
				{24 * time.Second, SetHot{hotSet(3)}},
			},
		},
	}
}
