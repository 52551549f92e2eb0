package host

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/place"
)

// wireDigest is the datagram encoding of a digest.
type wireDigest struct {
	_        struct{} `cbor:",toarray"`
	Versions map[string]uint64
}

// broadcastDigest sends a digest to the watchers of all zones. A watcher that misses it
// reads the store itself.
func (h *Host) broadcastDigest(d digest) {
	w := wireDigest{Versions: make(map[string]uint64, len(d.versions))}
	for name, version := range d.versions {
		w.Versions[string(name)] = version
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		h.log.Error("Digest not encoded.", slog.Any("error", err))
		return
	}
	members := h.views.view().members
	rows := members.HostRows()
	sent := make(map[place.Zone]bool)
	for _, row := range rows {
		if sent[row.Zone] {
			continue
		}
		sent[row.Zone] = true
		for _, watcher := range docsync.Watchers(row.Zone, rows) {
			if m, ok := members.Host(watcher.Host); ok && m.Name != h.site.Host {
				h.dispatcher.write(m.TicketAddr, datagramDigest, body)
			}
		}
	}
}

// handleDigest handles the digest of another watcher.
func (h *Host) handleDigest(body []byte) error {
	var w wireDigest
	if err := compat.Unmarshal(body, &w); err != nil {
		return err
	}
	d := digest{receivedAt: time.Now(), versions: make(map[docsync.Name]uint64, len(w.Versions))}
	for name, version := range w.Versions {
		d.versions[docsync.Name(name)] = version
	}
	h.watcher.receive(d)
	return nil
}
