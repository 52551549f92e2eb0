package docsync

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/peer"
)

// scriptedTransport answers each kind of request with a fixed response.
type scriptedTransport struct {
	unreachableTransport

	polled  pollResponse
	fetched fetchResponse
}

func (s *scriptedTransport) Call(_ context.Context, _ netip.AddrPort, _ peer.Kind, body []byte) ([]byte, error) {
	req, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	if _, ok := req.(fetch); ok {
		return encodeFetchResponse(s.fetched)
	}
	return encodePollResponse(s.polled)
}

// TestUnknownEncodingKeepsNoOtherDocument guards against a document in an encoding of a later
// build keeping the documents behind it from this host.
func TestUnknownEncodingKeepsNoOtherDocument(t *testing.T) {
	version := Version{Major: 3}
	docs := []encodedDoc{
		{name: "a", version: version, encoding: encodingDelta + 1, payload: []byte("x")},
		{name: "b", version: version, encoding: encodingRaw, payload: []byte("body")},
	}
	headers := []header{{name: "a", version: version}, {name: "b", version: version}}
	self := peer.Identity{Host: "h1", Zone: "z1", Role: peer.RoleLead}
	for name, receive := range map[string]func(n *Node, s *scriptedTransport) error{
		"poll": func(n *Node, s *scriptedTransport) error {
			s.polled = pollResponse{replica: 9, cursor: 5, inline: docs}
			return (&follower{node: n}).step(t.Context())
		},
		"fetch": func(n *Node, s *scriptedTransport) error {
			s.polled, s.fetched = pollResponse{replica: 9, cursor: 5, newer: headers}, fetchResponse{docs: docs}
			return (&follower{node: n}).step(t.Context())
		},
		"push": func(n *Node, _ *scriptedTransport) error {
			_, err := n.servePush(push{docs: docs})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			replica, transport := New(), &scriptedTransport{}
			n := NewNode(replica, transport, Config{Self: self})
			assert.ErrorIs(t, receive(n, transport), errMalformedDoc)
			got, ok := replica.Get("b")
			assert.Assert(t, ok)
			assert.Equal(t, string(got.Body), "body")
			_, ok = replica.Get("a")
			assert.Assert(t, !ok)
		})
	}
}

// TestUndecodableResponseNamesSender guards against a response that can't be decoded being
// logged like a process that can't be reached.
func TestUndecodableResponseNamesSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		transport := &scriptedTransport{polled: pollResponse{replica: 9, cursor: 5, inline: []encodedDoc{
			{name: "a", version: Version{Major: 3}, encoding: encodingDelta + 1, payload: []byte("x")},
		}}}
		n := NewNode(New(), transport, Config{Self: peer.Identity{Host: "h1", Zone: "z1", Role: peer.RoleLead}, Log: slog.New(slog.NewJSONHandler(&logged, nil))})
		ctx, cancel := context.WithTimeout(t.Context(), minRetryBackoff/4)
		defer cancel()
		(&follower{node: n, addr: netip.MustParseAddrPort("10.0.0.9:7001")}).loop(ctx)
		var line struct{ Level, Addr, Error string }
		assert.NilError(t, json.Unmarshal(logged.Bytes(), &line))
		assert.Equal(t, line.Level, "WARN")
		assert.Equal(t, line.Addr, "10.0.0.9:7001")
		assert.Assert(t, strings.HasPrefix(line.Error, "a: "))
	})
}
