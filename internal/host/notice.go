package host

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// notice is what leads and candidates of a service tell each other, in a
// datagram of its own. Nothing rests on its arrival.
type notice struct {
	kind        noticeKind
	service     key.Service
	host        place.Host
	incarnation place.Incarnation
	term        owner.Term
}

type noticeKind uint8

const (
	// noticeLeading: the sender leads. Candidates that hear it leave the store
	// alone.
	noticeLeading noticeKind = iota + 1
	// noticeStop: the sender leads a later term; who led before shall stop.
	noticeStop
	// noticeStopped: the sender does not lead and has no order on its way.
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
	if err := cbor.Unmarshal(body, &w); err != nil {
		return notice{}, err
	}
	return notice{
		kind: noticeKind(w.Kind), service: key.Service(w.Service), host: place.Host(w.Host),
		incarnation: place.Incarnation(w.Life), term: owner.Term(w.Term),
	}, nil
}

// handleNotice takes a notice of another host.
func (h *Host) handleNotice(body []byte) {
	n, err := decodeNotice(body)
	if err != nil {
		h.log.Warn("Notice not readable, dropped.", slog.Any("error", err))
		return
	}
	h.mu.Lock()
	runner := h.controllers[n.service]
	h.mu.Unlock()
	if runner != nil {
		runner.tryPost(func(now time.Time) { runner.handleNotice(now, n) })
	}
}

// sendNotice sends a notice to a host.
func (r *controller) sendNotice(to place.Host, kind noticeKind) {
	addr, ok := r.host.ticketAddress(to)
	if !ok {
		return
	}
	n := notice{kind: kind, service: r.service, host: r.host.site.Host, incarnation: r.host.incarnation, term: r.core.Term()}
	body, err := n.encode()
	if err != nil {
		r.log.Error("Notice not written.", slog.Any("error", err))
		return
	}
	r.host.dispatcher.write(addr, datagramNotice, body)
}

// handleNotice takes a notice.
func (r *controller) handleNotice(now time.Time, n notice) {
	switch n.kind {
	case noticeLeading:
		if !r.core.Leading() || n.term > r.core.Term() {
			r.leaderHeardAt = now
		}
	case noticeStop:
		if r.core.Leading() && n.term > r.core.Term() {
			r.log.Warn("Another host leads a later term, giving way.", slog.String("lead", string(n.host)), slog.Uint64("term", uint64(n.term)))
			r.core.StepDown()
		}
		if !r.core.Leading() && r.inFlight.Load() == 0 {
			r.sendNotice(n.host, noticeStopped)
		}
	case noticeStopped:
		if r.core.Leading() && n.host == r.predecessor.host && n.incarnation == r.predecessor.incarnation && !r.predecessor.ended {
			r.log.Info("Lead before has stopped.", slog.String("host", string(n.host)), slog.Uint64("term", uint64(r.core.Term())))
			r.predecessorEnded(now)
		}
	}
}

// predecessor is the lead before this one.
type predecessor struct {
	host        place.Host
	incarnation place.Incarnation
	ended       bool
	// revision is that of the document that it wrote last.
	revision platform.Revision
	// stragglers tells that leads before it may not have ended.
	stragglers bool
	// restored tells that the store has forgotten leads after it.
	restored bool
}

// prior returns what is known of all leads before.
func (p *predecessor) prior() owner.Prior {
	switch {
	case p.restored:
		return owner.PriorLost
	case p.ended && !p.stragglers:
		return owner.PriorEnded
	}
	return owner.PriorUnknown
}

// predecessorEnded notes that the lead before sends nothing any more.
func (r *controller) predecessorEnded(now time.Time) {
	r.predecessor.ended = true
	if r.predecessor.prior() == owner.PriorEnded {
		r.core.PriorEnded(now)
	}
}

const (
	// noticeInterval is the time between two notices of a lead.
	noticeInterval = 200 * time.Millisecond
	// leaderSilence is how long candidates hear no lead until they look into the
	// store.
	leaderSilence = 700 * time.Millisecond
	// candidateCount is how many hosts, by their rank, hear the lead.
	candidateCount = 3
)

// announceLeadership tells the candidates that this host leads, and asks the lead before
// to stop.
func (r *controller) announceLeadership(now time.Time, v *view) {
	if now.Sub(r.announcedAt) < noticeInterval {
		return
	}
	r.announcedAt = now
	for i, name := range v.candidates(r.service) {
		if i >= candidateCount {
			break
		}
		if name != r.host.site.Host {
			r.sendNotice(name, noticeLeading)
		}
	}
	if r.predecessor.ended {
		return
	}
	if v.members.Replaced(r.predecessor.host, r.predecessor.incarnation, r.predecessor.revision) {
		r.log.Info("Lead before has started again.", slog.String("host", string(r.predecessor.host)))
		r.predecessorEnded(now)
		return
	}
	r.sendNotice(r.predecessor.host, noticeStop)
}
