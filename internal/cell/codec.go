package cell

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// maxElements bounds each list of a decoded document or message.
const maxElements = 1 << 17

var decoding = decodeMode()

func decodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

// EncodeDoc returns the document as it is kept in the platform's service.
func EncodeDoc(d Doc) ([]byte, error) {
	data, err := cbor.Marshal(docToWire(d))
	return data, oops.Wrapf(err, "encode cell document")
}

// DecodeDoc reads what EncodeDoc wrote. It returns an error for anything else.
func DecodeDoc(data []byte) (Doc, error) {
	var w wireDoc
	if err := decoding.Unmarshal(data, &w); err != nil {
		return Doc{}, oops.Wrapf(err, "decode cell document")
	}
	d := docFromWire(w)
	if err := d.check(); err != nil {
		return Doc{}, err
	}
	return d, nil
}

// check reports rows that are out of order or name a target that is not
// there: code that holds a checked document may index by it.
func (d *Doc) check() error {
	known := func(i TargetIndex) bool { return i == NoTarget || int(i) < len(d.Targets) }
	for i, r := range d.Rows {
		if i > 0 && d.Rows[i-1].Shard >= r.Shard {
			return oops.Errorf("cell document: rows out of order at shard %d", r.Shard)
		}
		if !known(r.Owner) || !known(r.Standby) {
			return oops.Errorf("cell document: shard %d names an unknown target", r.Shard)
		}
	}
	return nil
}

// The kinds of wireMessage.
const (
	wireHeartbeat = iota + 1
	wirePromise
	wireRefuse
	wireHandover
)

// wireMessage holds any message; Kind tells which fields count.
type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	Term        uint64
	SentAt      int64
	Flag        bool
	Incarnation uint64
	Revision    uint64
	Intents     []wireIntent
	Doc         *wireDoc
}

type wireIntent struct {
	_     struct{} `cbor:",toarray"`
	Shard uint32
	To    uint16
	Epoch uint64
}

// EncodeMessage returns the message as it travels between hosts.
func EncodeMessage(m Message) ([]byte, error) {
	data, err := cbor.Marshal(messageToWire(m))
	return data, oops.Wrapf(err, "encode cell message")
}

// DecodeMessage reads what EncodeMessage wrote. It returns an error for
// anything else.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := decoding.Unmarshal(data, &w); err != nil {
		return nil, oops.Wrapf(err, "decode cell message")
	}
	return messageFromWire(w)
}

func messageToWire(m Message) wireMessage {
	switch m := m.(type) {
	case Heartbeat:
		w := wireMessage{
			Kind: wireHeartbeat, Term: uint64(m.Term), SentAt: timeToWire(m.SentAt),
			Flag: m.Deputy, Revision: uint64(m.Revision), Intents: intentsToWire(m.Intents),
		}
		if m.Doc != nil {
			doc := docToWire(*m.Doc)
			w.Doc = &doc
		}
		return w
	case Promise:
		return wireMessage{
			Kind: wirePromise, Term: uint64(m.Term), SentAt: timeToWire(m.SentAt),
			Flag: m.ReadStore, Incarnation: uint64(m.Incarnation),
			Revision: uint64(m.Revision), Intents: intentsToWire(m.Intents),
		}
	case Refuse:
		return wireMessage{Kind: wireRefuse, Term: uint64(m.Term)}
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
			Term: grant.Term(w.Term), SentAt: timeFromWire(w.SentAt),
			Incarnation: place.Incarnation(w.Incarnation), ReadStore: w.Flag,
			Intents: intentsFromWire(w.Intents), Revision: platform.Revision(w.Revision),
		}, nil
	case wireRefuse:
		return Refuse{Term: grant.Term(w.Term)}, nil
	case wireHandover:
		return Handover{Term: grant.Term(w.Term)}, nil
	}
	return nil, oops.Errorf("decode cell message: unknown kind %d", w.Kind)
}

func heartbeatFromWire(w wireMessage) (Message, error) {
	m := Heartbeat{
		Term: grant.Term(w.Term), SentAt: timeFromWire(w.SentAt), Deputy: w.Flag,
		Revision: platform.Revision(w.Revision), Intents: intentsFromWire(w.Intents),
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

func intentsToWire(intents []Intent) []wireIntent {
	out := make([]wireIntent, 0, len(intents))
	for _, i := range intents {
		out = append(out, wireIntent{Shard: uint32(i.Shard), To: uint16(i.To), Epoch: uint64(i.Epoch)})
	}
	return out
}

func intentsFromWire(intents []wireIntent) []Intent {
	if len(intents) == 0 {
		return nil
	}
	out := make([]Intent, 0, len(intents))
	for _, i := range intents {
		out = append(out, Intent{Shard: key.Shard(i.Shard), To: TargetIndex(i.To), Epoch: grant.Epoch(i.Epoch)})
	}
	return out
}
