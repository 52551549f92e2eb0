package lead

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

const (
	// evictLeaseTTL is the duration of the lease that a keeper acquires on the cell of
	// an unreachable zone. It outlasts several rounds of a slow keeper.
	evictLeaseTTL = 4 * time.Second
	// evictMargin is added to the renew limit and the grant duration of an unreachable
	// zone.
	evictMargin = time.Second
	// pingTimeout bounds one status call to a host of another zone.
	pingTimeout = 300 * time.Millisecond
	// maxPingHosts is the number of a zone's hosts that are called to see whether the zone
	// is reachable.
	maxPingHosts = 3
)

// heldLease is a lease on another zone's cell that this host holds. The leaders of that
// cell cannot have held it at any time after since.
type heldLease struct {
	since time.Time // zero until the round after the acquisition
	// sentAt and prevSentAt are when the last renewal and the one before it were sent.
	sentAt, prevSentAt time.Time
}

// evict transfers the shards of lost zones to other zones, with at most one write per zone
// and round. Each step is visible in a document, so any host may take the next one:
//
//  1. the custody document names the destination zones of the shards (custody.Evict);
//  2. the lost cell's document cedes the shards, at a higher term (cell.Evict);
//  3. the custody document gives custody to the destination zones
//     (custody.CompleteTransfers).
//
// For steps 1 and 3 it returns the next custody document; step 2 it writes itself.
func (k *custodyKeeper) evict(ctx context.Context, now time.Time, v *view, s settings.Service, doc custodyDoc) (custody.Doc, bool) {
	for _, zone := range v.zones(s) {
		if zone == k.cfg.Zone {
			continue
		}
		id := cell.ID{Service: s.Name, Zone: zone}
		evidence := k.lossEvidence(ctx, now, v, s, id)
		if evidence == nil {
			continue
		}
		if next, changed := custody.Evict(doc.Doc, zone, v.weightsWithout(s, zone)); changed {
			return next, true
		}
		if next, changed := k.advanceEviction(ctx, now, id, doc, evidence); changed {
			return next, true
		}
	}
	return custody.Doc{}, false
}

// advanceEviction takes step 2 of an eviction or, after the duration of a grant, step 3.
// The wait covers a zone that was declared lost while it still runs: its leader reads the
// higher term and steps down, and its grants expire.
func (k *custodyKeeper) advanceEviction(ctx context.Context, now time.Time, id cell.ID, doc custodyDoc, evidence grant.Evidence) (custody.Doc, bool) {
	outgoing := doc.Outgoing(id.Zone)
	if len(outgoing) == 0 {
		delete(k.evictedSince, id)
		return custody.Doc{}, false
	}
	last, revision, err := k.readCellOrEmpty(ctx, id)
	if err != nil {
		k.log.Warn("Cell document of a lost zone not read.", slog.Any("error", err))
		return custody.Doc{}, false
	}
	if last.Custody < doc.revision {
		delete(k.evictedSince, id)
		k.writeCellDoc(ctx, cell.Evict(last, doc.revision, outgoing, evidence), revision)
		return custody.Doc{}, false
	}
	since, seen := k.evictedSince[id]
	if !seen {
		k.evictedSince[id] = now
		return custody.Doc{}, false
	}
	if now.Sub(since) < grantExpiryBound(0, k.cfg.Timing) {
		return custody.Doc{}, false
	}
	return custody.CompleteTransfers(doc.Doc, id.Zone, last.Ceded)
}

// readCellOrEmpty reads the document of another zone's cell. If there is none, it returns
// an empty document at revision 0.
func (k *custodyKeeper) readCellOrEmpty(ctx context.Context, id cell.ID) (cell.Doc, platform.Revision, error) {
	doc, revision, err := k.readDoc(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return cell.Doc{ID: id}, 0, nil
	}
	return doc, revision, err
}

