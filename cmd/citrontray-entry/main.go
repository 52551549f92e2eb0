// Command citrontray-entry is the data path of one entry host: it takes
// callers' requests and forwards each to the one target that owns its key.
package main

import (
	"os"

	"citrontray.example/citrontray/internal/entry"
)

func main() {
	os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr))
}
