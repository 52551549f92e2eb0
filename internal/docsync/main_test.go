package docsync_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests where none was given, so that a
// result can be reproduced.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
