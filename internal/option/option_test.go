package option_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/option"
)

func TestRead(t *testing.T) {
	for name, test := range map[string]struct {
		args  []string
		env   map[string]string
		want  string
		error string
		help  bool
	}{
		"flag":                    {args: []string{"--peer", "10.0.0.1:7000"}, want: "10.0.0.1:7000"},
		"variable":                {env: map[string]string{"CITRONTRAY_PEER": "10.0.0.2:7000"}, want: "10.0.0.2:7000"},
		"flag overrides variable": {args: []string{"--peer", "10.0.0.1:7000"}, env: map[string]string{"CITRONTRAY_PEER": "x"}, want: "10.0.0.1:7000"},
		"unknown flag":            {args: []string{"--bogus"}, error: "flag provided but not defined: -bogus (see --help)"},
		"host name":               {args: []string{"--peer", "localhost:1"}, error: `--peer: "localhost:1" is not an address`},
		"nothing":                 {error: "--peer: is required (set it or CITRONTRAY_PEER)"},
		"help":                    {args: []string{"--help"}, help: true},
		"invalid variable":        {env: map[string]string{"CITRONTRAY_PEER": "nowhere"}, error: `--peer: "nowhere" is not an address`},
	} {
		t.Run(name, func(t *testing.T) {
			for k, v := range test.env {
				t.Setenv(k, v)
			}
			var out strings.Builder
			var peer string
			set := option.New("program", "does things", &out)
			set.StringVar(&peer, "peer", "", "address of a peer")
			err := set.Read(test.args)
			assert.Equal(t, errors.Is(err, option.ErrHelp), test.help)
			assert.Equal(t, strings.Contains(out.String(), "address of a peer"), test.help, "help is printed on --help only")
			if err == nil {
				set.Required("peer", peer)
				if peer != "" {
					set.Address("peer", peer)
				}
				err = set.Findings.Err()
			}
			if test.error != "" {
				assert.ErrorContains(t, err, test.error)
				return
			}
			if !test.help {
				assert.NilError(t, err)
				assert.Equal(t, peer, test.want)
			}
		})
	}
}
