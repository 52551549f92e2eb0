// Package preset holds the two deployments that the trials run: the agency's
// and the consortium's, at today's sizes.
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

// credentialPrefix starts the credential of each caller of the presets.
const credentialPrefix = "trial-"

// Name names a preset.
type Name string

// The presets.
const (
	Agency     Name = "agency"
	Consortium Name = "consortium"
)

// Preset is one deployment.
type Preset struct {
	Name   Name
	Region place.Region
	Zones  []place.Zone
	// Hosts is the number of entry hosts, spread over the zones in turn.
	Hosts int
	// File is the settings in the format of citrontray apply.
	File     []byte
	Services []Service
}

// Service gives the number of targets of a service, spread over the zones in
// turn.
type Service struct {
	Name    key.Service
	Targets int
}

// All lists the presets by name.
func All() []Name { return []Name{Agency, Consortium} }

// Get returns a preset.
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
	return Preset{}, fmt.Errorf("no preset %q, there are %v", name, All())
}

// Settings returns the preset's settings, as if they were the first accepted.
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

// Credential returns the bearer credential of a caller of the presets. It is
// for trials alone.
func Credential(name settings.Caller) string { return credentialPrefix + string(name) }
