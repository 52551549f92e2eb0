package lab

import (
	"fmt"
	"strings"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/preset"
)

// Limits of sized deployments.
const (
	maxServices = 64
	maxTargets  = 1000
)

// sizedPreset returns a generated deployment, for measuring how costs grow with size. Its
// name is SERVICESxTARGETSxSHARDS; targets and shards are per service.
func sizedPreset(name string) (preset.Preset, bool) {
	var services, targets, shards int
	n, err := fmt.Sscanf(name, "%dx%dx%d", &services, &targets, &shards)
	if err != nil || n != 3 || services < 1 || services > maxServices || targets < 1 || targets > maxTargets {
		return preset.Preset{}, false
	}
	p := preset.Preset{
		Name:   preset.Name(name),
		Region: "region",
		Zones:  []place.Zone{"region-a", "region-b", "region-c"},
		Hosts:  3,
	}
	var file strings.Builder
	for i := range services {
		service := fmt.Sprintf("service%d", i+1)
		p.Services = append(p.Services, preset.Service{Name: key.Service(service), Targets: targets})
		fmt.Fprintf(&file, sizedServiceFile, service, shards)
	}
	p.File = []byte(file.String())
	return p, true
}

// sizedServiceFile is the format of one service's settings, with its name and its number
// of shards as arguments.
const sizedServiceFile = `teams/sized/services/%s:
  zones: [region-a, region-b, region-c]
  shards: %d
  slots: 3
  connections: 130
`
