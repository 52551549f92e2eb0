package lead

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// envelope is a message of a cell with the cell's ID.
type envelope struct {
	id      cell.ID
	message cell.Message
}

type wireEnvelope struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Message []byte `cbor:"3,keyasint"`
}

// encodeEnvelope encodes a message to another lead process.
func encodeEnvelope(e envelope) ([]byte, error) {
	body, err := cell.EncodeMessage(e.message)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(wireEnvelope{
		Service: string(e.id.Service),
		Zone:    string(e.id.Zone),
		Message: body,
	})
}

// decodeEnvelope decodes the output of encodeEnvelope.
func decodeEnvelope(b []byte) (envelope, error) {
	var w wireEnvelope
	if err := cbor.Unmarshal(b, &w); err != nil {
		return envelope{}, fmt.Errorf("lead: decode envelope: %w", err)
	}
	message, err := cell.DecodeMessage(w.Message)
	if err != nil {
		return envelope{}, err
	}
	id := cell.ID{Service: key.Service(w.Service), Zone: place.Zone(w.Zone)}
	return envelope{id: id, message: message}, nil
}
