package spread_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"citrontray.example/citrontray/internal/spread"
)

// TestNewestWins offers versions in any order: the board's version never falls
// and is the highest of those offered.
func TestNewestWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board := spread.New()
		highest := make(map[spread.Name]spread.Version)
		for range rapid.IntRange(0, 60).Draw(t, "offers") {
			name := spread.Name(rapid.SampledFrom([]string{"settings", "table/a", "table/b"}).Draw(t, "name"))
			version := spread.Version{
				Major: rapid.Uint64Range(0, 4).Draw(t, "major"),
				Minor: rapid.Uint64Range(1, 4).Draw(t, "minor"),
			}
			body := fmt.Appendf(nil, "%s %v", name, version)
			newer := highest[name].Less(version)
			assert.Equal(t, board.Publish(spread.Document{Name: name, Version: version, Body: body}), newer)
			if newer {
				highest[name] = version
			}
			doc, _ := board.Get(name)
			assert.Equal(t, doc.Version, highest[name])
			assert.Equal(t, string(doc.Body), fmt.Sprintf("%s %v", name, doc.Version))
		}
	})
}

func TestBoardIsBounded(t *testing.T) {
	board := spread.New()
	large := make([]byte, spread.MaxDocument+1)
	assert.Assert(t, !board.Publish(spread.Document{Name: "large", Version: spread.Version{Major: 1}, Body: large}))
	for i := range spread.MaxDocuments {
		name := spread.Name(fmt.Sprintf("table/%d", i))
		assert.Assert(t, board.Publish(spread.Document{Name: name, Version: spread.Version{Major: 1}}))
	}
	assert.Assert(t, !board.Publish(spread.Document{Name: "more", Version: spread.Version{Major: 1}}))
	assert.Assert(t, board.Publish(spread.Document{Name: "table/0", Version: spread.Version{Major: 2}}))
	bytes := 0
	for version := range uint64(100) {
		body := make([]byte, spread.MaxDocument)
		if board.Publish(spread.Document{Name: "table/1", Version: spread.Version{Major: 2 + version}, Body: body}) {
			bytes++
		}
	}
	assert.Equal(t, bytes, 100, "the board keeps older versions without bound")
}

// TestOlderVersionsMakeRoom fills the board with documents and their older
// versions: a new version of any of them still fits.
func TestOlderVersionsMakeRoom(t *testing.T) {
	const documents = 15 // of 4 MiB, of the 64 MiB in all
	board := spread.New()
	for version := range uint64(5) {
		for i := range documents {
			doc := spread.Document{
				Name:    spread.Name(fmt.Sprintf("table/%d", i)),
				Version: spread.Version{Major: 1 + version},
				Body:    make([]byte, spread.MaxDocument),
			}
			assert.Assert(t, board.Publish(doc), "version %d of %s", version, doc.Name)
		}
	}
}

func TestSubscribersHearOfTheirPrefix(t *testing.T) {
	board := spread.New()
	tables, settings := board.Subscribe(spread.TablePrefix), board.Subscribe(spread.Settings)
	board.Publish(spread.Document{Name: "table/a", Version: spread.Version{Major: 1}})
	board.Publish(spread.Document{Name: "table/b", Version: spread.Version{Major: 1}})
	board.Publish(spread.Document{Name: "table/b", Version: spread.Version{Major: 1}})
	assert.Equal(t, len(tables), 1)
	assert.Equal(t, len(settings), 0)
	names := make([]spread.Name, 0, 2)
	for _, doc := range board.List(spread.TablePrefix) {
		names = append(names, doc.Name)
	}
	assert.Assert(t, slices.Equal(names, []spread.Name{"table/a", "table/b"}))
}
