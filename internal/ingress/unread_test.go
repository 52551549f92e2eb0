package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnreadBodyIsNoRequest: a body that its handler has not read is not rejected as a request: the
// client would take that response for the one to its next request.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	const connections = 30_000
	s := serve(t)
	unread := post("/unread", strings.Repeat("no request\r\n\r\n", 20))
	for i := range connections {
		c := s.dial()
		c.send(unread)
		<-s.entered
		if !c.expectResponse(http.StatusRequestEntityTooLarge, "") {
			c.send(get("/next"))
			rest, err := io.ReadAll(c.br)
			t.Fatalf("connection %d: its end is not announced, and the next request gets %q, %v", i, rest, err)
		}
		c.expectClosed()
		assert.NilError(t, c.Close())
	}
}
