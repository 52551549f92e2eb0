package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/settings"
)

// deploymentFile returns a settings file of teams, each with a service and ten
// callers that have a route and a limit each.
func deploymentFile(teams int) string {
	const callers = 10
	var b strings.Builder
	for t := range teams {
		fmt.Fprintf(&b, "teams/t%d/services/s%d: {zones: [a, b, c], moves: 30}\n", t, t)
		for c := range callers {
			name := fmt.Sprintf("c%d-%d", t, c)
			fmt.Fprintf(&b, "teams/t%d/callers/%s: {tenant: t%d, credential: %q}\n", t, name, t, settings.FormatHash(settings.HashCredential(name)))
			fmt.Fprintf(&b, "teams/t%d/routes/r%d: {service: s%d, callers: [%s], methods: [GET], path: '/x/{key}', class: interactive, idempotent: true}\n", t, c, t, name)
			fmt.Fprintf(&b, "teams/t%d/limits/%s/interactive: {rate: %d}\n", t, name, 100+c)
		}
	}
	return b.String()
}

// BenchmarkSize measures the costs that grow with the number of settings: the
// document size, validating a write, and decoding a revision on each host.
func BenchmarkSize(b *testing.B) {
	for _, teams := range []int{1, 10, 100, 200} {
		changes, err := settings.Parse([]byte(deploymentFile(teams)))
		assert.NilError(b, err)
		s, err := (&settings.Settings{}).With(changes)
		assert.NilError(b, err)
		body := settings.Encode(s)
		one, err := settings.Parse([]byte("teams/t0/services/s0: {zones: [a, b, c], moves: 31}"))
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("with/settings=%d", len(changes)), func(b *testing.B) {
			for b.Loop() {
				_, err = s.With(one)
			}
			b.ReportMetric(float64(len(body)), "document_bytes")
		})
		b.Run(fmt.Sprintf("decode/settings=%d", len(changes)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err = settings.Decode(body)
			}
		})
		assert.NilError(b, err)
	}
}
