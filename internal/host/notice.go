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
	kind    noticeKind
	service key.Service
	host    place.Host
	life    place.Incarnation
	term    owner.Term
}

type noticeKind uint8

const (
	// noticeLeads: the sender leads. Candidates that hear it leave the store
	// alone.
	noticeLeads noticeKind = iota + 1
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
		Kind: uint8(n.kind), Service: string(n.service), Host: string(n.host), Life: uint64(n.life), Term: uint64(n.term),
	})
}

func decodeNotice(body []byte) (notice, error) {
	var w wireNotice
	if err := cbor.Unmarshal(body, &w); err != nil {
		return notice{}, err
	}
	return notice{
		kind: noticeKind(w.Kind), service: key.Service(w.Service), host: place.Host(w.Host),
		life: place.Incarnation(w.Life), term: owner.Term(w.Term),
	}, nil
}

// heardNotice takes a notice of another host.
func (h *Host) heardNotice(body []byte) {
	n, err := decodeNotice(body)
	if err != nil {
		h.log.Warn("Notice not readable, dropped.", slog.Any("error", err))
		return
	}
	h.mu.Lock()
	runner := h.runners[n.service]
	h.mu.Unlock()
	if runner != nil {
		runner.offer(func(now time.Time) { runner.heed(now, n) })
	}
}

// tell sends a notice to a host.
func (r *runner) tell(to place.Host, kind noticeKind) {
	addr, ok := r.host.ticketAddress(to)
	if !ok {
		return
	}
	n := notice{kind: kind, service: r.service, host: r.host.site.Host, life: r.host.life, term: r.core.Term()}
	body, err := n.encode()
	if err != nil {
		r.log.Error("Notice not written.", slog.Any("error", err))
		return
	}
	r.host.desk.write(addr, datagramNotice, body)
}

// heed takes a notice.
func (r *runner) heed(now time.Time, n notice) {
	switch n.kind {
	case noticeLeads:
		if !r.core.Leading() || n.term > r.core.Term() {
			r.heard = now
		}
	case noticeStop:
		if r.core.Leading() && n.term > r.core.Term() {
			r.log.Warn("Another host leads a later term, giving way.", slog.String("lead", string(n.host)), slog.Uint64("term", uint64(n.term)))
			r.core.StepDown()
		}
		if !r.core.Leading() && r.sending.Load() == 0 {
			r.tell(n.host, noticeStopped)
		}
	case noticeStopped:
		if r.core.Leading() && n.host == r.before.host && n.life == r.before.life && !r.before.ended {
			r.log.Info("Lead before has stopped.", slog.String("host", string(n.host)), slog.Uint64("term", uint64(r.core.Term())))
			r.beforeEnded(now)
		}
	}
}

// predecessor is the lead before this one.
type predecessor struct {
	host  place.Host
	life  place.Incarnation
	ended bool
	// revision is that of the document that it wrote last.
	revision platform.Revision
	// stragglers tells that leads before it may not have ended.
	stragglers bool
	// forgotten tells that the store has forgotten leads after it.
	forgotten bool
}

// prior returns what is known of all leads before.
func (p *predecessor) prior() owner.Prior {
	switch {
	case p.forgotten:
		return owner.PriorLost
	case p.ended && !p.stragglers:
		return owner.PriorEnded
	}
	return owner.PriorUnknown
}

// beforeEnded notes that the lead before sends nothing any more.
func (r *runner) beforeEnded(now time.Time) {
	r.before.ended = true
	if r.before.prior() == owner.PriorEnded {
		r.core.PriorEnded(now)
	}
}

const (
	// noticeInterval is the time between two notices of a lead.
	noticeInterval = 200 * time.Millisecond
	// silence is how long candidates hear no lead until they look into the
	// store.
	silence = 700 * time.Millisecond
	// candidates is how many hosts, by their rank, hear the lead.
	candidates = 3
)

// announce tells the candidates that this host leads, and asks the lead before
// to stop.
func (r *runner) announce(now time.Time, v *view) {
	if now.Sub(r.announced) < noticeInterval {
		return
	}
	r.announced = now
	for i, name := range v.candidates(r.service) {
		if i >= candidates {
			break
		}
		if name != r.host.site.Host {
			r.tell(name, noticeLeads)
		}
	}
	if r.before.ended {
		return
	}
	if v.members.Replaced(r.before.host, r.before.life, r.before.revision) {
		r.log.Info("Lead before has started again.", slog.String("host", string(r.before.host)))
		r.beforeEnded(now)
		return
	}
	r.tell(r.before.host, noticeStop)
}
