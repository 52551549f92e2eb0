package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random runs unless one is given, so that they
// say the same each time. Six hundred runs notice each rule of Commit that is
// taken out.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "0", "20261203")
	if !testing.Short() {
		setFlagDefault("rapid.checks", "100", "600")
	}
	os.Exit(m.Run())
}

// setFlagDefault replaces the standard value of a flag.
func setFlagDefault(name, standard, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != standard {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
