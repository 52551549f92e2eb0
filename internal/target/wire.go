package target

import (
	"encoding/json"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// OrderPath is where targets take orders of ownership.
const OrderPath = "/citrontray/order"

// maxMessageBytes bounds an order and an answer: 64 Ki shards of about 30
// bytes each.
const maxMessageBytes = 2 << 20

// wireHeld is (shard, epoch); wireItem is (shard, epoch, kind).
type (
	wireHeld [2]uint64
	wireItem [3]uint64
)

// wireOrder is an order in JSON. Durations and stamps are in nanoseconds.
type wireOrder struct {
	Service     string     `json:"service"`
	Zone        string     `json:"zone"`
	Term        uint64     `json:"term"`
	Incarnation uint64     `json:"incarnation,omitempty"`
	Anchor      int64      `json:"anchor,omitempty"`
	Duration    int64      `json:"duration,omitempty"`
	ExtendAll   bool       `json:"all,omitempty"`
	Digest      uint64     `json:"digest,omitempty"`
	Inventory   bool       `json:"inventory,omitempty"`
	Items       []wireItem `json:"items,omitempty"`
	Release     []wireHeld `json:"release,omitempty"`
}

// wireAnswer is an answer in JSON.
type wireAnswer struct {
	Target      string     `json:"target"`
	Incarnation uint64     `json:"incarnation"`
	Clock       int64      `json:"clock"`
	Term        uint64     `json:"term"`
	Accepted    bool       `json:"accepted"`
	Digest      uint64     `json:"digest"`
	Full        bool       `json:"full,omitempty"`
	Held        []wireHeld `json:"held,omitempty"`
	Floors      []wireHeld `json:"floors,omitempty"`
	Draining    bool       `json:"draining,omitempty"`
}

// EncodeOrder returns the order as it travels.
func EncodeOrder(order grant.Order) ([]byte, error) {
	items := make([]wireItem, len(order.Items))
	for i, item := range order.Items {
		items[i] = wireItem{uint64(item.Shard), uint64(item.Epoch), uint64(item.Kind)}
	}
	return json.Marshal(wireOrder{
		Service:     string(order.Service),
		Zone:        string(order.Zone),
		Term:        uint64(order.Term),
		Incarnation: uint64(order.Incarnation),
		Anchor:      int64(order.Anchor),
		Duration:    int64(order.Duration),
		ExtendAll:   order.ExtendAll,
		Digest:      order.Digest,
		Inventory:   order.Inventory,
		Items:       items,
		Release:     toWire(order.Release),
	})
}

// DecodeOrder reads an order; the error tells that body is none.
func DecodeOrder(body []byte) (grant.Order, error) {
	var w wireOrder
	if err := json.Unmarshal(body, &w); err != nil {
		return grant.Order{}, err
	}
	items := make([]grant.Item, len(w.Items))
	for i, item := range w.Items {
		items[i] = grant.Item{Shard: key.Shard(item[0]), Epoch: grant.Epoch(item[1]), Kind: grant.Kind(item[2])}
	}
	return grant.Order{
		Service:     key.Service(w.Service),
		Zone:        place.Zone(w.Zone),
		Term:        grant.Term(w.Term),
		Incarnation: place.Incarnation(w.Incarnation),
		Anchor:      grant.Stamp(w.Anchor),
		Duration:    time.Duration(w.Duration),
		ExtendAll:   w.ExtendAll,
		Digest:      w.Digest,
		Inventory:   w.Inventory,
		Items:       items,
		Release:     fromWire(w.Release),
	}, nil
}

// EncodeAnswer returns the answer as it travels.
func EncodeAnswer(answer grant.Response) ([]byte, error) {
	return json.Marshal(wireAnswer{
		Target:      string(answer.Target),
		Incarnation: uint64(answer.Incarnation),
		Clock:       int64(answer.Clock),
		Term:        uint64(answer.Term),
		Accepted:    answer.Accepted,
		Digest:      answer.Digest,
		Full:        answer.Full,
		Held:        toWire(answer.Held),
		Floors:      toWire(answer.Floors),
		Draining:    answer.Draining,
	})
}

// DecodeAnswer reads an answer; the error tells that body is none.
func DecodeAnswer(body []byte) (grant.Response, error) {
	var w wireAnswer
	if err := json.Unmarshal(body, &w); err != nil {
		return grant.Response{}, err
	}
	return grant.Response{
		Target:      place.Target(w.Target),
		Incarnation: place.Incarnation(w.Incarnation),
		Clock:       grant.Stamp(w.Clock),
		Term:        grant.Term(w.Term),
		Accepted:    w.Accepted,
		Digest:      w.Digest,
		Full:        w.Full,
		Held:        fromWire(w.Held),
		Floors:      fromWire(w.Floors),
		Draining:    w.Draining,
	}, nil
}

func toWire(held []grant.ShardEpoch) []wireHeld {
	out := make([]wireHeld, len(held))
	for i, h := range held {
		out[i] = wireHeld{uint64(h.Shard), uint64(h.Epoch)}
	}
	return out
}

func fromWire(held []wireHeld) []grant.ShardEpoch {
	out := make([]grant.ShardEpoch, len(held))
	for i, h := range held {
		out[i] = grant.ShardEpoch{Shard: key.Shard(h[0]), Epoch: grant.Epoch(h[1])}
	}
	return out
}
