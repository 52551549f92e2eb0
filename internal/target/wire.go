package target

import (
	"encoding/json"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// OrderPath is the URL path at which targets accept ownership orders.
const OrderPath = "/citrontray/order"

// maxMessageBytes bounds an order and a response: 64 Ki shards of about 30 bytes
// each.
const maxMessageBytes = 2 << 20

// wireHeld is (shard, epoch); wireItem is (shard, epoch, kind).
type (
	wireHeld [2]uint64
	wireItem [3]uint64
)

// wireOrder is the JSON form of an order. Durations and stamps are in nanoseconds.
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

// wireResponse is the JSON form of a response.
type wireResponse struct {
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

// EncodeOrder encodes an order in JSON.
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

// DecodeOrder decodes an order. It returns an error if body is not a valid one.
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

// EncodeResponse encodes a response in JSON.
func EncodeResponse(response grant.Response) ([]byte, error) {
	return json.Marshal(wireResponse{
		Target:      string(response.Target),
		Incarnation: uint64(response.Incarnation),
		Clock:       int64(response.Clock),
		Term:        uint64(response.Term),
		Accepted:    response.Accepted,
		Digest:      response.Digest,
		Full:        response.Full,
		Held:        toWire(response.Held),
		Floors:      toWire(response.Floors),
		Draining:    response.Leaving,
	})
}

// DecodeResponse decodes a response. It returns an error if body is not a valid one.
func DecodeResponse(body []byte) (grant.Response, error) {
	var w wireResponse
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
		Leaving:     w.Draining,
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
