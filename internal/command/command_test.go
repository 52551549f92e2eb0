package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReferencePage checks that the operators' page is the output of the command.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "settings.md"))
	assert.NilError(t, err)
	assert.Equal(t, string(page), reference(), "update it: citrontray reference >docs/operators/settings.md")
}

// TestPagesUseExistingCommands checks that the commands on the operators' pages exist.
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
