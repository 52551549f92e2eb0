// Command citrontray-lead runs the ownership of one entry host: it competes for
// the lead of its zone's cells, grants shards to targets and spreads documents.
package main

import (
	"os"

	"citrontray.example/citrontray/internal/lead"
)

func main() {
	os.Exit(lead.Main(os.Args[1:], os.Stdout, os.Stderr))
}
