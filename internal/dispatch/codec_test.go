package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/compat/compattest"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// oneTarget is a Catalog with the same target in each pool, and Homes with one host.
type oneTarget struct{ onlyHome }

func (oneTarget) Members(PoolID) []place.TargetRow {
	return []place.TargetRow{{Target: "t", Service: "s", Zone: "z", State: place.Live, Addr: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 3}}
}

func (oneTarget) Ranked(PoolID) []place.Host { return []place.Host{"self"} }

// FuzzMessage checks that no datagram makes the decoder, a home or a client panic.
func FuzzMessage(f *testing.F) {
	compattest.AddSeeds(f)
	pool := PoolID{Service: "s", Zone: "z", Target: "t"}
	for _, m := range []Message{
		Acquire{ID: 1, Pool: pool, Class: "c", Timeout: time.Second, SoftTimeout: time.Second, Excluded: nil},
		Assigned{ID: 1, Target: "t", Addr: netip.MustParseAddrPort("10.0.0.1:1")},
		Queued{ID: 1},
		Refused{ID: 1, RetryAfter: time.Second, Reason: ReasonFull},
		Done{ID: 1, Pool: pool, Target: "t", Class: "c", Result: ResultServed, Took: time.Second},
		Cancel{ID: 1, Pool: pool},
		Report{First: 1, Last: 9, Held: []Held{{ID: 2, Pool: pool, Target: "t", Class: "c", Since: time.Second}}},
		Done{ID: 1, Pool: pool, Target: "t", Class: "c", Result: ResultServed, Limit: target.RateLimit{Rate: 2.5}},
		Acquire{ID: 1, Pool: pool, Class: "c", Timeout: time.Second, SoftTimeout: time.Second, Fingerprint: 9, Watch: WatchAlone},
		Limited{Pool: pool, Target: "t", Incarnation: 7, Limit: target.NoLimit{}, Age: time.Second},
		Ping{},
		Pong{},
		Leave{},
	} {
		body, err := Encode(Peer{Host: "h", Incarnation: 1, Zone: "z"}, m)
		assert.NilError(f, err)
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		from, m, err := Decode(body)
		if err != nil {
			return
		}
		home, client := NewHome(oneTarget{}), NewClient(oneTarget{}, 1)
		now := time.Unix(1000, 0)
		for range 2 {
			home.Handle(now, from, m)
			client.Receive(now, from.Host, m)
			now = now.Add(time.Second)
			home.Tick(now)
			client.Tick(now)
			client.Flush()
		}
	})
}
