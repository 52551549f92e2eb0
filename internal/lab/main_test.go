package lab

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/finding"
)

func TestMainReportsAllBadInputTogether(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"help":         {args: []string{"--help"}, code: 0},
		"version":      {args: []string{"--version"}, code: 0, want: []string{"citrontray-lab"}},
		"unknown flag": {args: []string{"--fast"}, code: 2, want: []string{"fast"}},
		"bad bench":    {args: []string{"bench", "--scenario", "x", "--preset", "y", "--platform", "z", "--hosts", "/no"}, code: 2, want: []string{"--scenario", "--preset", "--platform", "--hosts"}},
		"bad platform": {args: []string{"platform", "--address", "localhost"}, code: 2, want: []string{"--address"}},
		"bad targets":  {args: []string{"targets", "--address", "a", "--platform", "b", "--preset", "c"}, code: 2, want: []string{"--address", "--platform", "--preset"}},
		"bad load":     {args: []string{"load", "--targets", "a", "--preset", "c", "--hosts", "/no"}, code: 2, want: []string{"--targets", "--preset", "--hosts"}},
		"bad check":    {args: []string{"check", "--targets", "a"}, code: 2, want: []string{"--targets"}},
		"preset":       {args: []string{"preset", "--name", "agency"}, code: 0, want: []string{"teams/agency/services/balance"}},
		"sized preset": {args: []string{"preset", "--name", "2x3x64"}, code: 0, want: []string{"service2"}},
		"invalid size": {args: []string{"preset", "--name", "0x3x64"}, code: 2, want: []string{"--preset"}},
		"scenarios":    {args: []string{"scenarios"}, code: 0, want: []string{"steady", "targetloss"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, Main(tt.args, &out, &out), tt.code)
			for _, text := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), text), "%s", out.String())
			}
		})
	}
}

func TestSizedDeploymentsAreValid(t *testing.T) {
	for _, name := range []string{"1x6x256", "16x96x4096"} {
		var findings finding.List
		p, s := readPreset(&findings, name)
		assert.NilError(t, findings.Err())
		assert.Equal(t, len(s.Services), len(p.Services))
	}
}

func TestFreePortsAreBelowThoseOfOutgoingConnections(t *testing.T) {
	ports, err := freePorts(20)
	assert.NilError(t, err)
	seen := make(map[int]bool)
	for _, port := range ports {
		assert.Assert(t, port >= firstPort && port < lastPort && !seen[port], "%d", port)
		seen[port] = true
	}
}
