package settings_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

// agencySettings returns the settings of the agency preset.
func agencySettings(t testing.TB) *settings.Settings {
	t.Helper()
	p, err := preset.Get(preset.Agency)
	assert.NilError(t, err)
	s, err := p.Settings()
	assert.NilError(t, err)
	return s
}

func TestFindings(t *testing.T) {
	const caller = "teams/a/callers/c: {tenant: t, credential: 'sha256:" + "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef" + "'}\n"
	const service = "teams/a/services/s: {zones: [z]}\n"
	const route = "service: s, callers: [c], methods: [GET], path: '/x/{key}', class: bulk, idempotent: true"
	cases := map[string]struct {
		file string
		want []string
	}{
		"syntax":         {"a: [", []string{"file at 1:"}},
		"no mapping":     {"- a", []string{"file at 1:1: is not a mapping of paths"}},
		"unknown path":   {"teams/a/service/s: {}", []string{"teams/a/service/s at 1:1: is not the path of a setting"}},
		"unknown field":  {"# one\nteams/a/services/s:\n  zones: [z]\n  zonse: [z]\n", []string{"teams/a/services/s zonse at 4:3: is not a field of this setting"}},
		"several fields": {"teams/a/services/s:\n  zones: []\n  shards: 1000\n  slots: many\n", []string{"shards at 3:3: is not a power of two", "slots at 4:3: is not a number from 1", "zones at 2:3: is empty"}},
		"required":       {"teams/a/callers/c: {tenant: t}", []string{"teams/a/callers/c credential at 1:1: is required"}},
		"no credential":  {"teams/a/callers/c: {tenant: t, credential: secret}", []string{"never write the credential itself"}},
		"no service":     {caller + "teams/a/routes/r: {" + route + "}", []string{"refers to service s, which does not exist"}},
		"no caller":      {service + "teams/a/routes/r: {" + route + "}", []string{"refers to caller c, which does not exist"}},
		"twice":          {service + "teams/b/services/s: {zones: [z]}", []string{"has the name of another service"}},
		"path twice":     {"a: {}\nb: {}\na: {}\n", []string{"already defined"}},
		"same requests":  {service + caller + "teams/a/routes/r: {" + route + "}\nteams/a/routes/q: {" + route + "}", []string{"takes the same requests as teams/a/routes/q"}},
		"other service":  {service + "teams/a/services/q: {zones: [z]}\n" + caller + "teams/a/routes/r: {" + route + "}\nteams/a/routes/q: {" + strings.Replace(route, "service: s", "service: q", 1) + "}", []string{"takes the same requests as teams/a/routes/q"}},
		"other prefix":   {service + caller + "teams/a/routes/r: {" + route + ", prefix: a}\nteams/a/routes/q: {" + route + ", prefix: b}", []string{"takes the same requests as teams/a/routes/q"}},
		"not shared":     {strings.ReplaceAll(service, "/a/", "/b/") + caller + "teams/a/routes/r: {" + route + "}", []string{"refers to a service that team b does not share"}},
		"prefix":         {"teams/b/services/s: {zones: [z], shares: ['a=a-']}\n" + caller + "teams/a/routes/r: {" + route + "}", []string{"prefix at 3:1: does not start with a-"}},
		"shares overlap": {"teams/b/services/s: {zones: [z], shares: ['a=a', 'c=ab']}\n", []string{"gives a and c overlapping prefixes"}},
		"out of team":    {"teams/a/delegations/d: {below: [teams/b], credential: 'sha256:" + strings.Repeat("0", 64) + "'}", []string{"is outside of the team's paths"}},
		"name":           {"teams/A/services/s: {zones: [z]}", []string{"has an invalid name"}},
		"delete nothing": {"teams/a/services/s: null", []string{"teams/a/services/s at 1:1: does not exist"}},
		"short hold":     {"teams/a/services/s: {zones: [z], hold: 5s}", []string{"hold at 1:34: is neither forever nor at least 20s"}},
		"deep":           {strings.Repeat("[", 100), []string{"nests brackets deeper"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changes, err := settings.Parse([]byte(c.file))
			if err == nil {
				_, err = (&settings.Settings{}).With(changes)
			}
			var found *finding.Error
			assert.Assert(t, errors.As(err, &found), "error %v", err)
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(found.Error(), want), "findings:\n%s\nwant %q", found, want)
			}
		})
	}
}

func TestShardsAreFixed(t *testing.T) {
	_, err := agencySettings(t).With(parse(t, "teams/agency/services/plan: {zones: [anadolu-a], shards: 2048}"))
	assert.ErrorContains(t, err, "teams/agency/services/plan shards at 1:50: cannot be changed for an existing service")
}

func TestOverlapOfTeams(t *testing.T) {
	const file = `
teams/sierra/routes/towers:
  service: register
  callers: [sierra-crews]
  methods: [GET]
  path: /towers/{key}
  prefix: mesa-7
  class: interactive
  idempotent: true
`
	p, err := preset.Get(preset.Consortium)
	assert.NilError(t, err)
	s, err := p.Settings()
	assert.NilError(t, err)
	changes, err := settings.Parse([]byte(file))
	assert.NilError(t, err)
	_, err = s.With(changes)
	assert.ErrorContains(t, err, "teams/sierra/routes/towers prefix at 7:3: does not start with sierra-")
	assert.ErrorContains(t, err, "towers prefix at 7:3: overlaps the keys of another team's route to register")
}

func TestFormatRoundTrip(t *testing.T) {
	s := agencySettings(t)
	changes, err := settings.Parse([]byte(settings.Format(s.Items())))
	assert.NilError(t, err)
	again, err := (&settings.Settings{}).With(changes)
	assert.NilError(t, err)
	assert.Equal(t, len(settings.Diff(s, again)), 0)
	assert.Equal(t, settings.Format(s.Items()), settings.Format(again.Items()))
}

func TestLookups(t *testing.T) {
	s := agencySettings(t)
	service, ok := s.Service("balance")
	assert.Assert(t, ok)
	assert.Equal(t, service.Connections, 130)
	assert.Equal(t, int(service.Shards), 1024)
	limit, ok := s.Limit("portal", settings.Interactive)
	assert.Assert(t, ok)
	assert.Equal(t, limit.Burst, 2000)
	_, ok = s.Authenticate("trial-nobody")
	assert.Assert(t, !ok)
}

func FuzzParse(f *testing.F) {
	for _, name := range preset.All() {
		p, err := preset.Get(name)
		assert.NilError(f, err)
		f.Add(p.File)
	}
	f.Add([]byte("a: &x {b: *x}"))
	f.Add([]byte("a: {b: |\n c\n}"))
	f.Fuzz(checkRoundTrip)
}

func FuzzDecode(f *testing.F) {
	f.Add(settings.Encode(agencySettings(f)))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := settings.Decode(body)
		if err != nil {
			return
		}
		_, err = settings.Decode(settings.Encode(s))
		assert.NilError(t, err)
	})
}
