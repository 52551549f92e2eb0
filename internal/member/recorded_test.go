package member

import (
	"encoding/json"
	"net/netip"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/platform"
)

func recordedHosts() []Host {
	return []Host{
		{
			Name: "h1", Incarnation: 1 << 40, Zone: "z1", PeerAddr: netip.MustParseAddrPort("10.0.0.1:7001"),
			TicketAddr: netip.MustParseAddrPort("10.0.0.1:7002"), CPUShare: 0.1, Revision: 31,
		},
		{
			Name: "h2", Incarnation: 8, Zone: "z2", PeerAddr: netip.MustParseAddrPort("[2001:db8::2]:7001"),
			TicketAddr: netip.MustParseAddrPort("[2001:db8::2]:7002"), CPUShare: 2, Revision: 32,
		},
	}
}

var recordedLeader = Leader{Service: "svc", Host: "h2", Incarnation: 9, Era: 2, Revision: 33}

// TestRecorded guards against a list or a heartbeat of another build being refused or misread.
func TestRecorded(t *testing.T) {
	hosts, sameAddr := recordedHosts(), gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	wire := map[string]any{"list": wireList{}, "heartbeat": wireHeartbeat{}, "confirmation": wireConfirmation{}}
	compattest.Check(t, wire, func(t *testing.T, name string, body []byte) {
		switch name {
		case "list":
			got, err := DecodeList(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, List{Hosts: hosts, Leaders: []Leader{recordedLeader}}, sameAddr)
		case "heartbeat":
			got, err := DecodeHeartbeat(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, Heartbeat{Host: hosts[0], Rank: 2}, sameAddr)
		case "confirmation":
			got, err := DecodeConfirmation(body)
			assert.NilError(t, err)
			assert.Equal(t, got, Confirmation{Incarnation: 1 << 40, Hosts: 12})
		}
	})
}

// TestRecordedEntries guards against a store entry of another build being refused or misread.
func TestRecordedEntries(t *testing.T) {
	found := 0
	for _, r := range compattest.Recordings(t) {
		if r.Name != "host-entry" && r.Name != "leader-entry" {
			continue
		}
		found++
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(r.Body, &fields))
		fields["new"], fields["list"] = map[string]any{"x": 1}, []any{"y"}
		grown, err := json.Marshal(fields)
		assert.NilError(t, err)
		for _, body := range [][]byte{r.Body, grown} {
			if r.Name == "host-entry" {
				want := recordedHosts()[0]
				got, err := decodeHost(platform.Entry{Path: hostPrefix + "h1", Value: body, Revision: want.Revision})
				assert.NilError(t, err)
				assert.DeepEqual(t, got, want, gocmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
				continue
			}
			got, err := DecodeLeader(platform.Entry{Path: leaderPrefix + "svc", Value: body, Revision: recordedLeader.Revision})
			assert.NilError(t, err)
			assert.Equal(t, got, recordedLeader)
		}
	}
	const commits, entries = 2, 2
	assert.Equal(t, found, commits*entries)
}
