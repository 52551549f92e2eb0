// Package bench runs scenarios: a deployment of real processes under load,
// with faults at fixed times, measured by what callers and targets saw.
package bench

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/load"
)

// Name names a scenario.
type Name string

// Idle is the scenario without load, for measuring slopes.
const Idle Name = "idle"

// Scenario is one run: the load goes on for Length, steps happen on the way.
type Scenario struct {
	Name        Name
	Description string
	Length      time.Duration
	// Load is the part of the targets' capacity that the load takes.
	Load float64
	// Slowdown makes each run at a target take longer, so that one machine
	// can make more load than the targets have capacity; zero stands for 1.
	Slowdown int
	Hot      load.HotSet
	// NoFailures tells that nothing fails: no request may be cut then.
	NoFailures bool
	// Network puts a network that can be cut between the hosts' peers.
	Network bool
	// Settings tells to measure when settings are in force.
	Settings bool
	Steps    []Step
}

func (s Scenario) slowdown() int { return max(s.Slowdown, 1) }

// Step is one action at a time after the start of the measurement.
type Step struct {
	At     time.Duration
	Action Action
}

// Action is what happens in a step.
type Action interface{ action() }

// KillTarget ends the process of a target, by its number in the deployment.
type KillTarget struct{ Target int }

// RestartTarget starts a killed target again at the same address.
type RestartTarget struct{ Target int }

// FreezeTarget pauses a target.
type FreezeTarget struct{ Target int }

// ThawTarget lets a frozen target go on as if nothing had happened.
type ThawTarget struct{ Target int }

// Misbehave has a target cut, cross, truncate, swell and delay some answers.
type Misbehave struct{ Target int }

// KillLead ends the lead process of the first target's cell without warning.
type KillLead struct{}

// StartLead starts a killed lead process again.
type StartLead struct{}

// PauseLead stops the lead process of the first target's cell.
type PauseLead struct{}

// ResumeLead lets a paused lead process go on.
type ResumeLead struct{}

// StoreDown takes the platform's service away.
type StoreDown struct{}

// StoreSlow makes each call of the platform's service take 2 to 10 s.
type StoreSlow struct{}

// StoreLosesAnswers loses the answers of 3 calls of 10 after they took effect.
type StoreLosesAnswers struct{}

// StoreUp ends all faults of the platform's service.
type StoreUp struct{}

// CutZone cuts one zone, by its number, off from the platform.
type CutZone struct{ Zone int }

// SplitZone cuts one zone, by its number, off from the platform and from the
// peers of all other zones.
type SplitZone struct{ Zone int }

// JoinZone ends a CutZone and a SplitZone.
type JoinZone struct{}

// ReplaceHost stops both processes of a host, by its number, as planned, and
// starts new ones.
type ReplaceHost struct{ Host int }

// DrainTarget has an operator drain a target.
type DrainTarget struct{ Target int }

// SetLoad changes the part of the capacity that the load takes.
type SetLoad struct{ Load float64 }

// SetHot changes the hot keys.
type SetHot struct{ Hot load.HotSet }

// RaceSettings has ten operators write the same settings at once.
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

// baseLoad is the part of the capacity that most scenarios load.
const baseLoad = 0.25

// hotCount is how many keys are hot at a time, hotShare what they take.
const (
	hotCount = 74
	hotShare = 0.5
)

// hotSet returns the n-th hot set; no two have a key in common.
func hotSet(n int) load.HotSet {
	return load.HotSet{First: n * hotCount, Count: hotCount, Share: hotShare}
}

// All lists the scenarios.
func All() []Scenario {
	return slices.Concat(targetScenarios(), leadScenarios(), storeScenarios(), loadScenarios())
}

// Find returns a scenario by name.
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
			Name: "demo", Description: "a mixed load; one target is stopped half way",
			Length: 8 * time.Second, Load: 0.1,
			Steps: []Step{{4 * time.Second, KillTarget{0}}},
		},
		{
			Name: Idle, Description: "no load: what control costs by itself",
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
			Name: "targetfreeze", Description: "one target is frozen for 10 s and goes on as if nothing had happened",
			Length: 20 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, FreezeTarget{0}}, {14 * time.Second, ThawTarget{0}}},
		},
		{
			Name: "badanswers", Description: "one target cuts, crosses, truncates, swells and delays answers",
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
			Name: "rackloss", Description: "the lead process of a cell and a target of it are killed at once",
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
			Name: "storeout", Description: "the platform's service is out for 12 s",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, StoreDown{}}, {16 * time.Second, StoreUp{}}},
		},
		{
			Name: "storeouttargetloss", Description: "a target is killed while the platform's service is out",
			Length: 25 * time.Second, Load: baseLoad,
			Steps: []Step{
				{4 * time.Second, StoreDown{}},
				{8 * time.Second, KillTarget{0}},
				{20 * time.Second, StoreUp{}},
			},
		},
		{
			Name: "storeoutleadloss", Description: "the lead process of a cell is killed while the platform's service is out",
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
			Name: "storelost", Description: "the store loses 3 of 10 answers; a target and then a lead are killed",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{
				{3 * time.Second, StoreLosesAnswers{}},
				{5 * time.Second, KillTarget{0}},
				{11 * time.Second, KillLead{}},
				{18 * time.Second, StoreUp{}},
			},
		},
		{
			Name: "zonecut", Description: "one zone is cut off from the platform for 12 s",
			Length: 22 * time.Second, Load: baseLoad,
			Steps: []Step{{4 * time.Second, CutZone{2}}, {16 * time.Second, JoinZone{}}},
		},
		{
			Name: "zonesplit", Description: "one zone is cut off from the platform and the other zones for 14 s and loses a target",
			Length: 24 * time.Second, Load: baseLoad, Network: true,
			Steps: []Step{
				{3 * time.Second, SplitZone{0}},
				{6 * time.Second, KillTarget{0}},
				{17 * time.Second, JoinZone{}},
			},
		},
		{
			Name: "settingsrace", Description: "ten operators write the same settings at once, three times",
			Length: 15 * time.Second, Load: baseLoad, NoFailures: true, Settings: true,
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
			Name: "hotkeys", Description: "74 keys take half of the load; they change every 8 s",
			Length: 32 * time.Second, Load: baseLoad, NoFailures: true, Hot: hotSet(0),
			Steps: []Step{
				{8 * time.Second, SetHot{hotSet(1)}},
				{16 * time.Second, SetHot{hotSet(2)}},
				{24 * time.Second, SetHot{hotSet(3)}},
			},
		},
	}
}
