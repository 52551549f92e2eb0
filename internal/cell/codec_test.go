package cell

import (
	"net/netip"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

var compareAddr = gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func fullDoc() Doc {
	at := time.Unix(5, 6).UTC()
	return Doc{
		ID: ID{Service: "s", Zone: "z"}, Term: 4, Leader: "h1", LeaderAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		LeaderIncarnation: 9, WriteID: "h1/9/2", Roster: []place.Host{"h1", "h2"},
		Removed:       []RemovedHost{{Host: "h3", Term: 3}},
		Targets:       []TargetDoc{{Target: "t1", Addr: netip.MustParseAddrPort("127.0.0.1:2"), Leaving: true, Since: at, Incarnation: 8}},
		Rows:          []Row{{Shard: 0, Epoch: 2, Owner: 0, Standby: NoTarget}, {Shard: 4, Epoch: 1, Owner: NoTarget, Standby: 0}},
		SingleKeys:    []SingleKey{{Hash: 77, Shard: 4, Parent: 0, SplitEpoch: 2}},
		NextSingleKey: 5, Custody: 12,
		Ceded: []CededShard{{Shard: 1, Floor: 7, Evidence: grant.Expired{Since: at}}},
		Moves: []Move{
			{At: at, Shard: 0, Epoch: 1, From: "t1", To: "t2", Evidence: grant.Released{Epoch: 1}},
			{At: at, Shard: 0, Epoch: 2, From: "t2", To: "t1", Evidence: grant.Restarted{Old: 1, New: 2}},
			{At: at, Shard: 0, Epoch: 3, Evidence: grant.Declared{By: "o", Reason: "fire"}},
			{},
		},
	}
}

func TestDocCodec(t *testing.T) {
	tests := map[string]Doc{"empty": {}, "whole": fullDoc()}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeDoc(want)
			assert.NilError(t, err)
			got, err := DecodeDoc(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, compareAddr)
		})
	}
}

func TestMessageCodec(t *testing.T) {
	doc, at := fullDoc(), time.Unix(3, 4).UTC()
	tests := map[string]Message{
		"heartbeat": Heartbeat{Term: 2, SentAt: at, Deputy: true, Revision: 5},
		"document":  Heartbeat{Term: 2, SentAt: at, Revision: 5, Doc: &doc},
		"promise":   Promise{Term: 2, SentAt: at, Incarnation: 6, ReadStore: true, Revision: 7},
		"refuse":    HigherTerm{Term: 3},
		"handover":  Handover{Term: 4},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeMessage(want)
			assert.NilError(t, err)
			got, err := DecodeMessage(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, compareAddr)
		})
	}
}

// TestDecodeCorrupted checks that the decoders return an error for corrupted documents
// and messages, or a document whose indexes are valid.
func TestDecodeCorrupted(t *testing.T) {
	doc := fullDoc()
	encoded, err := EncodeMessage(Heartbeat{Term: 2, Doc: &doc})
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{}, encoded...)
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		m, err := DecodeMessage(data[:rapid.IntRange(0, len(data)).Draw(t, "length")])
		if hb, ok := m.(Heartbeat); err == nil && ok && hb.Doc != nil {
			assert.NilError(t, hb.Doc.check())
		}
		_, _ = DecodeDoc(data)
	})
}
