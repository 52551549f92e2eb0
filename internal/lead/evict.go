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
	// evictLease is the length of the lease that a keeper takes on the cell of
	// a silent zone; it outlasts several rounds of a slow keeper.
	evictLease = 4 * time.Second
	// evictMargin is added to the hold and the grant of a silent zone.
	evictMargin = time.Second
	// pingTimeout bounds one question to a host of another zone.
	pingTimeout = 300 * time.Millisecond
	// pingHosts is how many hosts of a zone are asked whether they answer.
	pingHosts = 3
)

// silence is how long this host has held the lease of another zone's cell:
// since then, that cell's own leads can't have held it.
type silence struct {
	since time.Time // zero until the round after the lease was taken
	// sent is when the newest renewal was sent, before the one before it.
	sent, before time.Time
}

// evict takes the custody of lost zones away, one write a round. Every step
// shows in a document, so any host may take the next:
//
//  1. the custody document names the next zones of the shards;
//  2. the lost cell's document gives them up, at a higher term;
//  3. the custody document names the new zones (custody.Settle).
//
// It returns the next custody document where steps 1 or 3 are due.
func (k *keeper) evict(ctx context.Context, now time.Time, v *view, s settings.Service, doc custodyDoc) (custody.Doc, bool) {
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
		if next, changed := k.giveUp(ctx, now, id, doc, evidence); changed {
			return next, true
		}
	}
	return custody.Doc{}, false
}

// giveUp takes step 2 of an eviction or, once that has stood for the length of
// a grant, step 3. The wait covers a zone that was declared lost while it runs:
// its lead reads the higher term and stops, and what it granted ends.
func (k *keeper) giveUp(ctx context.Context, now time.Time, id cell.ID, doc custodyDoc, evidence grant.Evidence) (custody.Doc, bool) {
	leaving := doc.Outgoing(id.Zone)
	if len(leaving) == 0 {
		delete(k.evicted, id)
		return custody.Doc{}, false
	}
	last, revision, err := k.readCell(ctx, id)
	if err != nil {
		k.log.Warn("Lost zone's document not read.", slog.Any("error", err))
		return custody.Doc{}, false
	}
	if last.Custody < doc.revision {
		delete(k.evicted, id)
		k.writeCell(ctx, cell.Evict(last, doc.revision, leaving, evidence), revision)
		return custody.Doc{}, false
	}
	since, seen := k.evicted[id]
	if !seen {
		k.evicted[id] = now
		return custody.Doc{}, false
	}
	if now.Sub(since) < silenceBound(0, k.cfg.Timing) {
		return custody.Doc{}, false
	}
	return custody.CompleteTransfers(doc.Doc, id.Zone, last.Ceded)
}

// readCell reads the document of another zone's cell; it may not exist.
func (k *keeper) readCell(ctx context.Context, id cell.ID) (cell.Doc, platform.Revision, error) {
	doc, revision, err := k.readDoc(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return cell.Doc{ID: id}, 0, nil
	}
	return doc, revision, err
}

// writeCell writes the document of another zone's cell. A lost answer is
// resolved by the next round, which reads the document first.
func (k *keeper) writeCell(ctx context.Context, doc cell.Doc, expect platform.Revision) {
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
func (k *keeper) lossEvidence(ctx context.Context, now time.Time, v *view, s settings.Service, id cell.ID) grant.Evidence {
	if loss, ok := v.zoneLoss(id.Zone); ok {
		return grant.Declared{By: loss.By, Reason: loss.Reason}
	}
	if s.Hold <= 0 {
		return nil
	}
	if !k.silent(ctx, now, v, id) {
		return nil
	}
	since := k.silences[id].since
	if now.Sub(since) < silenceBound(s.Hold, k.cfg.Timing) {
		return nil
	}
	return grant.Expired{Since: since}
}

// silenceBound is how long another zone's lease has to be held before all
// grants there have ended: its leads renew for at most the hold after they
// last held the lease, and the last grant runs its length.
func silenceBound(hold time.Duration, t cell.Timing) time.Duration {
	bound := hold + t.GrantDuration
	return bound + bound*time.Duration(t.DriftPerMil)/1000 + evictMargin
}

// silent reports whether this host holds the lease of another zone's cell. It
// competes for it only while no host of that zone answers, so that it never
// stands in the way of a successor there.
func (k *keeper) silent(ctx context.Context, now time.Time, v *view, id cell.ID) bool {
	have, holding := k.silences[id]
	if k.answers(ctx, v.hosts(id.Zone)) {
		if holding {
			delete(k.silences, id)
			_ = k.store.Release(ctx, leaseName(id), k.evictHolder())
		}
		return false
	}
	lease, err := k.store.Acquire(ctx, leaseName(id), k.evictHolder(), evictLease)
	if err != nil || !lease.Held {
		delete(k.silences, id)
		return false
	}
	k.silences[id] = have.renewed(now)
	return !k.silences[id].since.IsZero()
}

// renewed returns the silence after a renewal that was sent at now.
//
// The renewal before it had reached the store by now at the latest. If that is
// past the lease of the one before that, the zone's lead may have held the
// lease in between, and the silence starts anew: this host may have been
// paused for a minute between two rounds.
func (s silence) renewed(now time.Time) silence {
	gap := !s.before.IsZero() && now.Sub(s.before) >= evictLease
	switch {
	case s.sent.IsZero(), gap:
		return silence{sent: now}
	case s.since.IsZero():
		s.since = now
	}
	s.sent, s.before = now, s.sent
	return s
}

// evictHolder names this host as the holder of another zone's lease.
func (k *keeper) evictHolder() string { return "evict/" + string(k.cfg.Host) }

// answers reports whether any of some hosts of a zone answers a peer.
func (k *keeper) answers(ctx context.Context, hosts []place.HostRow) bool {
	for _, h := range hosts[:min(len(hosts), pingHosts)] {
		call, cancel := context.WithTimeout(ctx, pingTimeout)
		_, err := k.link.Call(call, h.LeadAddr, peer.KindStatus, nil)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
