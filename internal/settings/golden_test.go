package settings

import (
	"encoding/base64"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
)

// goldenSettings has a row of each kind with no field at its default, and a service and
// routes whose fields have the defaults.
func goldenSettings() *Settings {
	hash := HashCredential("secret")
	return &Settings{
		Number: 34,
		Services: []Service{
			{
				Team: "alpha", Name: "full", Shards: 2048, Zones: []place.Zone{"z1", "z2"},
				Targets: []ServiceTarget{{Target: "t1", Zone: "z1", Addr: netip.MustParseAddrPort("10.0.0.1:80")}},
				Slots:   4, Connections: 120, ChecksTerms: false, Hold: time.Hour, MovesPerMinute: 70, ImbalancePercent: 30,
				WarmUp: 20 * time.Second, BodyBytes: 2 << 20, Shares: []Share{{Team: "beta", Prefix: "b-"}},
			},
			{
				Team: "alpha", Name: "plain", Shards: 1024, Zones: []place.Zone{"z3"}, Slots: 3, Connections: 110, ChecksTerms: true,
				MovesPerMinute: 60, ImbalancePercent: 20, WarmUp: 10 * time.Second, BodyBytes: 1 << 20,
			},
		},
		Routes: []Route{
			{
				Team: "alpha", Name: "full", Service: "full", Callers: []Caller{"c1"}, Methods: []string{"GET", "PUT"}, Path: "/full",
				KeySource: KeyInHeader, KeyName: "X-Key", KeyPrefix: "a-", Class: Bulk, Idempotent: true, Timeout: 3 * time.Second,
			},
			{
				Team: "alpha", Name: "plain", Service: "plain", Callers: []Caller{"c1"}, Methods: []string{"GET"}, Path: "/plain/{key}",
				KeySource: KeyInPath, KeyName: "key", Class: Interactive, Timeout: 10 * time.Second,
			},
			{
				Team: "alpha", Name: "query", Service: "plain", Callers: []Caller{"c1"}, Methods: []string{"GET"}, Path: "/query",
				KeySource: KeyInQuery, KeyName: "key", Class: Registering, Timeout: 10 * time.Second,
			},
		},
		Callers: []CallerRow{{Team: "alpha", Name: "c1", Tenant: "tn", CredentialHash: hash}},
		Limits:  []Limit{{Team: "alpha", Caller: "c1", Class: Bulk, PerSecond: 12.5, Burst: 40, Concurrent: 6}},
		Delegations: []Delegation{
			{Operator: "root", Below: []Path{"platform", "teams"}, CredentialHash: hash},
			{Team: "alpha", Operator: "op", Below: []Path{"teams/alpha"}, CredentialHash: hash},
		},
		Drains: []Drain{{Target: "t1", Reason: "repair"}, {Zone: "z2", Reason: "move"}},
		Losses: []Loss{
			{Host: "h1", By: "op", Reason: "off"},
			{Target: "t2", By: "op", Reason: "burnt"},
			{Zone: "z3", By: "op", Reason: "flood"},
		},
		History: []Write{{
			ID: "w1", Number: 33, At: time.UnixMilli(1_700_000_000_006).UTC(), By: "op", Reason: "first",
			Paths: []Path{"teams/alpha/callers/c1", "platform/drains/zones/z2"}, Before: []string{"tenant: old", ""},
		}},
	}
}

// TestGolden: the golden document, written by revision 2bbdf8e, is decoded to the same
// settings, and these are encoded to the same document. During an upgrade, hosts of two
// releases read and write it. The compressed bytes depend on the library, so that the
// documents are compared uncompressed.
func TestGolden(t *testing.T) {
	want := goldenSettings()
	text, err := os.ReadFile("testdata/golden/document.base64")
	assert.NilError(t, err)
	golden, err := base64.StdEncoding.DecodeString(string(text))
	assert.NilError(t, err)
	again := Encode(want)
	for name, body := range map[string][]byte{"golden": golden, "encoded again": again} {
		t.Run(name, func(t *testing.T) {
			got, err := Decode(body)
			assert.NilError(t, err)
			assert.Assert(t, !got.unknownFields)
			assert.DeepEqual(t, got, want, cmpopts.IgnoreUnexported(Settings{}), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
		})
	}
	before, err := zstdDecoder.DecodeAll(golden, nil)
	assert.NilError(t, err)
	after, err := zstdDecoder.DecodeAll(again, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}
