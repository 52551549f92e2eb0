package host

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/fake"
)

// TestTicketOfAnotherService: a ticket for a target of another service, which a home sent to an
// earlier process of this host under the same number, is not used.
func TestTicketOfAnotherService(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1, 1)
	d.awaitServed()
	desk, span := d.targets["desk-0"], d.targets["span-0"]
	asker := d.hosts[0]
	home := asker.Ranked(asker.views.view().pool("desk", "z"))[0]
	if home == asker.site.Host {
		asker = d.hosts[1]
	}
	desk.SetFaults(fake.RangeTargetFaults{Work: 300 * time.Millisecond})
	const requests = 40
	var (
		clients   sync.WaitGroup
		responses [requests]testResponse
		waiting   []dispatch.TicketID
	)
	for i := range responses {
		clients.Go(func() { responses[i] = d.send(asker, http.MethodPost, "/free/x", 0) })
	}
	d.eventually("requests wait for slots", time.Second, func() bool {
		time.Sleep(100 * time.Millisecond)
		asker.dispatcher.mu.Lock()
		defer asker.dispatcher.mu.Unlock()
		waiting = slices.Collect(maps.Keys(asker.dispatcher.pending))
		return len(waiting) > 0
	})
	conn, err := net.Dial("udp4", asker.site.Ticket.String())
	assert.NilError(t, err)
	for _, id := range waiting {
		body, err := dispatch.Encode(dispatch.Peer{Host: home, Incarnation: 1, Zone: "z"}, dispatch.Assigned{ID: id, Target: span.Name, Addr: span.Addr})
		assert.NilError(t, err)
		_, err = conn.Write(append([]byte{datagramTicket}, body...))
		assert.NilError(t, err)
	}
	assert.NilError(t, conn.Close())
	clients.Wait()
	for _, a := range responses {
		assert.Check(t, !strings.HasPrefix(a.body, string(span.Name)), "a request for desk was run by a target of span: %d %q", a.status, a.body)
	}
}
