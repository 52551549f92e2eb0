package relay

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/compat"
	"citrontray.example/citrontray/internal/place"
)

// Reach is whether a host reaches a target.
type Reach uint8

const (
	// ReachUnknown means that the host can't tell.
	ReachUnknown Reach = iota
	// ReachOpen means that a connection was opened.
	ReachOpen
	// ReachRefused means that a connection was refused.
	ReachRefused
)

type wireTarget struct {
	_           struct{} `cbor:",toarray"`
	Target      string
	Incarnation uint64
}

// EncodeTarget returns the question whether a host reaches an incarnation of a target.
func EncodeTarget(name place.Target, incarnation place.Incarnation) ([]byte, error) {
	body, err := cbor.Marshal(&wireTarget{Target: string(name), Incarnation: uint64(incarnation)})
	if err != nil {
		return nil, fmt.Errorf("relay: encode target: %w", err)
	}
	return body, nil
}

// DecodeTarget reads a question that EncodeTarget wrote.
func DecodeTarget(body []byte) (place.Target, place.Incarnation, error) {
	var w wireTarget
	if err := compat.Unmarshal(body, &w); err != nil {
		return "", 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if w.Target == "" {
		return "", 0, ErrMalformed
	}
	return place.Target(w.Target), place.Incarnation(w.Incarnation), nil
}

// EncodeReach returns the answer to such a question.
func EncodeReach(r Reach) []byte { return []byte{byte(r)} }

// DecodeReach reads an answer that EncodeReach wrote. Any other one is ReachUnknown.
func DecodeReach(body []byte) Reach {
	if len(body) != 1 || Reach(body[0]) > ReachRefused {
		return ReachUnknown
	}
	return Reach(body[0])
}
