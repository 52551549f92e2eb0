package host

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// notice is a datagram between the leader, the candidates and the predecessor of a
// service. Notices may be lost: correctness does not depend on them.
type notice struct {
	kind        noticeKind
	service     key.Service
	host        place.Host
	incarnation place.Incarnation
	term        owner.Term
}

type noticeKind uint8

const (
	// noticeLeading: the sender leads. Candidates that receive it don't read the store.
	noticeLeading noticeKind = iota + 1
	// noticeStop: the sender leads a later term and asks the predecessor to stop.
	noticeStop
	// noticeStopped: the sender does not lead and has no orders in flight.
	noticeStopped
)

type wireNotice struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Service string
	Host    string
	Life    uint64
	Term    uint64
}

func (n *notice) encode() ([]byte, error) {
	return cbor.Marshal(wireNotice{
		Kind: uint8(n.kind), Service: string(n.service), Host: string(n.host), Life: uint64(n.incarnation), Term: uint64(n.term),
	})
}

func decodeNotice(body []byte) (notice, error) {
	var w wireNotice
	if err := compat.Unmarshal(body, &w); err != nil {
		return notice{}, err
	}
	return notice{
		kind: noticeKind(w.Kind), service: key.Service(w.Service), host: place.Host(w.Host),
		incarnation: place.Incarnation(w.Life), term: owner.Term(w.Term),
	}, nil
}

// handleNotice handles a notice of another host.
func (h *Host) handleNotice(body []byte) error {
	n, err := decodeNotice(body)
	if err != nil {
		return err
	}
	h.mu.Lock()
	c := h.controllers[n.service]
	h.mu.Unlock()
	if c != nil {
		c.tryPost(func(now time.Time) { c.handleNotice(now, n) })
	}
	return nil
}

// sendNotice sends a notice to a host.
func (c *controller) sendNotice(to place.Host, kind noticeKind) {
	addr, ok := c.host.ticketAddress(to)
	if !ok {
		return
	}
	n := notice{kind: kind, service: c.service, host: c.host.site.Host, incarnation: c.host.incarnation, term: c.core.Term()}
	body, err := n.encode()
	if err != nil {
		c.log.Error("Notice not encoded.", slog.Any("error", err))
		return
	}
	c.host.dispatcher.write(addr, datagramNotice, body)
}

// handleNotice handles a notice on the controller's goroutine.
func (c *controller) handleNotice(now time.Time, n notice) {
	switch n.kind {
	case noticeLeading:
		if !c.core.Leading() || n.term > c.core.Term() {
			c.leaderNoticeAt = now
		}
	case noticeStop:
		if c.core.Leading() && n.term > c.core.Term() {
			c.log.Warn("Another host leads a later term, stepping down.", slog.String("lead", string(n.host)), slog.Uint64("term", uint64(n.term)))
			c.core.StepDown()
		}
		if !c.core.Leading() && c.inFlight.Load() == 0 {
			c.sendNotice(n.host, noticeStopped)
		}
	case noticeStopped:
		if t := c.host.views.view().tables[c.service]; !c.core.Leading() && t != nil && t.Leader == n.host && t.LeaderIncarnation == n.incarnation {
			c.leaderNoticeAt = time.Time{} // it has handed over
		}
		if c.core.Leading() && n.host == c.predecessor.host && n.incarnation == c.predecessor.incarnation && !c.predecessor.ended {
			c.log.Info("Predecessor has stopped.", slog.String("host", string(n.host)), slog.Uint64("term", uint64(c.core.Term())))
			c.predecessorEnded(now, false)
		}
	}
}

// predecessor is the last leader before this one.
type predecessor struct {
	host        place.Host
	incarnation place.Incarnation
	// ended is set once it certainly sends no more orders, crashed if it ended without
	// handing over.
	ended, crashed bool
	// revision is the store revision of the last ownership document that it wrote.
	revision platform.Revision
	// priorMayRenew is set if leaders before it may still renew grants.
	priorMayRenew bool
	// priorInTransit is set if orders of such leaders may be in transit although they have
	// ended.
	priorInTransit bool
	// restored is set if the store lost later leaders because it was restored from an
	// older snapshot.
	restored bool
}

// mayRenew reports whether a prior leader may still renew grants.
func (p *predecessor) mayRenew() bool { return !p.ended || p.priorMayRenew }

// prior returns what is known of all prior leaders.
func (p *predecessor) prior() owner.Prior {
	switch {
	case p.restored:
		return owner.PriorLost
	case p.crashed || p.priorInTransit:
		return owner.PriorInTransit
	case p.mayRenew():
		return owner.PriorUnknown
	}
	return owner.PriorEnded
}

// predecessorEnded records that the predecessor sends no more orders. crashed is set if it
// ended without handing over.
func (c *controller) predecessorEnded(now time.Time, crashed bool) {
	c.predecessor.ended, c.predecessor.crashed = true, crashed
	switch {
	case crashed:
		c.core.PriorInTransit(now, c.predecessor.mayRenew())
	case c.predecessor.prior() == owner.PriorEnded:
		c.core.PriorEnded(now)
	}
}

const (
	// noticeInterval is the time between two notices of a leader.
	noticeInterval = 200 * time.Millisecond
	// leaderNoticeTimeout is how long candidates receive no notice of a leader before they
	// read the store.
	leaderNoticeTimeout = 700 * time.Millisecond
	// candidateCount is the number of hosts, by rank, that receive the leader's
	// notices.
	candidateCount = 3
)

// notifyCandidates sends a notice to the candidates.
func (c *controller) notifyCandidates(v *view, kind noticeKind) {
	ranked := v.candidates(c.service)
	for _, name := range ranked[:min(len(ranked), candidateCount)] {
		if name != c.host.site.Host {
			c.sendNotice(name, kind)
		}
	}
}

// announceLeadership sends notices to the candidates and asks the predecessor to stop.
func (c *controller) announceLeadership(now time.Time, v *view) {
	if now.Sub(c.announcedAt) < noticeInterval {
		return
	}
	c.announcedAt = now
	c.notifyCandidates(v, noticeLeading)
	if c.predecessor.ended {
		return
	}
	if v.members.Replaced(c.predecessor.host, c.predecessor.incarnation, c.predecessor.revision) {
		c.log.Info("Predecessor has restarted.", slog.String("host", string(c.predecessor.host)))
		c.predecessorEnded(now, true)
		return
	}
	c.sendNotice(c.predecessor.host, noticeStop)
}
