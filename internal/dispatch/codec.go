package dispatch

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
)

// messageKind identifies the type of a message on the wire.
type messageKind uint8

const (
	kindAcquire messageKind = iota + 1
	kindAssigned
	kindQueued
	kindRefused
	kindDone
	kindCancel
	kindReport
	kindPing
	kindPong
	kindLeave
	kindDrain
	kindLimited
)

// wireMessage is the encoding of every message; each kind uses some of the fields.
// Durations are in microseconds. ID also carries Report.First, Timeout also carries
// Refused.RetryAfter, Done.Took and Limited.Age, Code carries Refused.Reason,
// Done.Result and Acquire.Watch, and Last also carries the Incarnation of Drain and Limited,
// the Fingerprint of Acquire and Done.Warmup. Excluded also carries Done.Load. In Done and
// Limited, Priority and SoftTimeout carry the limit: its type and its rate, in requests
// per 1e6 s.
type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	Host        string
	Incarnation uint64
	Zone        string
	ID          uint64
	Pool        wirePool
	Target      string
	Class       string
	Priority    int
	Timeout     int64
	SoftTimeout int64
	Excluded    []string
	Addr        netip.AddrPort
	Code        uint8
	Last        uint64
	Held        []wireHeld
	Isolated    bool
	Cold        bool
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

// Encode encodes a message and the peer that sends it.
func Encode(from Peer, m Message) ([]byte, error) {
	w := wireMessage{Host: string(from.Host), Incarnation: uint64(from.Incarnation), Zone: string(from.Zone)}
	switch m := m.(type) {
	case Acquire:
		w.Kind, w.ID, w.Pool, w.Class, w.Priority = kindAcquire, uint64(m.ID), poolToWire(m.Pool), string(m.Class), int(m.Priority)
		w.Timeout, w.SoftTimeout, w.Isolated, w.Cold = micros(m.Timeout), micros(m.SoftTimeout), m.Isolated, m.Cold
		w.Last, w.Code = uint64(m.Fingerprint), uint8(m.Watch)
		for _, t := range m.Excluded {
			w.Excluded = append(w.Excluded, string(t))
		}
	case Assigned:
		w.Kind, w.ID, w.Target, w.Addr = kindAssigned, uint64(m.ID), string(m.Target), m.Addr
	case Queued:
		w.Kind, w.ID = kindQueued, uint64(m.ID)
	case Ping:
		w.Kind = kindPing
	case Pong:
		w.Kind = kindPong
	case Leave:
		w.Kind = kindLeave
	case Refused:
		w.Kind, w.ID, w.Timeout, w.Code = kindRefused, uint64(m.ID), micros(m.RetryAfter), uint8(m.Reason)
	case Done:
		w.Kind, w.ID, w.Pool, w.Target, w.Class = kindDone, uint64(m.ID), poolToWire(m.Pool), string(m.Target), string(m.Class)
		w.Code, w.Timeout = uint8(m.Result), micros(m.Took)
		w.setLimit(m.Limit)
		w.Last = uint64(max(micros(m.Warmup), 0))
		w.Excluded = loadToWire(m.Load)
	case Drain:
		w.Kind, w.Pool, w.Target, w.Last = kindDrain, poolToWire(m.Pool), string(m.Target), uint64(m.Incarnation)
	case Limited:
		w.Kind, w.Pool, w.Target, w.Last, w.Timeout = kindLimited, poolToWire(m.Pool), string(m.Target), uint64(m.Incarnation), micros(m.Age)
		w.setLimit(m.Limit)
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

// Decode decodes a datagram that Encode returned.
func Decode(body []byte) (Peer, Message, error) {
	var w wireMessage
	if err := compat.Unmarshal(body, &w); err != nil {
		return Peer{}, nil, fmt.Errorf("dispatch: decode: %w", err)
	}
	from := Peer{Host: place.Host(w.Host), Incarnation: place.Incarnation(w.Incarnation), Zone: place.Zone(w.Zone)}
	m, err := w.message()
	return from, m, err
}

func (w *wireMessage) message() (Message, error) {
	id := TicketID(w.ID)
	switch w.Kind {
	case kindAcquire:
		a := Acquire{
			ID: id, Pool: w.Pool.pool(), Class: traffic.RouteName(w.Class), Priority: traffic.Priority(w.Priority),
			Timeout: duration(w.Timeout), SoftTimeout: duration(w.SoftTimeout), Isolated: w.Isolated, Cold: w.Cold,
			Fingerprint: quarantine.Fingerprint(w.Last), Watch: min(Watch(w.Code), WatchRefused),
		}
		for _, t := range w.Excluded {
			a.Excluded = append(a.Excluded, place.Target(t))
		}
		return a, nil
	case kindAssigned:
		return Assigned{ID: id, Target: place.Target(w.Target), Addr: w.Addr}, nil
	case kindQueued:
		return Queued{ID: id}, nil
	case kindRefused:
		return Refused{ID: id, RetryAfter: duration(w.Timeout), Reason: Reason(w.Code)}, nil
	case kindDone:
		return Done{
			ID: id, Pool: w.Pool.pool(), Target: place.Target(w.Target), Class: traffic.RouteName(w.Class),
			Result: Result(w.Code), Took: duration(w.Timeout), Limit: w.limit(), Load: decodeLoad(w.Excluded),
			Warmup: duration(int64(min(w.Last, uint64(micros(maxWarmup))))),
		}, nil
	case kindDrain:
		return Drain{Pool: w.Pool.pool(), Target: place.Target(w.Target), Incarnation: place.Incarnation(w.Last)}, nil
	case kindLimited:
		return Limited{
			Pool: w.Pool.pool(), Target: place.Target(w.Target), Incarnation: place.Incarnation(w.Last),
			Limit: w.limit(), Age: duration(w.Timeout),
		}, nil
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

// The types of a limit on the wire.
const (
	limitUnstated = iota
	limitNone
	limitAdvertised
)

// rateUnit is the unit of a rate on the wire, in requests per second.
const rateUnit = 1e-6

func (w *wireMessage) setLimit(l target.Limit) {
	switch l := l.(type) {
	case target.NoLimit:
		w.Priority = limitNone
	case target.RateLimit:
		w.Priority, w.SoftTimeout = limitAdvertised, int64(math.Round(float64(l.Rate)/rateUnit))
	case target.InvalidLimit: // states nothing
	}
}

// limit returns the limit of a message, nil if it states none. A negative rate can't
// come from Encode.
func (w *wireMessage) limit() target.Limit {
	switch {
	case w.Priority == limitNone:
		return target.NoLimit{}
	case w.Priority == limitAdvertised && w.SoftTimeout >= 0:
		return target.RateLimit{Rate: target.Rate(float64(w.SoftTimeout) * rateUnit)}
	}
	return nil
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