// writeCellDoc writes the document of a lost zone's cell. After a lost response, the next
// round finds out whether the write took effect, as it reads the document first.
func (k *custodyKeeper) writeCellDoc(ctx context.Context, doc cell.Doc, expect platform.Revision) {
	body, err := cell.EncodeDoc(doc)
	if err != nil {
		k.log.Error("Cell document not encoded.", slog.Any("error", err))
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := k.store.Write(call, docPath(doc.ID), body, expect); err != nil {
		k.log.Info("Cell document of a lost zone not written.", slog.Any("error", err))
		return
	}
	k.log.Info("Shards of a lost zone ceded.", slog.String("zone", string(doc.ID.Zone)), slog.String("service", string(doc.ID.Service)))
}

// lossEvidence returns the evidence that the targets of a zone hold no grants, or nil: an
// operator declared the zone lost, or all of its grants have expired because this host has
// held the cell's lease for long enough. For a service without a renew limit, only the
// declaration counts.
func (k *custodyKeeper) lossEvidence(ctx context.Context, now time.Time, v *view, s settings.Service, id cell.ID) grant.Evidence {
	if loss, ok := v.zoneLoss(id.Zone); ok {
		return grant.Declared{By: loss.By, Reason: loss.Reason}
	}
	if s.Hold <= 0 {
		return nil
	}
	if !k.holdsLease(ctx, now, v, id) {
		return nil
	}
	since := k.heldLeases[id].since
	if now.Sub(since) < grantExpiryBound(s.Hold, k.cfg.Timing) {
		return nil
	}
	return grant.Expired{Since: since}
}

// grantExpiryBound returns how long another zone's cell lease must be held here until all
// grants of that zone have expired. Its leaders renew grants for at most renewLimit after
// they last held the lease, and the last grant runs for its full duration after that.
func grantExpiryBound(renewLimit time.Duration, t cell.Timing) time.Duration {
	bound := renewLimit + t.GrantDuration
	return bound + bound*time.Duration(t.DriftPerMil)/1000 + evictMargin
}

// holdsLease acquires or renews the lease of another zone's cell, and reports whether this
// host has held it since an earlier round. It competes for the lease only while no host of
// that zone is reachable, and otherwise releases it, so as not to block a new leader there.
func (k *custodyKeeper) holdsLease(ctx context.Context, now time.Time, v *view, id cell.ID) bool {
	held, holding := k.heldLeases[id]
	if k.anyReachable(ctx, v.hosts(id.Zone)) {
		if holding {
			delete(k.heldLeases, id)
			_ = k.store.Release(ctx, leaseName(id), k.evictHolder())
		}
		return false
	}
	lease, err := k.store.Acquire(ctx, leaseName(id), k.evictHolder(), evictLeaseTTL)
	if err != nil || !lease.Held {
		delete(k.heldLeases, id)
		return false
	}
	k.heldLeases[id] = held.renewed(now)
	return !k.heldLeases[id].since.IsZero()
}

// renewed returns the lease after a renewal that was sent at now.
//
// The previous renewal reached the store by now at the latest. If the renewal before that
// had expired by now, for example because this process was paused between two rounds, the
// zone's leader may have held the lease in between, and since starts again.
func (l heldLease) renewed(now time.Time) heldLease {
	gap := !l.prevSentAt.IsZero() && now.Sub(l.prevSentAt) >= evictLeaseTTL
	switch {
	case l.sentAt.IsZero(), gap:
		return heldLease{sentAt: now}
	case l.since.IsZero():
		l.since = now
	}
	l.sentAt, l.prevSentAt = now, l.sentAt
	return l
}

// evictHolder returns the name under which this host holds leases of other zones' cells.
func (k *custodyKeeper) evictHolder() string { return "evict/" + string(k.cfg.Host) }

// anyReachable reports whether one of the first maxPingHosts hosts responds to a status
// call.
func (k *custodyKeeper) anyReachable(ctx context.Context, hosts []place.HostRow) bool {
	for _, h := range hosts[:min(len(hosts), maxPingHosts)] {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		_, err := k.transport.Call(call, h.LeadAddr, peer.KindStatus, nil)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
