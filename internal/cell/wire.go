package cell

import (
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/wire"
)

type wireDoc struct {
	_                 struct{} `cbor:",toarray"`
	Service           string
	Zone              string
	Term              uint64
	Leader            string
	LeaderAddr        string
	LeaderIncarnation uint64
	WriteID           string
	Roster            []string
	Removed           []wireRemoved
	Targets           []wireTarget
	Rows              []wireRow
	SingleKeys        []wireSingleKey
	NextSingleKey     uint32
	Ceded             []wireCeded
	Custody           uint64
	Moves             []wireMove
}

type wireRemoved struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Term uint64
}

type wireTarget struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Addr        string
	Leaving     bool
	Since       int64
	Incarnation uint64
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Shard   uint32
	Epoch   uint64
	Owner   uint16
	Standby uint16
}

type wireSingleKey struct {
	_          struct{} `cbor:",toarray"`
	Hash       uint64
	Shard      uint32
	Parent     uint32
	SplitEpoch uint64
}

type wireCeded struct {
	_        struct{} `cbor:",toarray"`
	Shard    uint32
	Floor    uint64
	Evidence wireEvidence
}

type wireMove struct {
	_        struct{} `cbor:",toarray"`
	At       int64
	Shard    uint32
	Epoch    uint64
	From     string
	To       string
	Evidence wireEvidence
}

// The values of wireEvidence.Kind.
const (
	wireNone = iota
	wireReleased
	wireExpired
	wireRestarted
	wireDeclared
)

// wireEvidence is the wire form of every evidence. Kind determines which fields are set:
// First is an epoch, a Unix time in nanoseconds or the old incarnation, Second the new
// incarnation.
type wireEvidence struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	First  uint64
	Second uint64
	By     string
	Reason string
}

func docToWire(d Doc) wireDoc {
	w := wireDoc{
		Service:           string(d.ID.Service),
		Zone:              string(d.ID.Zone),
		Term:              uint64(d.Term),
		Leader:            string(d.Leader),
		LeaderAddr:        wire.FormatAddr(d.LeaderAddr),
		LeaderIncarnation: uint64(d.LeaderIncarnation),
		WriteID:           d.WriteID,
		NextSingleKey:     uint32(d.NextSingleKey),
		Custody:           uint64(d.Custody),
	}
	for _, h := range d.Roster {
		w.Roster = append(w.Roster, string(h))
	}
	for _, r := range d.Removed {
		w.Removed = append(w.Removed, wireRemoved{Host: string(r.Host), Term: uint64(r.Term)})
	}
	for _, t := range d.Targets {
		w.Targets = append(w.Targets, targetToWire(t))
	}
	for _, r := range d.Rows {
		w.Rows = append(w.Rows, wireRow{
			Shard: uint32(r.Shard), Epoch: uint64(r.Epoch),
			Owner: uint16(r.Owner), Standby: uint16(r.Standby),
		})
	}
	for _, k := range d.SingleKeys {
		w.SingleKeys = append(w.SingleKeys, wireSingleKey{
			Hash: uint64(k.Hash), Shard: uint32(k.Shard),
			Parent: uint32(k.Parent), SplitEpoch: uint64(k.SplitEpoch),
		})
	}
	for _, c := range d.Ceded {
		w.Ceded = append(w.Ceded, wireCeded{
			Shard: uint32(c.Shard), Floor: uint64(c.Floor), Evidence: evidenceToWire(c.Evidence),
		})
	}
	for _, m := range d.Moves {
		w.Moves = append(w.Moves, moveToWire(m))
	}
	return w
}

