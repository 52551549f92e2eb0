package docsync

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/peer"
)

func sampleRequests(t testing.TB) map[string]request {
	t.Helper()
	h := header{name: "table/s/zone-a", version: Version{Major: 3, Minor: 9}}
	doc := encodedDoc{name: h.name, version: h.version, encoding: encodingDelta, base: Version{Major: 3, Minor: 8}, payload: []byte("x")}
	return map[string]request{
		"poll":  poll{replica: 7, cursor: 8, wait: time.Second, known: []header{h}},
		"fetch": fetch{wanted: []header{h, {name: "settings"}}},
		"push":  push{docs: []encodedDoc{doc, {name: "b", encoding: encodingRaw, payload: []byte{}}}},
	}
}

func TestRequestsRoundTrip(t *testing.T) {
	for name, want := range sampleRequests(t) {
		t.Run(name, func(t *testing.T) {
			data, err := encodeRequest(want)
			assert.NilError(t, err)
			got, err := decodeRequest(data)
			assert.NilError(t, err)
			again, err := encodeRequest(got)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(data, again))
		})
	}
}

func FuzzDecodeRequest(f *testing.F) {
	compattest.AddSeeds(f)
	for _, req := range sampleRequests(f) {
		data, err := encodeRequest(req)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := decodeRequest(data)
		if err != nil {
			return
		}
		_, err = encodeRequest(req)
		assert.NilError(t, err)
	})
}

func FuzzDecodeDoc(f *testing.F) {
	base := bytes.Repeat([]byte("0123456789abcdef"), 100)
	next := append(bytes.Clone(base), "more"...)
	f.Add(uint8(encodingRaw), next)
	f.Add(uint8(encodingZstd), compress(next))
	f.Add(uint8(encodingDelta), deltaOf(f, next, base))
	f.Fuzz(func(t *testing.T, kind uint8, payload []byte) {
		replica := New()
		at := Version{Major: 1}
		replica.Publish(Document{Name: "d", Version: at, Body: base})
		doc, err := replica.decode(encodedDoc{name: "d", version: Version{Major: 2}, encoding: encoding(kind), base: at, payload: payload})
		assert.Assert(t, err != nil || len(doc.Body) <= max(MaxDocumentBytes, len(payload)))
	})
}

func FuzzDecodeResponses(f *testing.F) {
	compattest.AddSeeds(f)
	data, err := encodePollResponse(pollResponse{replica: 1, cursor: 2, newer: []header{{name: "a"}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodePollResponse(data)
		_, _ = decodeFetchResponse(data)
		_, _ = decodePushResponse(data)
		_, _ = DecodeFleet(data)
	})
}

// TestOnlyLeadsPush sends a push from processes of all roles: only those of
// lead processes are accepted.
func TestOnlyLeadsPush(t *testing.T) {
	for role, accepted := range map[peer.Role]bool{peer.RoleLead: true, peer.RoleEntry: false, peer.RoleOperator: false} {
		t.Run(string(role), func(t *testing.T) {
			replica := New()
			n := NewNode(replica, unreachableTransport{}, Config{Self: peer.Identity{Host: "h1", Zone: "z1", Role: peer.RoleLead}})
			data, err := encodeRequest(push{docs: []encodedDoc{{name: "settings", version: Version{Major: 9}, encoding: encodingRaw}}})
			assert.NilError(t, err)
			_, err = n.serve(t.Context(), peer.Identity{Host: "h2", Zone: "z1", Role: role}, data)
			assert.Equal(t, errors.Is(err, peer.ErrRefused), !accepted)
			_, known := replica.Get("settings")
			assert.Equal(t, known, accepted)
		})
	}
}

// unreachableTransport is a transport that reaches no peer.
type unreachableTransport struct{}

func (unreachableTransport) Handle(peer.Kind, peer.Handler) {}

func (unreachableTransport) Call(context.Context, netip.AddrPort, peer.Kind, []byte) ([]byte, error) {
	return nil, peer.ErrUnreachable
}

// TestDeltaNeedsItsBase decodes a delta in a replica without the base, then
// with it.
func TestDeltaNeedsItsBase(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 100)
	sender, receiver := New(), New()
	first, second := Version{Major: 1}, Version{Major: 2}
	sender.Publish(Document{Name: "d", Version: first, Body: body})
	sender.Publish(Document{Name: "d", Version: second, Body: append(bytes.Clone(body), 'x')})
	delta, _ := sender.encode("d", first)
	assert.Equal(t, delta.encoding, encodingDelta)
	_, err := receiver.decode(delta)
	assert.ErrorIs(t, err, errUnknownBase)
	receiver.Publish(Document{Name: "d", Version: first, Body: body})
	doc, err := receiver.decode(delta)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(doc.Body, append(bytes.Clone(body), 'x')))
	unknown, _ := sender.encode("d", Version{Major: 7})
	assert.Equal(t, unknown.encoding, encodingZstd)
}
