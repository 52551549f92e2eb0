package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

// TestSlowUploadGetsResponse: a client that reads the response to an upload only once it has sent
// it whole gets the response, though the handler has not read the body.
func TestSlowUploadGetsResponse(t *testing.T) {
	const parts = 8
	part := strings.Repeat("x", 64<<10)
	c := serve(t).dial()
	c.send(fmt.Sprintf("POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", parts*len(part)))
	for range parts {
		time.Sleep(lingerTimeout / 4)
		c.send(part)
	}
	assert.Assert(t, c.expectResponse(http.StatusRequestEntityTooLarge, ""))
	c.expectClosed()
}