func docFromWire(w wireDoc) Doc {
	d := Doc{
		ID:                ID{Service: key.Service(w.Service), Zone: place.Zone(w.Zone)},
		Term:              grant.Term(w.Term),
		Leader:            place.Host(w.Leader),
		LeaderAddr:        wire.ParseAddr(w.LeaderAddr),
		LeaderIncarnation: place.Incarnation(w.LeaderIncarnation),
		WriteID:           w.WriteID,
		NextSingleKey:     key.Shard(w.NextSingleKey),
		Custody:           platform.Revision(w.Custody),
	}
	for _, h := range w.Roster {
		d.Roster = append(d.Roster, place.Host(h))
	}
	for _, r := range w.Removed {
		d.Removed = append(d.Removed, RemovedHost{Host: place.Host(r.Host), Term: grant.Term(r.Term)})
	}
	for _, t := range w.Targets {
		d.Targets = append(d.Targets, targetFromWire(t))
	}
	for _, r := range w.Rows {
		d.Rows = append(d.Rows, Row{
			Shard: key.Shard(r.Shard), Epoch: grant.Epoch(r.Epoch),
			Owner: TargetIndex(r.Owner), Standby: TargetIndex(r.Standby),
		})
	}
	for _, k := range w.SingleKeys {
		d.SingleKeys = append(d.SingleKeys, SingleKey{
			Hash: key.Hash(k.Hash), Shard: key.Shard(k.Shard),
			Parent: key.Shard(k.Parent), SplitEpoch: grant.Epoch(k.SplitEpoch),
		})
	}
	for _, c := range w.Ceded {
		d.Ceded = append(d.Ceded, CededShard{
			Shard: key.Shard(c.Shard), Floor: grant.Epoch(c.Floor), Evidence: evidenceFromWire(c.Evidence),
		})
	}
	for _, m := range w.Moves {
		d.Moves = append(d.Moves, moveFromWire(m))
	}
	return d
}

func targetToWire(t TargetDoc) wireTarget {
	return wireTarget{
		Target: string(t.Target), Addr: wire.FormatAddr(t.Addr), Leaving: t.Leaving,
		Since: wire.UnixNano(t.Since), Incarnation: uint64(t.Incarnation),
	}
}

func targetFromWire(w wireTarget) TargetDoc {
	return TargetDoc{
		Target: place.Target(w.Target), Addr: wire.ParseAddr(w.Addr), Leaving: w.Leaving,
		Since: wire.Time(w.Since), Incarnation: place.Incarnation(w.Incarnation),
	}
}

func moveToWire(m Move) wireMove {
	return wireMove{
		At: wire.UnixNano(m.At), Shard: uint32(m.Shard), Epoch: uint64(m.Epoch),
		From: string(m.From), To: string(m.To), Evidence: evidenceToWire(m.Evidence),
	}
}

func moveFromWire(w wireMove) Move {
	return Move{
		At: wire.Time(w.At), Shard: key.Shard(w.Shard), Epoch: grant.Epoch(w.Epoch),
		From: place.Target(w.From), To: place.Target(w.To), Evidence: evidenceFromWire(w.Evidence),
	}
}

func evidenceToWire(e grant.Evidence) wireEvidence {
	switch e := e.(type) {
	case grant.Released:
		return wireEvidence{Kind: wireReleased, First: uint64(e.Epoch)}
	case grant.Expired:
		return wireEvidence{Kind: wireExpired, First: uint64(wire.UnixNano(e.Since))}
	case grant.Restarted:
		return wireEvidence{Kind: wireRestarted, First: uint64(e.Old), Second: uint64(e.New)}
	case grant.Declared:
		return wireEvidence{Kind: wireDeclared, By: e.By, Reason: e.Reason}
	}
	return wireEvidence{}
}

func evidenceFromWire(w wireEvidence) grant.Evidence {
	switch w.Kind {
	case wireReleased:
		return grant.Released{Epoch: grant.Epoch(w.First)}
	case wireExpired:
		return grant.Expired{Since: wire.Time(int64(w.First))}
	case wireRestarted:
		return grant.Restarted{Old: place.Incarnation(w.First), New: place.Incarnation(w.Second)}
	case wireDeclared:
		return grant.Declared{By: w.By, Reason: w.Reason}
	}
	return nil
}
