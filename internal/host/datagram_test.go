package host

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/relay"
)

// TestDroppedDatagramNamesSenderAndKind guards against a line that does not tell which host
// sends what can't be decoded.
func TestDroppedDatagramNamesSenderAndKind(t *testing.T) {
	for name, test := range map[string]struct {
		body []byte
		kind string
	}{
		"ticket message": {[]byte("t\xff"), "'t'"},
		"load report":    {[]byte("r\xff"), "'r'"},
		"notice":         {[]byte("n\xff"), "'n'"},
		"digest":         {[]byte("w\xff"), "'w'"},
		"heartbeat":      {[]byte("p\xff"), "'p'"},
		"confirmation":   {[]byte("c\xff"), "'c'"},
		"unknown kind":   {[]byte("X\x80"), "'X'"},
		"binary kind":    {[]byte("\x00\x80"), `'\x00'`},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			log := slog.New(slog.NewJSONHandler(&logged, nil))
			h := &Host{log: log}
			d := &dispatcher{log: log, handlers: h.datagramHandlers()}
			d.handleDatagram(time.Unix(1000, 0), netip.MustParseAddrPort("10.0.0.9:7002"), test.body)
			var line struct{ Level, From, Kind, Error string }
			assert.NilError(t, json.Unmarshal(logged.Bytes(), &line))
			assert.Equal(t, line.Level, "WARN")
			assert.Equal(t, line.From, "10.0.0.9:7002")
			assert.Equal(t, line.Kind, test.kind)
			assert.Assert(t, line.Error != "")
		})
	}
}

// TestUndecodableRequestNamesSender guards against a relayed request that is refused without a
// line.
func TestUndecodableRequestNamesSender(t *testing.T) {
	var logged bytes.Buffer
	r := &relayer{host: &Host{log: slog.New(slog.NewJSONHandler(&logged, nil))}}
	_, err := r.serve(t.Context(), peer.Identity{Host: "h2"}, []byte{0xff})
	assert.ErrorIs(t, err, relay.ErrMalformed)
	var line struct{ Level, From, Error string }
	assert.NilError(t, json.Unmarshal(logged.Bytes(), &line))
	assert.Equal(t, line.Level, "WARN")
	assert.Equal(t, line.From, "h2")
	assert.Assert(t, line.Error != "")
}
