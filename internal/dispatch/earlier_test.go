package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/place"
)

// TestReplyToEarlierIncarnation: the reply of a home to an earlier incarnation of a host is not
// taken for the reply to a request of the next one that has the same number.
func TestReplyToEarlierIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	started, restarted := place.Incarnation(now.UnixNano()), place.Incarnation(now.Add(time.Millisecond).UnixNano())
	const timeout = time.Second
	home, earlier, next := NewHome(oneTarget{}), NewClient(oneTarget{}, started), NewClient(oneTarget{}, restarted)
	asked := Acquire{Pool: PoolID{Service: "s", Zone: "z"}, Timeout: timeout, SoftTimeout: timeout}
	asked.ID = earlier.Acquire(now, asked)
	first := home.Handle(now, Peer{Host: "other", Incarnation: started, Zone: "z"}, asked)
	assert.Equal(t, len(first), 1)
	next.Acquire(now, Acquire{Pool: PoolID{Service: "another", Zone: "z"}, Timeout: timeout, SoftTimeout: timeout})
	body, err := Encode(Peer{Host: "self", Incarnation: 1, Zone: "z"}, first[0].Message)
	assert.NilError(t, err)
	from, m, err := Decode(body)
	assert.NilError(t, err)
	next.Receive(now, from.Host, m)
	_, replies := next.Flush()
	assert.Equal(t, len(replies), 0, "%+v", replies)
}
