package cell

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/wire"
)

// maxElements bounds the length of each list of a decoded document or message.
const maxElements = 1 << 17

var decoder = compat.NewDecoder(cbor.DecOptions{MaxArrayElements: maxElements, MaxNestedLevels: 8})

// EncodeDoc returns the document in its stored form.
func EncodeDoc(d Doc) ([]byte, error) {
	data, err := cbor.Marshal(docToWire(d))
	return data, oops.Wrapf(err, "encode cell document")
}

// DecodeDoc decodes a document that EncodeDoc encoded. It checks the order of the rows
// and their target indexes.
func DecodeDoc(data []byte) (Doc, error) {
	var w wireDoc
	if err := decoder.Unmarshal(data, &w); err != nil {
		return Doc{}, oops.Wrapf(err, "decode cell document")
	}
	d := docFromWire(w)
	if err := d.check(); err != nil {
		return Doc{}, err
	}
	return d, nil
}

// check returns an error if rows are out of order or have an index without a target.
// The indexes of a checked document can be used without a bounds check.
func (d *Doc) check() error {
	known := func(i TargetIndex) bool { return i == NoTarget || int(i) < len(d.Targets) }
	for i, r := range d.Rows {
		if i > 0 && d.Rows[i-1].Shard >= r.Shard {
			return oops.Errorf("cell document: rows out of order at shard %d", r.Shard)
		}
		if !known(r.Owner) || !known(r.Standby) {
			return oops.Errorf("cell document: shard %d has the index of an unknown target", r.Shard)
		}
	}
	return nil
}

// The values of wireMessage.Kind.
const (
	wireHeartbeat = iota + 1
	wirePromise
	wireHigherTerm
	wireHandover
)

// wireMessage is the wire form of every message. Kind determines which fields are set.
// Flag is Heartbeat.Deputy or Promise.ReadStore.
type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	Term        uint64
	SentAt      int64
	Flag        bool
	Incarnation uint64
	Revision    uint64
	Doc         *wireDoc
}

// EncodeMessage returns the message in its wire form.
func EncodeMessage(m Message) ([]byte, error) {
	data, err := cbor.Marshal(messageToWire(m))
	return data, oops.Wrapf(err, "encode cell message")
}

// DecodeMessage decodes a message that EncodeMessage encoded. It checks a document in it
// as DecodeDoc does.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := decoder.Unmarshal(data, &w); err != nil {
		return nil, oops.Wrapf(err, "decode cell message")
	}
	return messageFromWire(w)
}

func messageToWire(m Message) wireMessage {
	switch m := m.(type) {
	case Heartbeat:
		w := wireMessage{
			Kind: wireHeartbeat, Term: uint64(m.Term), SentAt: wire.UnixNano(m.SentAt),
			Flag: m.Deputy, Revision: uint64(m.Revision),
		}
		if m.Doc != nil {
			doc := docToWire(*m.Doc)
			w.Doc = &doc
		}
		return w
	case Promise:
		return wireMessage{
			Kind: wirePromise, Term: uint64(m.Term), SentAt: wire.UnixNano(m.SentAt),
			Flag: m.ReadStore, Incarnation: uint64(m.Incarnation),
			Revision: uint64(m.Revision),
		}
	case HigherTerm:
		return wireMessage{Kind: wireHigherTerm, Term: uint64(m.Term)}
	case Handover:
		return wireMessage{Kind: wireHandover, Term: uint64(m.Term)}
	}
	return wireMessage{}
}

func messageFromWire(w wireMessage) (Message, error) {
	switch w.Kind {
	case wireHeartbeat:
		return heartbeatFromWire(w)
	case wirePromise:
		return Promise{
			Term: grant.Term(w.Term), SentAt: wire.Time(w.SentAt),
			Incarnation: place.Incarnation(w.Incarnation), ReadStore: w.Flag,
			Revision: platform.Revision(w.Revision),
		}, nil
	case wireHigherTerm:
		return HigherTerm{Term: grant.Term(w.Term)}, nil
	case wireHandover:
		return Handover{Term: grant.Term(w.Term)}, nil
	}
	return nil, oops.Errorf("decode cell message: unknown kind %d", w.Kind)
}

func heartbeatFromWire(w wireMessage) (Message, error) {
	m := Heartbeat{
		Term: grant.Term(w.Term), SentAt: wire.Time(w.SentAt), Deputy: w.Flag,
		Revision: platform.Revision(w.Revision),
	}
	if w.Doc == nil {
		return m, nil
	}
	doc := docFromWire(*w.Doc)
	if err := doc.check(); err != nil {
		return nil, err
	}
	m.Doc = &doc
	return m, nil
}
