package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed, so that the random tests are reproducible, and
// 600 runs per test: that many detect the removal of any single rule of Commit.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "0", "20261203")
	if !testing.Short() {
		setFlagDefault("rapid.checks", "100", "600")
	}
	os.Exit(m.Run())
}

// setFlagDefault sets a flag that still has its default value.
func setFlagDefault(name, standard, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != standard {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
