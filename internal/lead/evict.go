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
	// evictLeaseTTL is the length of the lease that a keeper takes on the cell of
	// a silent zone; it outlasts several rounds of a slow keeper.
	evictLeaseTTL = 4 * time.Second
	// evictMargin is added to the hold and the grant of a silent zone.
	evictMargin = time.Second
	// pingTimeout bounds one question to a host of another zone.
	pingTimeout = 300 * time.Millisecond
	// maxPingHosts is how many hosts of a zone are asked whether they answer.
	maxPingHosts = 3
)

// heldLease is how long this host has held the lease of another zone's cell:
// since then, that cell's own leads can't have held it.
type heldLease struct {
	since time.Time // zero until the round after the lease was taken
	// sentAt is when the newest renewal was sent, before the one before it.
	sentAt, prevSentAt time.Time
}

// evict takes the custody of lost zones away, one write a round. Every step
// shows in a document, so any host may take the next:
//
//  1. the custody document names the next zones of the shards;
//  2. the lost cell's document gives them up, at a higher term;
//  3. the custody document names the new zones (custody.Settle).
//
// It returns the next custody document where steps 1 or 3 are due.
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

// advanceEviction takes step 2 of an eviction or, once that has stood for the length of
// a grant, step 3. The wait covers a zone that was declared lost while it runs:
// its lead reads the higher term and stops, and what it granted ends.
func (k *custodyKeeper) advanceEviction(ctx context.Context, now time.Time, id cell.ID, doc custodyDoc, evidence grant.Evidence) (custody.Doc, bool) {
	leaving := doc.Outgoing(id.Zone)
	if len(leaving) == 0 {
		delete(k.evictedSince, id)
		return custody.Doc{}, false
	}
	last, revision, err := k.readCellOrEmpty(ctx, id)
	if err != nil {
		k.log.Warn("Lost zone's document not read.", slog.Any("error", err))
		return custody.Doc{}, false
	}
	if last.Custody < doc.revision {
		delete(k.evictedSince, id)
		k.writeCellDoc(ctx, cell.Evict(last, doc.revision, leaving, evidence), revision)
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

// readCellOrEmpty reads the document of another zone's cell; it may not exist.
func (k *custodyKeeper) readCellOrEmpty(ctx context.Context, id cell.ID) (cell.Doc, platform.Revision, error) {
	doc, revision, err := k.readDoc(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return cell.Doc{ID: id}, 0, nil
	}
	return doc, revision, err
}

// writeCellDoc writes the document of another zone's cell. A lost answer is
// resolved by the next round, which reads the document first.
func (k *custodyKeeper) writeCellDoc(ctx context.Context, doc cell.Doc, expect platform.Revision) {
	body, err := cell.EncodeDoc(doc)
	if err != nil {
		k.log.Error("Document not encoded.", slog.Any("error", err))
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := k.store.Write(call, docPath(doc.ID), body, expect); err != nil {
		k.log.Info("Lost zone's document not written.", slog.Any("error", err))
		return
	}
	k.log.Info("Lost zone gave up its shards.", slog.String("zone", string(doc.ID.Zone)), slog.String("service", string(doc.ID.Service)))
}

// lossEvidence returns the evidence that no target of a zone holds a grant any
// more, or nil.
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

// grantExpiryBound is how long another zone's lease has to be held before all
// grants there have ended: its leads renew for at most the hold after they
// last held the lease, and the last grant runs its length.
func grantExpiryBound(hold time.Duration, t cell.Timing) time.Duration {
	bound := hold + t.GrantDuration
	return bound + bound*time.Duration(t.DriftPerMil)/1000 + evictMargin
}

// holdsLease reports whether this host holds the lease of another zone's cell. It
// competes for it only while no host of that zone answers, so that it never
// stands in the way of a successor there.
func (k *custodyKeeper) holdsLease(ctx context.Context, now time.Time, v *view, id cell.ID) bool {
	have, holding := k.heldLeases[id]
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
	k.heldLeases[id] = have.renewed(now)
	return !k.heldLeases[id].since.IsZero()
}

// renewed returns the silence after a renewal that was sent at now.
//
// The renewal before it had reached the store by now at the latest. If that is
// past the lease of the one before that, the zone's lead may have held the
// lease in between, and the silence starts anew: this host may have been
// paused for a minute between two rounds.
func (s heldLease) renewed(now time.Time) heldLease {
	gap := !s.prevSentAt.IsZero() && now.Sub(s.prevSentAt) >= evictLeaseTTL
	switch {
	case s.sentAt.IsZero(), gap:
		return heldLease{sentAt: now}
	case s.since.IsZero():
		s.since = now
	}
	s.sentAt, s.prevSentAt = now, s.sentAt
	return s
}

// evictHolder names this host as the holder of another zone's lease.
func (k *custodyKeeper) evictHolder() string { return "evict/" + string(k.cfg.Host) }

// anyReachable reports whether any of some hosts of a zone answers a peer.
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
