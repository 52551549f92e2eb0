package host

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/traffic"
)

// TestPanicsAreContained: a panic in one part of a process ends only that work. The
// process keeps serving and logs the panic.
func TestPanicsAreContained(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1, 1)
	d.awaitServed()
	h := d.hosts[0]
	logged := func(part string) func() bool {
		return func() bool { return strings.Contains(h.logs.String(), `"panicked":"`+part+`"`) }
	}

	d.store.Set(platform.PathConfig, []byte(panickingConfig))
	d.eventually("the panic of the configuration decoder is logged", 5*time.Second, logged("view"))
	d.awaitServed()
	d.putConfig(testConfig(2))
	d.eventually("a later configuration is in force", 5*time.Second, func() bool {
		return h.views.view().routes.Config().Version == traffic.Version(2)
	})

	c := h.controllers["span"]
	c.post(func(time.Time) bool { panic("test panic") })
	d.eventually("the panic of the controller is logged", 5*time.Second, logged("lead"))
	d.awaitServed()

	conn, err := net.Dial("udp4", h.site.Ticket.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, kind := range []byte{datagramTicket, datagramReport, datagramNotice, datagramDigest, datagramHeartbeat, datagramConfirmation, 0, 255} {
		_, err = conn.Write([]byte{kind, 0x9f, 0xff, 0x00})
		assert.NilError(t, err)
	}
	assert.Equal(t, d.send(h, http.MethodGet, "/keys/x", 5).status, http.StatusOK)
}

// TestDatagramPanicResetsHomes: after a datagram that made a handler panic, the homes
// of the host start empty.
func TestDatagramPanicResetsHomes(t *testing.T) {
	d := &dispatcher{guard: func(_ string, f func()) bool {
		defer func() { _ = recover() }()
		f()
		return true
	}, handlers: map[byte]func([]byte) error{datagramDigest: func([]byte) error { return nil }, datagramNotice: func([]byte) error { panic("test panic") }}}
	d.handleGuarded(time.Now(), netip.AddrPort{}, []byte{datagramDigest, 0})
	assert.Assert(t, d.home == nil)
	d.handleGuarded(time.Now(), netip.AddrPort{}, []byte{datagramNotice, 0})
	assert.Assert(t, d.home != nil)
}
