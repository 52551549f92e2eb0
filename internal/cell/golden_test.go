package cell

import (
	"encoding/base64"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

// TestGoldenDoc: the golden document, written by revision 2bbdf8e, is decoded to the
// same value, and this is encoded to the same bytes. During an upgrade, leaders of two
// releases read and write the stored document.
func TestGoldenDoc(t *testing.T) {
	at := time.Unix(1_700_000_000, 6).UTC()
	want := Doc{
		ID: ID{Service: "svc", Zone: "z1"}, Term: 4, Leader: "h1", LeaderAddr: netip.MustParseAddrPort("10.0.0.1:7001"),
		LeaderIncarnation: 9, WriteID: "h1/9/2", Roster: []place.Host{"h1", "h2"},
		Removed: []RemovedHost{{Host: "h3", Term: 3}},
		Targets: []TargetDoc{{Target: "t1", Addr: netip.MustParseAddrPort("[2001:db8::2]:8080"), Leaving: true, Since: at, Incarnation: 8}},
		Rows: []Row{
			{Shard: 1, Epoch: 300, Owner: 0, Standby: NoTarget},
			{Shard: 400, Epoch: 2, Owner: NoTarget, Standby: 0},
		},
		SingleKeys:    []SingleKey{{Hash: 1 << 63, Shard: 401, Parent: 1, SplitEpoch: 299}},
		NextSingleKey: 1024, Custody: 12,
		Ceded: []CededShard{{Shard: 5, Floor: 7, Evidence: grant.Expired{Since: at}}},
		Moves: []Move{
			{At: at, Shard: 1, Epoch: 298, From: "t1", To: "t2", Evidence: grant.Released{Epoch: 297}},
			{At: at, Shard: 1, Epoch: 299, From: "t2", To: "t1", Evidence: grant.Restarted{Old: 70, New: 71}},
			{At: at, Shard: 1, Epoch: 300, From: "t1", To: "t2", Evidence: grant.Declared{By: "op", Reason: "fire"}},
			{At: at, Shard: 1, Epoch: 301, From: "t2", To: "t1"},
		},
	}
	text, err := os.ReadFile("testdata/golden/doc.base64")
	assert.NilError(t, err)
	body, err := base64.StdEncoding.DecodeString(string(text))
	assert.NilError(t, err)
	got, err := DecodeDoc(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want, compareAddr)
	later, err := DecodeDoc(compattest.WithNewFields(t, body, wireDoc{}))
	assert.NilError(t, err, "fields of a later build")
	assert.DeepEqual(t, later, want, compareAddr)
	again, err := EncodeDoc(want)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, body)
}

// TestGoldenMessage: the golden messages, written by revision 2bbdf8e, are decoded to
// the same values, and these are encoded to the same bytes. During an upgrade, the hosts
// of a cell may be of two releases.
func TestGoldenMessage(t *testing.T) {
	sentAt := time.Unix(1_700_000_000, 1_000_006).UTC()
	for name, test := range map[string]struct {
		golden string
		want   Message
	}{
		"heartbeat": {"hwEEGxeXnP42OUJG9QAZASyQY3N2Y2J6MQRiaDFgAGD29vaBhAEZASwZ//8Z///2APYA9g==", Heartbeat{
			Term: 4, SentAt: sentAt, Deputy: true, Revision: 300, Doc: &Doc{
				ID: ID{Service: "svc", Zone: "z1"}, Term: 4, Leader: "h1",
				Rows: []Row{{Shard: 1, Epoch: 300, Owner: NoTarget, Standby: NoTarget}},
			},
		}},
		"promise":     {"hwIEGxeXnP42OUJG9QkZASz2", Promise{Term: 4, SentAt: sentAt, Incarnation: 9, ReadStore: true, Revision: 300}},
		"higher term": {"hwMZASwA9AAA9g==", HigherTerm{Term: 300}},
		"handover":    {"hwQZAS0A9AAA9g==", Handover{Term: 301}},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			got, err := DecodeMessage(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want, compareAddr)
			later, err := DecodeMessage(compattest.WithNewFields(t, body, wireMessage{}))
			assert.NilError(t, err, "fields of a later build")
			assert.DeepEqual(t, later, test.want, compareAddr)
			again, err := EncodeMessage(test.want)
			assert.NilError(t, err)
			assert.DeepEqual(t, again, body)
		})
	}
}
