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

// docPath returns the store path of a cell's document.
func docPath(id cell.ID) platform.Path {
	return platform.Path("cell/" + string(id.Service) + "/" + string(id.Zone))
}

// leaseName returns the name of a cell's lease in the store.
func leaseName(id cell.ID) string {
	return "lease/" + string(id.Service) + "/" + string(id.Zone)
}

// leaseHolder returns the name under which this incarnation of the host holds leases.
// A late call of an earlier incarnation, such as a release, has no effect on them.
func (d *Daemon) leaseHolder() string {
	return string(d.cfg.Host) + "/" + strconv.FormatUint(uint64(d.cfg.Incarnation), 36)
}

// readCall reads the cell's document from the store for the core.
type readCall struct{ *controller }

func (c readCall) run(ctx context.Context) {
	doc, revision, err := c.daemon.readDoc(ctx, c.id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.send(ctx, cell.DocReceived{FromStore: true})
	case errors.Is(err, errUndecodable):
		c.log.Error("Cell document not decodable.", slog.Any("error", err))
	case err == nil:
		c.send(ctx, cell.DocReceived{Exists: true, FromStore: true, Doc: doc, Revision: revision})
	}
}

// errUndecodable is returned for a document in the store that cannot be decoded.
var errUndecodable = errors.New("lead: cell document not decodable")

// readDoc reads the document of a cell from the store. It returns the errors of
// platform.Store.Get, and errUndecodable.
func (d *Daemon) readDoc(ctx context.Context, id cell.ID) (cell.Doc, platform.Revision, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := d.store.Get(call, docPath(id))
	if err != nil {
		return cell.Doc{}, 0, err
	}
	doc, err := cell.DecodeDoc(entry.Value)
	if err != nil {
		return cell.Doc{}, 0, fmt.Errorf("%w: %w", errUndecodable, err)
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
		c.log.Error("Cell document not encoded.", slog.Any("error", err))
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

// writeResult converts an error of platform.Store.Write. After an error other than a
// conflict or ErrUnavailable, the outcome is unknown.
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

// acquireLeaseCall acquires or renews the cell's lease. The core counts the lease from
// sentAt, just before the call, as the store may start it at any time during the call.
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

// releaseLeaseCall releases the cell's lease.
type releaseLeaseCall struct{ *controller }

func (c releaseLeaseCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.daemon.store.Release(call, leaseName(c.id), c.daemon.leaseHolder()); err != nil {
		c.log.Info("Lease not released, it will expire.", slog.Any("error", err))
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
	response, err := c.daemon.targetControl.Order(call, c.effect.Addr, c.effect.Order)
	c.send(ctx, cell.OrderDone{
		Target:   c.effect.Target,
		SentAt:   c.sentAt,
		Reached:  err == nil,
		Response: response,
	})
}

// peerCall sends one message to a roster host. The response, if any, arrives as a
// separate message.
type peerCall struct {
	*controller
	to   netip.AddrPort
	body []byte
}

func (c peerCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	// An error is treated like a message lost in the network: the protocol of the
	// cell allows for it, and another heartbeat follows.
	_, _ = c.daemon.transport.Call(call, c.to, peer.KindCell, c.body)
}
