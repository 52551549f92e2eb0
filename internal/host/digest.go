package host

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/place"
)

// wireDigest is a reading in a datagram.
type wireDigest struct {
	_        struct{} `cbor:",toarray"`
	Versions map[string]uint64
}

// broadcastDigest tells the watchers of all zones what this one has read. One that
// does not hear it reads the store itself.
func (h *Host) broadcastDigest(r digest) {
	w := wireDigest{Versions: make(map[string]uint64, len(r.versions))}
	for name, version := range r.versions {
		w.Versions[string(name)] = version
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		h.log.Error("Reading not written.", slog.Any("error", err))
		return
	}
	members := h.views.view().members
	rows := members.HostRows()
	told := make(map[place.Zone]bool)
	for _, row := range rows {
		if told[row.Zone] {
			continue
		}
		told[row.Zone] = true
		for _, watcher := range docsync.Watchers(row.Zone, rows) {
			if m, ok := members.Host(watcher.Host); ok && m.Name != h.site.Host {
				h.dispatcher.write(m.TicketAddr, datagramDigest, body)
			}
		}
	}
}

// handleDigest takes what another watcher has read.
func (h *Host) handleDigest(body []byte) {
	var w wireDigest
	if err := cbor.Unmarshal(body, &w); err != nil {
		h.log.Warn("Reading not readable, dropped.", slog.Any("error", err))
		return
	}
	r := digest{receivedAt: time.Now(), versions: make(map[docsync.Name]uint64, len(w.Versions))}
	for name, version := range w.Versions {
		r.versions[docsync.Name(name)] = version
	}
	h.watcher.receive(r)
}
