package settings_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

// mutate modifies, deletes or repeats a few random parts of body.
func mutate(r *rand.Rand, body []byte) []byte {
	const yamlChars = "[]{}:,&*!|>'\"%@-#?~ \n\t\x00a\xff"
	out := slices.Clone(body)
	for range 1 + r.IntN(8) {
		if len(out) == 0 {
			return out
		}
		i := r.IntN(len(out))
		j := min(len(out), i+r.IntN(200))
		switch r.IntN(4) {
		case 0:
			out[i] = yamlChars[r.IntN(len(yamlChars))]
		case 1:
			out[i] = byte(r.IntN(256))
		case 2:
			out = slices.Delete(out, i, j)
		case 3:
			out = slices.Insert(out, j, slices.Clone(out[i:j])...)
		}
	}
	return out
}

// TestMutatedInput parses randomly damaged files and documents, from a fixed seed:
// none may panic, and valid ones must survive a round trip.
func TestMutatedInput(t *testing.T) {
	const files, documents = 600, 6000
	r := rand.New(rand.NewPCG(1, 2))
	for _, name := range preset.All() {
		p, err := preset.Get(name)
		assert.NilError(t, err)
		for range files {
			checkRoundTrip(t, mutate(r, p.File))
		}
	}
	document := settings.Encode(agencySettings(t))
	for range documents {
		s, err := settings.Decode(mutate(r, document))
		if err != nil {
			continue
		}
		_, err = settings.Decode(settings.Encode(s))
		assert.NilError(t, err)
	}
}

// checkRoundTrip checks that a valid file survives formatting and parsing.
func checkRoundTrip(t *testing.T, file []byte) {
	t.Helper()
	changes, err := settings.Parse(file)
	if err != nil {
		return
	}
	s, err := (&settings.Settings{}).With(changes)
	if err != nil {
		return
	}
	text := settings.Format(s.Items())
	again, err := settings.Parse([]byte(text))
	assert.NilError(t, err, "formatted as:\n%s", text)
	back, err := (&settings.Settings{}).With(again)
	assert.NilError(t, err, "formatted as:\n%s", text)
	assert.Equal(t, len(settings.Diff(s, back)), 0)
}
