package docsync

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestRecorded guards against a message of another build being refused or misread.
func TestRecorded(t *testing.T) {
	old, latest := Version{Major: 299, Minor: 8}, Version{Major: 300, Minor: 9}
	headers := []header{{name: "ranges/svc", version: latest}, {name: "targets", version: Version{Major: 1 << 40, Minor: 1}}}
	base := bytes.Repeat([]byte("0123456789abcdef"), 100)
	next := append(bytes.Clone(base), "more"...)
	checkDocs := func(t *testing.T, docs []encodedDoc) {
		t.Helper()
		replica := New()
		replica.Publish(Document{Name: "ranges/svc", Version: old, Body: base})
		want := []Document{
			{Name: "ranges/svc", Version: latest, Body: next},
			{Name: "ranges/svc", Version: latest, Body: next},
			{Name: "members", Version: Version{Major: 5, Minor: 6}, Body: []byte("raw")},
		}
		assert.Equal(t, len(docs), len(want))
		for i, encoding := range []encoding{encodingDelta, encodingZstd, encodingRaw} {
			assert.Equal(t, docs[i].encoding, encoding)
			got, err := replica.decode(docs[i])
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want[i])
		}
	}
	exported := gocmp.AllowUnexported(header{}, poll{}, fetch{}, pushResponse{})
	wire := map[string]any{
		"poll": wireRequest{}, "fetch": wireRequest{}, "push": wireRequest{},
		"poll-response": wireResponse{}, "fetch-response": wireResponse{}, "push-response": wireResponse{}, "fleet": wireFleet{},
	}
	compattest.Check(t, wire, func(t *testing.T, name string, body []byte) {
		switch name {
		case "poll", "fetch", "push":
			got, err := decodeRequest(body)
			assert.NilError(t, err)
			switch name {
			case "poll":
				assert.DeepEqual(t, got, poll{replica: 1 << 40, cursor: 300, wait: 1500 * time.Millisecond, known: headers}, exported)
			case "fetch":
				assert.DeepEqual(t, got, fetch{wanted: headers}, exported)
			default:
				pushed, ok := got.(push)
				assert.Assert(t, ok)
				checkDocs(t, pushed.docs)
			}
		case "poll-response":
			got, err := decodePollResponse(body)
			assert.NilError(t, err)
			assert.Equal(t, got.replica, instanceID(1<<40))
			assert.Equal(t, got.cursor, cursor(300))
			assert.DeepEqual(t, got.newer, headers, exported)
			checkDocs(t, got.inline)
		case "fetch-response":
			got, err := decodeFetchResponse(body)
			assert.NilError(t, err)
			checkDocs(t, got.docs)
		case "push-response":
			got, err := decodePushResponse(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, pushResponse{resend: []Name{"ranges/svc", "targets"}}, exported)
		case "fleet":
			got, err := DecodeFleet(body)
			assert.NilError(t, err)
			addr := netip.MustParseAddrPort
			assert.DeepEqual(t, got, platform.Fleet{
				Hosts:   []place.HostRow{{Host: "h1", Zone: "z1", State: place.Leaving, LeadAddr: addr("10.0.0.1:1"), EntryAddr: addr("10.0.0.1:2")}},
				Targets: []place.TargetRow{{Target: "t1", Service: "svc", Zone: "z1", State: place.Leaving, Addr: addr("10.0.0.2:80")}},
			}, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
		}
	})
}

// TestUnknownRequestIsRefused guards against a request of a later build being taken for a
// known one.
func TestUnknownRequestIsRefused(t *testing.T) {
	body, err := cbor.Marshal(map[int]any{4: []any{[]any{"targets", 1, 2}}})
	assert.NilError(t, err)
	_, err = decodeRequest(body)
	assert.ErrorIs(t, err, ErrMalformed)
}

// TestUnknownEncodingIsRefused guards against a body in an encoding of a later build being
// taken for a document.
func TestUnknownEncodingIsRefused(t *testing.T) {
	for _, unknown := range []encoding{0, encodingDelta + 1} {
		_, err := New().decode(encodedDoc{name: "targets", version: Version{Major: 3}, encoding: unknown, payload: []byte("x")})
		assert.ErrorIs(t, err, errMalformedDoc)
	}
}
