package lead

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// docPath is where a cell's document lives in the platform's service.
func docPath(id cell.ID) platform.Path {
	return platform.Path("cell/" + string(id.Service) + "/" + string(id.Zone))
}

// leaseName is the name of a cell's lease.
func leaseName(id cell.ID) string {
	return "lease/" + string(id.Service) + "/" + string(id.Zone)
}

// holderSeparator stands between the host and the life of a lease's holder.
const holderSeparator = "/"

// holder names this life of this host as the holder of a lease. A late call of
// an earlier life, such as one that gives the lease up, then does nothing.
func (d *Daemon) holder() string {
	return string(d.cfg.Host) + holderSeparator + strconv.FormatUint(uint64(d.cfg.Incarnation), 36)
}

// hostOf returns the host of a lease's holder.
func hostOf(holder string) place.Host {
	host, _, _ := strings.Cut(holder, holderSeparator)
	return place.Host(host)
}

// readCall reads the cell's document from the store.
type readCall struct{ *runner }

func (c readCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.daemon.store.Get(call, docPath(c.id))
	if errors.Is(err, platform.ErrNotFound) {
		c.send(ctx, cell.DocSeen{FromStore: true})
		return
	}
	if err != nil {
		return
	}
	doc, err := cell.DecodeDoc(entry.Value)
	if err != nil {
		c.log.Error("Document not readable.", slog.Any("error", err))
		return
	}
	c.send(ctx, cell.DocSeen{Exists: true, FromStore: true, Doc: doc, Revision: entry.Revision})
}

// writeCall writes the cell's document by compare-and-swap.
type writeCall struct {
	*runner
	effect cell.WriteDoc
}

func (c writeCall) run(ctx context.Context) {
	body, err := cell.EncodeDoc(c.effect.Doc)
	if err != nil {
		c.log.Error("Document not encoded.", slog.Any("error", err))
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := c.daemon.store.Write(call, docPath(c.id), body, c.effect.Expect)
	c.send(ctx, cell.WriteDone{
		WriteID:  c.effect.Doc.WriteID,
		Result:   writeResult(err),
		Revision: revision,
	})
}

// writeResult maps the store's error. All that is not certain is unknown.
func writeResult(err error) cell.WriteResult {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return cell.WriteWon
	case errors.As(err, &conflict):
		return cell.WriteConflict
	case errors.Is(err, platform.ErrUnavailable):
		return cell.WriteUnavailable
	}
	return cell.WriteUnknown
}

// leaseCall takes or renews the cell's lease. The lease is counted from before
// the call: sentAt is when the core decided on it.
type leaseCall struct {
	*runner
	effect cell.AcquireLease
	sentAt time.Time
}

func (c leaseCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := c.daemon.store.Acquire(call, leaseName(c.id), c.daemon.holder(), c.effect.TTL)
	c.send(ctx, cell.LeaseDone{
		SentAt:  c.sentAt,
		Reached: err == nil,
		Held:    err == nil && lease.Held,
		Holder:  hostOf(lease.Holder),
	})
}

// releaseCall gives the cell's lease up.
type releaseCall struct{ *runner }

func (c releaseCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.daemon.store.Release(call, leaseName(c.id), c.daemon.holder()); err != nil {
		c.log.Info("Lease not given up, it will lapse.", slog.Any("error", err))
	}
}

// orderCall sends one order to a target.
type orderCall struct {
	*runner
	effect cell.SendOrder
	sentAt time.Time
}

func (c orderCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := c.daemon.control.Order(call, c.effect.Addr, c.effect.Order)
	c.send(ctx, cell.OrderDone{
		Target:  c.effect.Target,
		SentAt:  c.sentAt,
		Reached: err == nil,
		Answer:  answer,
	})
}

// peerCall sends one message to a roster host. Its answer, if any, is a
// message of its own.
type peerCall struct {
	*runner
	to   netip.AddrPort
	body []byte
}

func (c peerCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	// A message that is lost here is as one lost on the way: the rules
	// expect it, and the next heartbeat follows.
	_, _ = c.daemon.link.Call(call, c.to, peer.KindCell, c.body)
}
