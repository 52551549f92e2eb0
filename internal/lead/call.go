package lead

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/peer"
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

// leaseHolder names this life of this host as the holder of a lease. A late call of
// an earlier life, such as one that gives the lease up, then does nothing.
func (d *Daemon) leaseHolder() string {
	return string(d.cfg.Host) + "/" + strconv.FormatUint(uint64(d.cfg.Incarnation), 36)
}

// readCall reads the cell's document from the store.
type readCall struct{ *controller }

func (c readCall) run(ctx context.Context) {
	doc, revision, err := c.daemon.readDoc(ctx, c.id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.send(ctx, cell.DocReceived{FromStore: true})
	case errors.Is(err, errUnreadable):
		c.log.Error("Document not readable.", slog.Any("error", err))
	case err == nil:
		c.send(ctx, cell.DocReceived{Exists: true, FromStore: true, Doc: doc, Revision: revision})
	}
}

// errUnreadable is returned for a document that the store has and that can't
// be decoded.
var errUnreadable = errors.New("lead: document not readable")

// readDoc reads the document of a cell from the store. Errors: those of
// platform.Store.Get, errUnreadable.
func (d *Daemon) readDoc(ctx context.Context, id cell.ID) (cell.Doc, platform.Revision, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := d.store.Get(call, docPath(id))
	if err != nil {
		return cell.Doc{}, 0, err
	}
	doc, err := cell.DecodeDoc(entry.Value)
	if err != nil {
		return cell.Doc{}, 0, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	return doc, entry.Revision, nil
}

// writeCall writes the cell's document by compare-and-swap.
type writeCall struct {
	*controller
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
		return cell.WriteCommitted
	case errors.As(err, &conflict):
		return cell.WriteConflict
	case errors.Is(err, platform.ErrUnavailable):
		return cell.WriteUnavailable
	}
	return cell.WriteUnknown
}

// acquireLeaseCall takes or renews the cell's lease. The lease is counted from before
// the call: sentAt is when the core decided on it.
type acquireLeaseCall struct {
	*controller
	effect cell.AcquireLease
	sentAt time.Time
}

func (c acquireLeaseCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := c.daemon.store.Acquire(call, leaseName(c.id), c.daemon.leaseHolder(), c.effect.TTL)
	c.send(ctx, cell.LeaseDone{
		SentAt:  c.sentAt,
		Reached: err == nil,
		Held:    err == nil && lease.Held,
	})
}

// releaseLeaseCall gives the cell's lease up.
type releaseLeaseCall struct{ *controller }

func (c releaseLeaseCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.daemon.store.Release(call, leaseName(c.id), c.daemon.leaseHolder()); err != nil {
		c.log.Info("Lease not given up, it will lapse.", slog.Any("error", err))
	}
}

// orderCall sends one order to a target.
type orderCall struct {
	*controller
	effect cell.SendOrder
	sentAt time.Time
}

func (c orderCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := c.daemon.targetControl.Order(call, c.effect.Addr, c.effect.Order)
	c.send(ctx, cell.OrderDone{
		Target:   c.effect.Target,
		SentAt:   c.sentAt,
		Reached:  err == nil,
		Response: answer,
	})
}

// peerCall sends one message to a roster host. Its answer, if any, is a
// message of its own.
type peerCall struct {
	*controller
	to   netip.AddrPort
	body []byte
}

func (c peerCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	// A message that is lost here is as one lost on the way: the rules
	// expect it, and the next heartbeat follows.
	_, _ = c.daemon.transport.Call(call, c.to, peer.KindCell, c.body)
}
