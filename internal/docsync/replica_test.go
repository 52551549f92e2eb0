package docsync_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/docsync"
)

// TestNewestWins publishes versions in any order: the replica has the highest
// one at all times.
func TestNewestWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := docsync.New()
		highest := make(map[docsync.Name]docsync.Version)
		for range rapid.IntRange(0, 60).Draw(t, "offers") {
			name := docsync.Name(rapid.SampledFrom([]string{"settings", "table/a", "table/b"}).Draw(t, "name"))
			version := docsync.Version{
				Major: rapid.Uint64Range(0, 4).Draw(t, "major"),
				Minor: rapid.Uint64Range(1, 4).Draw(t, "minor"),
			}
			body := fmt.Appendf(nil, "%s %v", name, version)
			newer := highest[name].Less(version)
			assert.Equal(t, replica.Publish(docsync.Document{Name: name, Version: version, Body: body}), newer)
			if newer {
				highest[name] = version
			}
			doc, _ := replica.Get(name)
			assert.Equal(t, doc.Version, highest[name])
			assert.Equal(t, string(doc.Body), fmt.Sprintf("%s %v", name, doc.Version))
		}
	})
}

func TestReplicaIsBounded(t *testing.T) {
	replica := docsync.New()
	large := make([]byte, docsync.MaxDocumentBytes+1)
	assert.Assert(t, !replica.Publish(docsync.Document{Name: "large", Version: docsync.Version{Major: 1}, Body: large}))
	for i := range docsync.MaxDocuments {
		name := docsync.Name(fmt.Sprintf("table/%d", i))
		assert.Assert(t, replica.Publish(docsync.Document{Name: name, Version: docsync.Version{Major: 1}}))
	}
	assert.Assert(t, !replica.Publish(docsync.Document{Name: "more", Version: docsync.Version{Major: 1}}))
	assert.Assert(t, replica.Publish(docsync.Document{Name: "table/0", Version: docsync.Version{Major: 2}}))
	accepted := 0
	for version := range uint64(100) {
		body := make([]byte, docsync.MaxDocumentBytes)
		if replica.Publish(docsync.Document{Name: "table/1", Version: docsync.Version{Major: 2 + version}, Body: body}) {
			accepted++
		}
	}
	assert.Equal(t, accepted, 100, "the replica keeps older versions without bound")
}

// TestOlderVersionsEvicted fills the replica with documents and older versions
// of them: a new version of any document still fits.
func TestOlderVersionsEvicted(t *testing.T) {
	const documents = 15 // 15 x 4 MiB of the 64 MiB in all
	replica := docsync.New()
	for version := range uint64(5) {
		for i := range documents {
			doc := docsync.Document{
				Name:    docsync.Name(fmt.Sprintf("table/%d", i)),
				Version: docsync.Version{Major: 1 + version},
				Body:    make([]byte, docsync.MaxDocumentBytes),
			}
			assert.Assert(t, replica.Publish(doc), "version %d of %s", version, doc.Name)
		}
	}
}

func TestSubscribersNotifiedByPrefix(t *testing.T) {
	replica := docsync.New()
	tables, settings := replica.Subscribe(docsync.TablePrefix), replica.Subscribe(docsync.Settings)
	replica.Publish(docsync.Document{Name: "table/a", Version: docsync.Version{Major: 1}})
	replica.Publish(docsync.Document{Name: "table/b", Version: docsync.Version{Major: 1}})
	replica.Publish(docsync.Document{Name: "table/b", Version: docsync.Version{Major: 1}})
	assert.Equal(t, len(tables), 1)
	assert.Equal(t, len(settings), 0)
	names := make([]docsync.Name, 0, 2)
	for _, doc := range replica.List(docsync.TablePrefix) {
		names = append(names, doc.Name)
	}
	assert.Assert(t, slices.Equal(names, []docsync.Name{"table/a", "table/b"}))
}
