package docsync

import (
	"encoding/base64"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// TestGolden: the golden messages, written by revision 2bbdf8e, are decoded to the same
// values, and these are encoded to the same bytes. During an upgrade, processes of two
// releases replicate documents to each other.
func TestGolden(t *testing.T) {
	headers := []header{
		{name: "ranges/svc", version: Version{Major: 300, Minor: 9}},
		{name: "targets", version: Version{Major: 1 << 40, Minor: 1}},
	}
	docs := []encodedDoc{
		{name: "ranges/svc", version: Version{Major: 300, Minor: 9}, encoding: encodingDelta, base: Version{Major: 299, Minor: 8}, payload: []byte("delta")},
		{name: "targets", version: Version{Major: 2, Minor: 1}, encoding: encodingZstd, base: Version{Major: 3, Minor: 4}, payload: []byte("zstd")},
		{name: "members", version: Version{Major: 5, Minor: 6}, encoding: encodingRaw, base: Version{Major: 7, Minor: 8}, payload: []byte("raw")},
	}
	polling := poll{replica: 1 << 40, cursor: 300, wait: 1500 * time.Millisecond, known: headers}
	fetching, pushing := fetch{wanted: headers}, push{docs: docs}
	polled := pollResponse{replica: 1 << 40, cursor: 300, newer: headers, inline: docs}
	fetched := fetchResponse{docs: docs}
	pushed := pushResponse{resend: []Name{"ranges/svc", "targets"}}

	asRequest := func(body []byte) (any, error) { return decodeRequest(body) }
	for name, test := range map[string]struct {
		golden string
		want   any
		decode func(body []byte) (any, error)
		encode func() ([]byte, error)
	}{
		"poll": {
			"oQGEGwAAAQAAAAAAGQEsGQXcgoNqcmFuZ2VzL3N2YxkBLAmDZ3RhcmdldHMbAAABAAAAAAAB",
			polling, asRequest, func() ([]byte, error) { return encodeRequest(polling) },
		},
		"fetch": {
			"oQKCg2pyYW5nZXMvc3ZjGQEsCYNndGFyZ2V0cxsAAAEAAAAAAAE=",
			fetching, asRequest, func() ([]byte, error) { return encodeRequest(fetching) },
		},
		"push": {
			"oQODhYNqcmFuZ2VzL3N2YxkBLAkDGQErCEVkZWx0YYWDZ3RhcmdldHMCAQIDBER6c3RkhYNnbWVtYmVycwUGAQcIQ3Jhdw==",
			pushing, asRequest, func() ([]byte, error) { return encodeRequest(pushing) },
		},
		"poll response": {
			"pAEbAAABAAAAAAACGQEsA4KDanJhbmdlcy9zdmMZASwJg2d0YXJnZXRzGwAAAQAAAAAAAQSDhYNqcmFuZ2VzL3N2YxkBLAkDGQErCEVkZWx0YYWDZ3RhcmdldHMCAQIDBER6c3RkhYNnbWVtYmVycwUGAQcIQ3Jhdw==",
			polled, func(body []byte) (any, error) { return decodePollResponse(body) }, func() ([]byte, error) { return encodePollResponse(polled) },
		},
		"fetch response": {
			"oQSDhYNqcmFuZ2VzL3N2YxkBLAkDGQErCEVkZWx0YYWDZ3RhcmdldHMCAQIDBER6c3RkhYNnbWVtYmVycwUGAQcIQ3Jhdw==",
			fetched, func(body []byte) (any, error) { return decodeFetchResponse(body) }, func() ([]byte, error) { return encodeFetchResponse(fetched) },
		},
		"push response": {
			"oQWCanJhbmdlcy9zdmNndGFyZ2V0cw==",
			pushed, func(body []byte) (any, error) { return decodePushResponse(body) }, func() ([]byte, error) { return encodePushResponse(pushed) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := base64.StdEncoding.DecodeString(test.golden)
			assert.NilError(t, err)
			got, err := test.decode(body)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, test.want, gocmp.AllowUnexported(
				header{}, encodedDoc{}, polling, fetching, pushing, polled, fetched, pushed))
			again, err := test.encode()
			assert.NilError(t, err)
			assert.DeepEqual(t, again, body)
		})
	}
}
