// Package preset holds the deployments of the agency and the consortium at their
// present sizes, for trials.
package preset

import (
	_ "embed"
	"fmt"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/settings"
)

//go:embed agency.yaml
var agencyFile []byte

//go:embed consortium.yaml
var consortiumFile []byte

// credentialPrefix is the prefix of the callers' credentials in the presets.
const credentialPrefix = "trial-"

// Name is the name of a preset.
type Name string

// Names of the presets.
const (
	Agency     Name = "agency"
	Consortium Name = "consortium"
)

// Preset is a deployment: its hosts, its targets and its settings.
type Preset struct {
	Name   Name
	Region place.Region
	Zones  []place.Zone
	// Hosts is the number of entry hosts, distributed over the zones in turn.
	Hosts int
	// File is the settings file, as for citrontray apply.
	File     []byte
	Services []Service
}

// Service is the number of targets of a service, distributed over the zones in turn.
type Service struct {
	Name    key.Service
	Targets int
}

// All returns the names of the presets.
func All() []Name { return []Name{Agency, Consortium} }

// Get returns the named preset.
func Get(name Name) (Preset, error) {
	switch name {
	case Agency:
		return Preset{
			Name:     Agency,
			Region:   "anadolu",
			Zones:    []place.Zone{"anadolu-a", "anadolu-b", "anadolu-c"},
			Hosts:    9,
			File:     agencyFile,
			Services: []Service{{"balance", 20}, {"reminder", 12}, {"plan", 6}},
		}, nil
	case Consortium:
		return Preset{
			Name:     Consortium,
			Region:   "ng-southwest",
			Zones:    []place.Zone{"ng-southwest-a", "ng-southwest-b", "ng-southwest-c"},
			Hosts:    9,
			File:     consortiumFile,
			Services: []Service{{"register", 15}, {"defect", 10}, {"clearance", 6}},
		}, nil
	}
	return Preset{}, fmt.Errorf("unknown preset %q, the presets are %v", name, All())
}

// Settings returns the preset's settings, with the number of a first accepted revision.
func (p Preset) Settings() (*settings.Settings, error) {
	changes, err := settings.Parse(p.File)
	if err != nil {
		return nil, err
	}
	s, err := (&settings.Settings{}).With(changes)
	if err != nil {
		return nil, err
	}
	s.Number = 1
	return s, nil
}

// Credential returns the bearer credential of a caller of the presets. It is for
// trials only.
func Credential(name settings.Caller) string { return credentialPrefix + string(name) }
