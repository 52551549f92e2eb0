package preset_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

func TestPresetsAreValid(t *testing.T) {
	for _, name := range preset.All() {
		t.Run(string(name), func(t *testing.T) {
			p, err := preset.Get(name)
			assert.NilError(t, err)
			s, err := p.Settings()
			assert.NilError(t, err)
			for _, service := range p.Services {
				row, ok := s.Service(service.Name)
				assert.Assert(t, ok, "service %s", service.Name)
				assert.DeepEqual(t, row.Zones, p.Zones)
			}
			for _, caller := range s.Callers {
				row, ok := s.Authenticate(preset.Credential(caller.Name))
				assert.Assert(t, ok, "caller %s", caller.Name)
				assert.Equal(t, row.Name, caller.Name)
				assert.Assert(t, len(s.RoutesOf(caller.Name)) > 0, "routes of %s", caller.Name)
			}
			again, err := settings.Decode(settings.Encode(s))
			assert.NilError(t, err)
			assert.Equal(t, settings.Format(again.Items()), settings.Format(s.Items()))
		})
	}
}
