// Command citrontray-entry runs the data path of an entry host: it accepts callers'
// requests and forwards each to the target that owns its key.
package main

import (
	"os"

	"citrontray.example/citrontray/internal/entry"
)

func main() {
	os.Exit(entry.Main(os.Args[1:], os.Stdout, os.Stderr))
}
