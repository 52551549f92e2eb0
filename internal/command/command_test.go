package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReferencePage compares the operators' page with the types.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "settings.md"))
	assert.NilError(t, err)
	assert.Equal(t, string(page), reference(), "print it anew: citrontray reference >docs/operators/settings.md")
}

// TestPagesUseExistingCommands looks up each command that the operators' pages
// show.
func TestPagesUseExistingCommands(t *testing.T) {
	names := map[string]bool{"help": true, "--help": true, "--version": true}
	for _, g := range commands() {
		names[g.name] = true
	}
	pages, err := filepath.Glob(filepath.Join("..", "..", "docs", "operators", "*.md"))
	assert.NilError(t, err)
	assert.Assert(t, len(pages) > 1)
	for _, path := range pages {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		for line := range strings.Lines(string(page)) {
			for _, part := range strings.Split(line, "citrontray ")[1:] {
				word := strings.Trim(strings.Fields(part + " .")[0], "`.,;:)")
				if strings.Contains(line, "`citrontray "+word) || strings.HasPrefix(strings.TrimSpace(line), "citrontray "+word) {
					assert.Assert(t, names[word], "%s names the command %q", filepath.Base(path), word)
				}
			}
		}
	}
}
