package custody

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// wireDoc is the stored form of a document: an array per column, with zones as indexes
// into Zones, so that 1,024 shards take a few kilobytes.
type wireDoc struct {
	Service string   `cbor:"1,keyasint"`
	WriteID string   `cbor:"2,keyasint"`
	Zones   []string `cbor:"3,keyasint"`
	Zone    []uint16 `cbor:"4,keyasint"`
	Next    []uint16 `cbor:"5,keyasint"`
	Floor   []uint64 `cbor:"6,keyasint"`
}

// Encode returns the document in its stored form.
func Encode(d Doc) ([]byte, error) {
	w := wireDoc{Service: string(d.Service), WriteID: d.WriteID}
	index := make(map[place.Zone]uint16)
	zoneIndex := func(z place.Zone) uint16 {
		i, ok := index[z]
		if !ok {
			i = uint16(len(w.Zones))
			index[z] = i
			w.Zones = append(w.Zones, string(z))
		}
		return i
	}
	for _, r := range d.Rows {
		w.Zone = append(w.Zone, zoneIndex(r.Zone))
		w.Next = append(w.Next, zoneIndex(r.Next))
		w.Floor = append(w.Floor, uint64(r.Floor))
	}
	return cbor.Marshal(w)
}

// Decode decodes a document that Encode encoded. It returns an error for malformed data
// and for columns that are inconsistent.
func Decode(b []byte) (Doc, error) {
	var w wireDoc
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Doc{}, fmt.Errorf("custody: decode: %w", err)
	}
	n := len(w.Zone)
	if len(w.Next) != n || len(w.Floor) != n {
		return Doc{}, fmt.Errorf("custody: decode: columns of %d, %d and %d rows", n, len(w.Next), len(w.Floor))
	}
	d := Doc{Service: key.Service(w.Service), WriteID: w.WriteID, Rows: make([]Row, n)}
	for i := range n {
		if int(w.Zone[i]) >= len(w.Zones) || int(w.Next[i]) >= len(w.Zones) {
			return Doc{}, fmt.Errorf("custody: decode: row %d has the index of an unknown zone", i)
		}
		d.Rows[i] = Row{
			Zone:  place.Zone(w.Zones[w.Zone[i]]),
			Next:  place.Zone(w.Zones[w.Next[i]]),
			Floor: grant.Epoch(w.Floor[i]),
		}
	}
	return d, nil
}
