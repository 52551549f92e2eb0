package dispatch

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

// kind tells the messages apart on the wire.
type kind uint8

const (
	kindAsk kind = iota + 1
	kindPlaced
	kindQueued
	kindRefused
	kindDone
	kindCancel
	kindReport
	kindPing
	kindPong
	kindLeave
	kindDrain
)

// wireMessage is any message: each kind uses some of the fields. Durations are
// in microseconds.
type wireMessage struct {
	_        struct{} `cbor:",toarray"`
	Kind     kind
	Host     string
	Life     uint64
	Zone     string
	ID       uint64
	Pool     wirePool
	Target   string
	Class    string
	Priority int
	Left     int64
	Aim      int64
	Tried    []string
	Addr     netip.AddrPort
	Code     uint8
	Last     uint64
	Held     []wireHeld
	Alone    bool
	Cold     bool
}

type wirePool struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
	Target  string
}

type wireHeld struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Pool   wirePool
	Target string
	Class  string
	Since  int64
}

func poolToWire(p PoolID) wirePool {
	return wirePool{Service: string(p.Service), Zone: string(p.Zone), Target: string(p.Target)}
}

func (w wirePool) pool() PoolID {
	return PoolID{Service: key.Service(w.Service), Zone: place.Zone(w.Zone), Target: place.Target(w.Target)}
}

func micros(d time.Duration) int64 { return d.Microseconds() }

func duration(micros int64) time.Duration { return time.Duration(micros) * time.Microsecond }

// Encode returns a message as it travels, with the peer that sends it.
func Encode(from Peer, m Message) ([]byte, error) {
	w := wireMessage{Host: string(from.Host), Life: uint64(from.Life), Zone: string(from.Zone)}
	switch m := m.(type) {
	case Ask:
		w.Kind, w.ID, w.Pool, w.Class, w.Priority = kindAsk, uint64(m.ID), poolToWire(m.Pool), string(m.Class), int(m.Priority)
		w.Left, w.Aim, w.Alone, w.Cold = micros(m.Left), micros(m.Aim), m.Alone, m.Cold
		for _, t := range m.Tried {
			w.Tried = append(w.Tried, string(t))
		}
	case Placed:
		w.Kind, w.ID, w.Target, w.Addr = kindPlaced, uint64(m.ID), string(m.Target), m.Addr
	case Queued:
		w.Kind, w.ID = kindQueued, uint64(m.ID)
	case Ping:
		w.Kind = kindPing
	case Pong:
		w.Kind = kindPong
	case Leave:
		w.Kind = kindLeave
	case Refused:
		w.Kind, w.ID, w.Left, w.Code = kindRefused, uint64(m.ID), micros(m.RetryAfter), uint8(m.Reason)
	case Done:
		w.Kind, w.ID, w.Pool, w.Target, w.Class = kindDone, uint64(m.ID), poolToWire(m.Pool), string(m.Target), string(m.Class)
		w.Code, w.Left = uint8(m.End), micros(m.Took)
	case Drain:
		w.Kind, w.Pool, w.Target = kindDrain, poolToWire(m.Pool), string(m.Target)
	case Cancel:
		w.Kind, w.ID, w.Pool = kindCancel, uint64(m.ID), poolToWire(m.Pool)
	case Report:
		w.Kind, w.ID, w.Last = kindReport, uint64(m.First), uint64(m.Last)
		for _, h := range m.Held {
			w.Held = append(w.Held, wireHeld{
				ID: uint64(h.ID), Pool: poolToWire(h.Pool), Target: string(h.Target), Class: string(h.Class), Since: micros(h.Since),
			})
		}
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("dispatch: encode: %w", err)
	}
	return body, nil
}

// Decode reads what Encode wrote.
func Decode(body []byte) (Peer, Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(body, &w); err != nil {
		return Peer{}, nil, fmt.Errorf("dispatch: decode: %w", err)
	}
	from := Peer{Host: place.Host(w.Host), Life: place.Incarnation(w.Life), Zone: place.Zone(w.Zone)}
	m, err := w.message()
	return from, m, err
}

func (w *wireMessage) message() (Message, error) {
	id := TicketID(w.ID)
	switch w.Kind {
	case kindAsk:
		a := Ask{
			ID: id, Pool: w.Pool.pool(), Class: traffic.RouteName(w.Class), Priority: traffic.Priority(w.Priority),
			Left: duration(w.Left), Aim: duration(w.Aim), Alone: w.Alone, Cold: w.Cold,
		}
		for _, t := range w.Tried {
			a.Tried = append(a.Tried, place.Target(t))
		}
		return a, nil
	case kindPlaced:
		return Placed{ID: id, Target: place.Target(w.Target), Addr: w.Addr}, nil
	case kindQueued:
		return Queued{ID: id}, nil
	case kindRefused:
		return Refused{ID: id, RetryAfter: duration(w.Left), Reason: Reason(w.Code)}, nil
	case kindDone:
		return Done{
			ID: id, Pool: w.Pool.pool(), Target: place.Target(w.Target), Class: traffic.RouteName(w.Class),
			End: End(w.Code), Took: duration(w.Left),
		}, nil
	case kindDrain:
		return Drain{Pool: w.Pool.pool(), Target: place.Target(w.Target)}, nil
	case kindCancel:
		return Cancel{ID: id, Pool: w.Pool.pool()}, nil
	case kindReport:
		return w.report(), nil
	case kindPing:
		return Ping{}, nil
	case kindPong:
		return Pong{}, nil
	case kindLeave:
		return Leave{}, nil
	}
	return nil, fmt.Errorf("dispatch: decode: unknown kind %d", w.Kind)
}

func (w *wireMessage) report() Report {
	r := Report{First: TicketID(w.ID), Last: TicketID(w.Last)}
	for _, h := range w.Held {
		r.Held = append(r.Held, Held{
			ID: TicketID(h.ID), Pool: h.Pool.pool(), Target: place.Target(h.Target),
			Class: traffic.RouteName(h.Class), Since: duration(h.Since),
		})
	}
	return r
}
