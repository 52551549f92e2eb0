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

var sameAddr = gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func wholeDoc() Doc {
	at := time.Unix(5, 6).UTC()
	return Doc{
		ID: ID{Service: "s", Zone: "z"}, Term: 4, Lead: "h1", LeadAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		LeadIncarnation: 9, WriteID: "h1/9/2", Roster: []place.Host{"h1", "h2"},
		Removed:  []RemovedHost{{Host: "h3", Term: 3}},
		Targets:  []TargetDoc{{Target: "t1", Addr: netip.MustParseAddrPort("127.0.0.1:2"), Leaving: true, Since: at, Incarnation: 8}},
		Rows:     []Row{{Shard: 0, Epoch: 2, Owner: 0, Standby: NoTarget}, {Shard: 4, Epoch: 1, Owner: NoTarget, Standby: 0}},
		Solos:    []Solo{{Hash: 77, Shard: 4, Parent: 0, Cut: 2}},
		NextSolo: 5, Custody: 12,
		Given: []Given{{Shard: 1, Floor: 7, Evidence: grant.Expired{Since: at}}},
		Moves: []Move{
			{At: at, Shard: 0, Epoch: 1, From: "t1", To: "t2", Evidence: grant.Released{Epoch: 1}},
			{At: at, Shard: 0, Epoch: 2, From: "t2", To: "t1", Evidence: grant.Restarted{Old: 1, New: 2}},
			{At: at, Shard: 0, Epoch: 3, Evidence: grant.Declared{By: "o", Reason: "fire"}},
			{},
		},
	}
}

func TestDocCodec(t *testing.T) {
	tests := map[string]Doc{"empty": {}, "whole": wholeDoc()}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeDoc(want)
			assert.NilError(t, err)
			got, err := DecodeDoc(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, sameAddr)
		})
	}
}

func TestMessageCodec(t *testing.T) {
	doc, at := wholeDoc(), time.Unix(3, 4).UTC()
	tests := map[string]Message{
		"heartbeat": Heartbeat{Term: 2, SentAt: at, Deputy: true, Revision: 5},
		"document":  Heartbeat{Term: 2, SentAt: at, Revision: 5, Doc: &doc},
		"promise":   Promise{Term: 2, SentAt: at, Incarnation: 6, ReadStore: true, Revision: 7},
		"refuse":    Refuse{Term: 3},
		"handover":  Handover{Term: 4},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeMessage(want)
			assert.NilError(t, err)
			got, err := DecodeMessage(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want, sameAddr)
		})
	}
}

// TestDecodeOfAnything changes bytes of real documents and messages: the
// decoders refuse them or return what the core can index by.
func TestDecodeOfAnything(t *testing.T) {
	doc := wholeDoc()
	whole, err := EncodeMessage(Heartbeat{Term: 2, Doc: &doc})
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{}, whole...)
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
