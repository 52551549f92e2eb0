package platform

import (
	"encoding/json"
	"fmt"
)

// EncodeFleet returns the bytes of a fleet list as hosts pass it on.
func EncodeFleet(fleet Fleet) ([]byte, error) {
	return json.Marshal(toWireFleet(fleet))
}

// DecodeFleet reads what EncodeFleet wrote. Errors: malformed bytes.
func DecodeFleet(b []byte) (Fleet, error) {
	var w wireFleet
	if err := json.Unmarshal(b, &w); err != nil {
		return Fleet{}, fmt.Errorf("platform: decode fleet: %w", err)
	}
	return w.fleet(), nil
}
