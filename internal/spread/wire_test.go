package spread

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/peer"
)

func samples(t testing.TB) map[string]question {
	t.Helper()
	h := header{name: "table/s/zone-a", version: Version{Major: 3, Minor: 9}}
	p := parcel{name: h.name, version: h.version, form: formDelta, base: Version{Major: 3, Minor: 8}, payload: []byte("x")}
	return map[string]question{
		"poll":  poll{board: 7, cursor: 8, wait: time.Second, known: []header{h}},
		"fetch": fetch{wanted: []header{h, {name: "settings"}}},
		"push":  push{parcels: []parcel{p, {name: "b", form: formRaw, payload: []byte{}}}},
	}
}

func TestQuestionsRoundTrip(t *testing.T) {
	for name, want := range samples(t) {
		t.Run(name, func(t *testing.T) {
			data, err := encodeQuestion(want)
			assert.NilError(t, err)
			got, err := decodeQuestion(data)
			assert.NilError(t, err)
			again, err := encodeQuestion(got)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(data, again))
		})
	}
}

func FuzzDecodeQuestion(f *testing.F) {
	for _, q := range samples(f) {
		data, err := encodeQuestion(q)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := decodeQuestion(data)
		if err != nil {
			return
		}
		_, err = encodeQuestion(q)
		assert.NilError(t, err)
	})
}

func FuzzOpen(f *testing.F) {
	base := bytes.Repeat([]byte("0123456789abcdef"), 100)
	next := append(bytes.Clone(base), "more"...)
	f.Add(uint8(formRaw), next)
	f.Add(uint8(formPacked), compress(next))
	f.Add(uint8(formDelta), deltaOf(f, next, base))
	f.Fuzz(func(t *testing.T, kind uint8, payload []byte) {
		board := New()
		at := Version{Major: 1}
		board.Publish(Document{Name: "d", Version: at, Body: base})
		doc, err := board.open(parcel{name: "d", version: Version{Major: 2}, form: form(kind), base: at, payload: payload})
		assert.Assert(t, err != nil || len(doc.Body) <= max(MaxDocument, len(payload)))
	})
}

func FuzzDecodeAnswers(f *testing.F) {
	data, err := encodePollAnswer(pollAnswer{board: 1, cursor: 2, newer: []header{{name: "a"}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodePollAnswer(data)
		_, _ = decodeParcelAnswer(data)
		_, _ = decodePushAnswer(data)
		_, _ = DecodeFleet(data)
	})
}

// TestOnlyLeadsPush sends documents from processes of all roles.
func TestOnlyLeadsPush(t *testing.T) {
	for role, taken := range map[peer.Role]bool{peer.RoleLead: true, peer.RoleEntry: false, peer.RoleOperator: false} {
		t.Run(string(role), func(t *testing.T) {
			board := New()
			n := NewNode(board, nowhere{}, Config{Self: peer.Identity{Host: "h1", Zone: "z1", Role: peer.RoleLead}})
			data, err := encodeQuestion(push{parcels: []parcel{{name: "settings", version: Version{Major: 9}, form: formRaw}}})
			assert.NilError(t, err)
			_, err = n.answer(t.Context(), peer.Identity{Host: "h2", Zone: "z1", Role: role}, data)
			assert.Equal(t, errors.Is(err, peer.ErrRefused), !taken)
			_, known := board.Get("settings")
			assert.Equal(t, known, taken)
		})
	}
}

// nowhere is a link without peers.
type nowhere struct{}

func (nowhere) Handle(peer.Kind, peer.Handler) {}

func (nowhere) Call(context.Context, netip.AddrPort, peer.Kind, []byte) ([]byte, error) {
	return nil, peer.ErrUnreachable
}

// TestDeltaNeedsItsBase hands a delta to a board that lacks the base.
func TestDeltaNeedsItsBase(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 100)
	sender, receiver := New(), New()
	first, second := Version{Major: 1}, Version{Major: 2}
	sender.Publish(Document{Name: "d", Version: first, Body: body})
	sender.Publish(Document{Name: "d", Version: second, Body: append(bytes.Clone(body), 'x')})
	delta, _ := sender.pack("d", first)
	assert.Equal(t, delta.form, formDelta)
	_, err := receiver.open(delta)
	assert.ErrorIs(t, err, errBase)
	receiver.Publish(Document{Name: "d", Version: first, Body: body})
	doc, err := receiver.open(delta)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(doc.Body, append(bytes.Clone(body), 'x')))
	unknown, _ := sender.pack("d", Version{Major: 7})
	assert.Equal(t, unknown.form, formPacked)
}
