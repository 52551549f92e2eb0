package cell_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that their results can be reproduced.
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
