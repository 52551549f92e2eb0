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

// TestPanics: what makes one part of a process panic ends that alone. The process
// serves on, and says what happened.
func TestPanics(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 1, 1)
	d.served()
	h := d.hosts[0]
	told := func(part string) func() bool {
		return func() bool { return strings.Contains(h.logs.String(), `"panicked":"`+part+`"`) }
	}

	d.store.Set(platform.PathConfig, []byte(panicking))
	d.eventually("a configuration that can't be decoded is logged", 5*time.Second, told("view"))
	d.served()
	d.accept(testConfig(2))
	d.eventually("a later one is in force", 5*time.Second, func() bool {
		return h.viewer.view().routes.Config().Version == traffic.Version(2)
	})

	r := h.runners["span"]
	r.post(func(time.Time) bool { panic("told to") })
	d.eventually("a panic of the lead is logged", 5*time.Second, told("lead"))
	d.served()

	conn, err := net.Dial("udp4", h.site.Ticket.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, kind := range []byte{datagramTicket, datagramReport, datagramNotice, datagramReading, datagramPresence, 0, 255} {
		_, err = conn.Write([]byte{kind, 0x9f, 0xff, 0x00})
		assert.NilError(t, err)
	}
	assert.Equal(t, d.send(h, http.MethodGet, "/keys/x", 5).status, http.StatusOK)
}

// TestPanickingDatagram: the homes of a host start anew after a datagram that made
// one of them panic.
func TestPanickingDatagram(t *testing.T) {
	d := &desk{guard: func(_ string, f func()) bool {
		defer func() { _ = recover() }()
		f()
		return true
	}, others: map[byte]func([]byte){datagramReading: func([]byte) {}, datagramNotice: func([]byte) { panic("told to") }}}
	d.takeGuarded(time.Now(), netip.AddrPort{}, []byte{datagramReading, 0})
	assert.Assert(t, d.home == nil)
	d.takeGuarded(time.Now(), netip.AddrPort{}, []byte{datagramNotice, 0})
	assert.Assert(t, d.home != nil)
}
